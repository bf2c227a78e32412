#pragma once

#include "backend/connection.hpp"

#include <map>
#include <string>
#include <vector>

namespace peridotspar::backend
{

/// Timeouts of a connection pool.
struct pool_limits
{
    duration connect_timeout_ = std::chrono::milliseconds(300);
    /// How long an idle connection is kept if the server announces no
    /// timeout.
    duration idle_timeout_ = std::chrono::seconds(3);
    /// Subtracted from the server's timeout, so that no request is sent while
    /// the server closes the connection.
    duration idle_timeout_margin_ = std::chrono::milliseconds(400);
};

/// Keeps idle connections to servers for reuse. Never resends a request, not
/// even when a reused connection fails. Use only from the thread that runs
/// `p_context`.
class connection_pool : public connection::owner
{
public:
    connection_pool(boost::asio::io_context& p_context, pool_limits p_limits);
    ~connection_pool() override;
    connection_pool(const connection_pool&) = delete;
    connection_pool& operator=(const connection_pool&) = delete;

    /// Sends a request to `p_address` (IP:PORT). Only connections with the same
    /// `p_pool_key` are reused; a key per server instance keeps those of a
    /// restarted server apart. Null if the address can't be parsed.
    [[nodiscard]] std::shared_ptr<connection>
    send(const std::string& p_pool_key, const std::string& p_address,
         std::string p_request, bool p_is_head_request,
         std::weak_ptr<call_handler> p_handler);

    /// Opens a connection that becomes idle. Null if the address can't be
    /// parsed.
    [[nodiscard]] std::shared_ptr<connection>
    open(const std::string& p_pool_key, const std::string& p_address);

    /// Whether the pool has an idle connection that hasn't expired.
    [[nodiscard]] bool has_idle(const std::string& p_pool_key) const;
    /// Closes the idle connections. Used when a connection of the same server
    /// was silent, as the others may be, too.
    void close_idle(const std::string& p_pool_key);
    /// Enforces the connect and idle timeouts. Call periodically.
    void tick(time_point p_now);

    /// Number of connections opened since the start.
    [[nodiscard]] std::uint64_t connections_opened() const
    {
        return connections_opened_;
    }

private:
    struct idle_connection
    {
        std::shared_ptr<connection> connection_;
        time_point expires_at_{};
    };
    void on_idle(const std::shared_ptr<connection>& p_idle) override;
    void on_closed(const std::shared_ptr<connection>& p_closed) override;
    /// Null if the address can't be parsed.
    [[nodiscard]] std::shared_ptr<connection>
    create(const std::string& p_pool_key, const std::string& p_address);
    [[nodiscard]] std::shared_ptr<connection>
    take_idle(const std::string& p_pool_key);

    boost::asio::io_context& context_;
    pool_limits limits_;
    boot_clock clock_;
    std::map<std::string, std::vector<idle_connection>> idle_;
    std::map<std::shared_ptr<connection>, std::string> open_;
    std::uint64_t connections_opened_ = 0;
};

/// Parses IP:PORT; nothing if `p_address` is malformed.
[[nodiscard]] std::optional<boost::asio::ip::tcp::endpoint>
parse_ip_endpoint(const std::string& p_address);

} // namespace peridotspar::backend
