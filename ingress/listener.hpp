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

/// Accepts connections at one address and keeps them. Belongs to the thread
/// of its context.
class listener
{
public:
    using limits_source = std::function<const routing::caller_limits&()>;

    /// Throws boost::system::system_error if the address can't be bound.
    listener(boost::asio::io_context& p_context, const std::string& p_address,
             request_handler& p_handler, limits_source p_limits);
    ~listener();
    listener(const listener&) = delete;
    listener& operator=(const listener&) = delete;

    /// Bounds the connections; beyond, the longest idle one is closed, or else
    /// the new one.
    void set_max_connections(std::size_t p_max_connections)
    {
        max_connections_ = p_max_connections;
    }
    void tick(time_point p_now);
    /// Closes the connections without a request.
    void close_idle();
    /// Whether callers have yet to take bytes of answers that have ended.
    [[nodiscard]] bool has_unsent_data() const;
    [[nodiscard]] std::size_t size() const { return connections_.size(); }

private:
    void accept();
    void add_connection(boost::asio::ip::tcp::socket p_socket);
    [[nodiscard]] bool make_room();

    boost::asio::ip::tcp::acceptor acceptor_;
    request_handler& handler_;
    limits_source limits_;
    std::list<std::shared_ptr<caller_connection>> connections_;
    std::size_t max_connections_ = 2000;
    bool stopped_ = false;
};

} // namespace peridotspar::ingress
