#pragma once

#include "core/settings.hpp"
#include "daemon/config_keeper.hpp"
#include "daemon/peer_exchange.hpp"
#include "observe/burn_recorder.hpp"
#include "transport/http_server.hpp"

#include <functional>
#include <optional>
#include <string>

namespace peridotspar
{

/// Serves operators below `/admin/v1/`.
class admin_api
{
public:
    struct parts
    {
        const settings& settings_;
        config_keeper& config_;
        peer_exchange& peers_;
        burn_recorder& burn_;
        std::function<void()> leave_;
        std::function<std::size_t()> open_requests_;
    };

    explicit admin_api(parts p_parts) : parts_(std::move(p_parts)) {}

    void serve(http_exchange& r_exchange);

private:
    [[nodiscard]] std::optional<std::string>
    identify(const http_exchange& p_exchange) const;
    /// The body; sends the error itself if it can't be read.
    [[nodiscard]] std::optional<std::string>
    read_document(http_exchange& r_exchange);
    void get_config(http_exchange& r_exchange);
    void check_config(http_exchange& r_exchange);
    void put_config(http_exchange& r_exchange, const std::string& p_operator);
    void write(http_exchange& r_exchange, const std::string& p_document,
               std::uint64_t p_expected, const std::string& p_operator);
    void status(http_exchange& r_exchange);
    void drain(http_exchange& r_exchange, const std::string& p_operator);

    parts parts_;
};

} // namespace peridotspar
