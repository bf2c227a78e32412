#include "ingress/listener.hpp"

#include "backend/connection_pool.hpp"
#include "core/log.hpp"

#include <algorithm>
#include <stdexcept>

namespace peridotspar::ingress
{

namespace
{

using tcp = boost::asio::ip::tcp;
constexpr int backlog = 1024;
/// Of responses that callers don't take, for all connections together; well
/// below the memory of the smallest VMs.
constexpr std::size_t max_unsent_bytes = 32U << 20U;

} // namespace

listener::listener(boost::asio::io_context& p_context,
                   const std::string& p_address, request_handler& p_handler,
                   limits_source p_limits)
    : acceptor_(p_context), handler_(p_handler), limits_(std::move(p_limits))
{
    const auto endpoint = backend::parse_ip_endpoint(p_address);
    if (!endpoint)
    {
        throw std::invalid_argument(p_address +
                                    " is not a listen address (IP:PORT)");
    }
    acceptor_.open(endpoint->protocol());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    acceptor_.bind(*endpoint);
    acceptor_.listen(backlog);
    accept();
}

listener::~listener()
{
    stopped_ = true;
    for (const auto& connection : connections_)
    {
        connection->close();
    }
}

void listener::accept()
{
    acceptor_.async_accept(
        [this](const boost::system::error_code& p_error, tcp::socket p_socket)
        {
            if (stopped_ || p_error == boost::asio::error::operation_aborted)
            {
                return;
            }
            if (!p_error)
            {
                add_connection(std::move(p_socket));
            }
            accept();
        });
}

bool listener::make_room()
{
    connections_.remove_if([](const auto& p_connection)
                           { return p_connection->is_closed(); });
    if (connections_.size() < max_connections_)
    {
        return true;
    }
    const auto longest_idle = std::min_element(
        connections_.begin(), connections_.end(),
        [](const auto& p_left, const auto& p_right)
        {
            return std::pair(!p_left->is_idle(), p_left->last_used()) <
                   std::pair(!p_right->is_idle(), p_right->last_used());
        });
    if (!(*longest_idle)->is_idle())
    {
        return false;
    }
    (*longest_idle)->close();
    connections_.erase(longest_idle);
    return true;
}

void listener::add_connection(tcp::socket p_socket)
{
    if (!make_room())
    {
        log_event(log_level::warning, "caller.no_room")
            .with("connections", connections_.size());
        return; // Destroying p_socket closes the connection.
    }
    const auto connection = std::make_shared<caller_connection>(
        std::move(p_socket), handler_, limits_());
    connections_.push_back(connection);
    connection->start();
}

void listener::limit_unsent_data()
{
    std::size_t total = 0;
    std::shared_ptr<caller_connection> longest;
    for (const auto& each : connections_)
    {
        const std::size_t unsent = each->unsent_bytes();
        total += unsent;
        longest = !longest || unsent > longest->unsent_bytes() ? each : longest;
    }
    if (total <= max_unsent_bytes)
    {
        return;
    }
    log_event(log_level::warning, "caller.too_slow")
        .with("unsent", longest->unsent_bytes())
        .with("all_unsent", total);
    longest->disconnect();
}

void listener::tick(time_point p_now)
{
    limit_unsent_data();
    for (auto each = connections_.begin(); each != connections_.end();)
    {
        (*each)->tick(p_now, limits_());
        each =
            (*each)->is_closed() ? connections_.erase(each) : std::next(each);
    }
}

bool listener::has_unsent_data() const
{
    return std::any_of(connections_.begin(), connections_.end(),
                       [](const auto& p_connection)
                       { return p_connection->unsent_bytes() > 0; });
}

void listener::close_idle()
{
    for (const auto& connection : connections_)
    {
        connection->close_if_idle();
    }
}

} // namespace peridotspar::ingress
