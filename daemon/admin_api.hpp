#pragma once

#include "core/settings.hpp"
#include "daemon/config_manager.hpp"
#include "daemon/peer_exchange.hpp"
#include "observe/burn_recorder.hpp"
#include "transport/http_server.hpp"

#include <functional>
#include <optional>
#include <string>

namespace peridotspar
{

/// The HTTP API for operators, below `/admin/v1/`. Requests are served on the
/// HTTP server's worker threads.
class admin_api
{
public:
    struct dependencies
    {
        const settings& settings_;
        config_manager& config_manager_;
        peer_exchange& peer_exchange_;
        burn_recorder& burn_recorder_;
        std::function<void()> leave_; ///< Starts the shutdown of this node.
        std::function<std::size_t()> open_requests_;
    };

    explicit admin_api(dependencies p_dependencies)
        : dependencies_(std::move(p_dependencies))
    {
    }

    void serve(http_exchange& r_exchange);

private:
    /// Returns the operator's name, or nothing if the key isn't known. Before
    /// the first configuration, only the bootstrap key of the settings is
    /// valid.
    [[nodiscard]] std::optional<std::string>
    authenticate(const http_exchange& p_exchange) const;
    /// Returns the request body, or sends an error response and returns
    /// nothing.
    [[nodiscard]] std::optional<std::string>
    receive_body(http_exchange& r_exchange);
    void get_config(http_exchange& r_exchange);
    void check_config(http_exchange& r_exchange);
    void put_config(http_exchange& r_exchange, const std::string& p_operator);
    /// Writes a document if `p_expected_revision` is still the stored revision,
    /// and sends the result.
    void write_config(http_exchange& r_exchange, const std::string& p_document,
                      std::uint64_t p_expected_revision,
                      const std::string& p_operator);
    void get_status(http_exchange& r_exchange);
    /// Marks a backend server as draining, or not, in the configuration.
    void set_draining(http_exchange& r_exchange, const std::string& p_operator);

    dependencies dependencies_;
};

} // namespace peridotspar
