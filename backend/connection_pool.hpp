#pragma once

#include "backend/connection.hpp"

#include <map>
#include <string>
#include <vector>

namespace peridotspar::backend
{

struct pool_limits
{
    duration connect_timeout_ = std::chrono::milliseconds(300);
    /// How long a connection stays idle where the server doesn't say.
    duration idle_timeout_ = std::chrono::seconds(3);
    /// Taken off what the server says, so that both don't meet.
    duration idle_timeout_margin_ = std::chrono::milliseconds(400);
};

/// Connections to servers, kept for further requests. A request is sent once:
/// nothing here sends it again. Belongs to the thread of its context.
class connection_pool : public connection::owner
{
public:
    connection_pool(boost::asio::io_context& p_context, pool_limits p_limits);
    ~connection_pool() override;
    connection_pool(const connection_pool&) = delete;
    connection_pool& operator=(const connection_pool&) = delete;

    /// Sends a request to a server (IP:PORT); `p_pool` keeps the connections
    /// of each start of a server apart. Null if the address is none.
    [[nodiscard]] std::shared_ptr<connection>
    send(const std::string& p_pool_key, const std::string& p_address,
         std::string p_request, bool p_is_head_request,
         std::weak_ptr<call_handler> p_handler);

    /// Whether a kept connection of a pool may take a request now.
    [[nodiscard]] bool has_idle(const std::string& p_pool_key) const;
    /// Closes what waits to connect for too long or is idle for too long.
    void tick(time_point p_now);

    /// Connections that were opened so far.
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
    [[nodiscard]] std::shared_ptr<connection>
    take_idle(const std::string& p_pool_key);

    boost::asio::io_context& context_;
    pool_limits limits_;
    boot_clock clock_;
    std::map<std::string, std::vector<idle_connection>> idle_;
    std::map<std::shared_ptr<connection>, std::string> open_;
    std::uint64_t connections_opened_ = 0;
};

/// Reads IP:PORT; nothing if it is none.
[[nodiscard]] std::optional<boost::asio::ip::tcp::endpoint>
parse_ip_endpoint(const std::string& p_address);

} // namespace peridotspar::backend
