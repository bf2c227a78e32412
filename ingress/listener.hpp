#pragma once

#include "ingress/caller_connection.hpp"

#include <functional>
#include <list>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace peridotspar::ingress
{

/// Accepts connections at one address and owns them. Use only from the thread
/// that runs `p_context`.
class listener
{
public:
    using limits_source = std::function<const routing::caller_limits&()>;

    /// `p_address` is IP:PORT. Throws std::invalid_argument if it can't be
    /// parsed and boost::system::system_error if it can't be bound. `p_limits`
    /// is called for each new connection and at each tick.
    listener(boost::asio::io_context& p_context, const std::string& p_address,
             request_handler& p_handler, limits_source p_limits);
    ~listener();
    listener(const listener&) = delete;
    listener& operator=(const listener&) = delete;

    /// Limits the number of open connections. At the limit, a new connection
    /// replaces the longest idle one, or is closed if none is idle.
    void set_max_connections(std::size_t p_max_connections)
    {
        max_connections_ = p_max_connections;
    }
    /// Enforces the connections' timeouts. Call periodically.
    void tick(time_point p_now);
    /// Closes the connections that have no request in progress.
    void close_idle();
    /// Whether any connection still has response bytes to send.
    [[nodiscard]] bool has_unsent_data() const;
    /// Number of connections, including closed ones that tick() hasn't removed.
    [[nodiscard]] std::size_t size() const { return connections_.size(); }

private:
    void accept();
    void add_connection(boost::asio::ip::tcp::socket p_socket);
    /// Closes the connection whose caller leaves most bytes untaken if all
    /// together leave too many.
    void limit_unsent_data();
    /// Closes an idle connection at the limit; false if none is idle.
    [[nodiscard]] bool make_room();

    boost::asio::ip::tcp::acceptor acceptor_;
    request_handler& handler_;
    limits_source limits_;
    std::list<std::shared_ptr<caller_connection>> connections_;
    std::size_t max_connections_ = 2000;
    bool stopped_ = false;
};

} // namespace peridotspar::ingress
