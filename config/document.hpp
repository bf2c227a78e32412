#pragma once

#include "core/clock.hpp"
#include "core/ids.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

namespace peridotspar
{

/// A class of work: its tier, latency targets and longest wait.
struct class_spec
{
    std::string name_;
    tier tier_;
    std::chrono::milliseconds first_token_target_{1800};
    std::chrono::milliseconds inter_token_target_{34};
    std::chrono::milliseconds max_wait_{
        2000}; ///< In the queue, before service.
};

/// A client account: its key, caps and share.
struct account_spec
{
    std::string name_;
    std::string key_sha256_;
    std::string default_class_;
    double cap_tokens_per_s_ = 0;
    std::uint32_t cap_concurrent_ = 0;
    double weight_ = 1;
};

enum class backend_kind : std::uint8_t
{
    engine,  ///< A model engine with the OpenAI interface.
    service, ///< A plain HTTP service.
};

/// A backend server. `draining_` keeps it listed but takes new work away.
struct backend_spec
{
    std::string name_;
    std::string address_;
    std::uint16_t port_ = 0;
    backend_kind kind_ = backend_kind::engine;
    std::vector<std::string> pools_; ///< Models, or names of services.
    std::uint32_t slots_ = 8;
    failure_domain_id failure_domain_;
    bool draining_ = false;
    bool checks_fencing_ = false;
};

/// An operator, who may change the configuration.
struct operator_spec
{
    std::string name_;
    std::string key_sha256_;
};

/// The configuration document, whole and valid.
struct document
{
    std::vector<class_spec> classes_;
    std::vector<account_spec> accounts_;
    std::vector<std::string> models_;
    std::vector<std::string> services_;
    std::vector<backend_spec> backends_;
    std::vector<operator_spec> operators_;
};

/// One thing wrong with a document, by its JSON path.
struct document_error
{
    std::string path_;
    std::string message_;
};

/// Parses and checks a document. All errors are returned, not just the first.
[[nodiscard]] tl::expected<document, std::vector<document_error>>
parse_document(std::string_view p_json);

/// The errors as a JSON array of `{path, message}`.
[[nodiscard]] std::string
errors_to_json(const std::vector<document_error>& p_errors);

} // namespace peridotspar
