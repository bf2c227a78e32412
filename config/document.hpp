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

/// A request class: its tier, latency targets and maximum wait.
struct class_spec
{
    std::string name_;
    tier tier_;
    std::chrono::milliseconds first_token_target_{1800};
    std::chrono::milliseconds inter_token_target_{34};
    /// Maximum time in the queue, before service begins.
    std::chrono::milliseconds max_wait_{2000};
};

/// A client account: the hash of its key, its limits and its weight in sharing
/// capacity.
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
    engine,  ///< An inference engine with the OpenAI API.
    service, ///< A plain HTTP service.
};

/// A backend server. While `draining_` is set, it stays listed but gets no new
/// requests.
struct backend_spec
{
    std::string name_;
    std::string address_;
    std::uint16_t port_ = 0;
    backend_kind kind_ = backend_kind::engine;
    std::vector<std::string> pools_; ///< Names of its models or services.
    std::uint32_t slots_ = 8;
    /// Of its software. Streams of two versions don't fit together.
    std::string version_;
    failure_domain_id failure_domain_;
    bool draining_ = false;
    bool checks_fencing_ = false;
};

/// An operator who may change the configuration.
struct operator_spec
{
    std::string name_;
    std::string key_sha256_;
};

/// A complete and valid configuration document.
struct document
{
    std::vector<class_spec> classes_;
    std::vector<account_spec> accounts_;
    std::vector<std::string> models_;
    std::vector<std::string> services_;
    std::vector<backend_spec> backends_;
    std::vector<operator_spec> operators_;
};

/// An error in a document, with its JSON path.
struct document_error
{
    std::string path_;
    std::string message_;
};

/// Parses and validates a document. Returns all errors, not only the first.
[[nodiscard]] tl::expected<document, std::vector<document_error>>
parse_document(std::string_view p_json);

/// Returns the errors as a JSON array of objects with `path` and `message`.
[[nodiscard]] std::string
errors_to_json(const std::vector<document_error>& p_errors);

} // namespace peridotspar
