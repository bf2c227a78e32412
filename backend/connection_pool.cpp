#include "backend/connection_pool.hpp"

#include <algorithm>
#include <charconv>

#include <boost/asio/ip/address.hpp>

namespace peridotspar::backend
{

std::optional<boost::asio::ip::tcp::endpoint>
parse_ip_endpoint(const std::string& p_address)
{
    const auto colon = p_address.rfind(':');
    if (colon == std::string::npos)
    {
        return std::nullopt;
    }
    std::uint16_t port = 0;
    const char* end = p_address.data() + p_address.size();
    const auto result =
        std::from_chars(p_address.data() + colon + 1, end, port);
    boost::system::error_code error;
    const auto ip =
        boost::asio::ip::make_address(p_address.substr(0, colon), error);
    if (error || result.ec != std::errc{} || result.ptr != end)
    {
        return std::nullopt;
    }
    return boost::asio::ip::tcp::endpoint(ip, port);
}

connection_pool::connection_pool(boost::asio::io_context& p_context,
                                 pool_limits p_limits)
    : context_(p_context), limits_(p_limits)
{
}

connection_pool::~connection_pool()
{
    const auto open = open_;
    for (const auto& [connection, pool_key] : open)
    {
        connection->close();
    }
}

std::shared_ptr<connection>
connection_pool::send(const std::string& p_pool_key,
                      const std::string& p_address, std::string p_request,
                      bool p_is_head_request,
                      std::weak_ptr<call_handler> p_handler)
{
    auto chosen = take_idle(p_pool_key);
    if (!chosen)
    {
        chosen = create(p_pool_key, p_address);
    }
    if (chosen)
    {
        chosen->start(std::move(p_request), p_is_head_request,
                      std::move(p_handler));
    }
    return chosen;
}

std::shared_ptr<connection> connection_pool::open(const std::string& p_pool_key,
                                                  const std::string& p_address)
{
    auto opened = create(p_pool_key, p_address);
    if (opened)
    {
        opened->open();
    }
    return opened;
}

std::shared_ptr<connection>
connection_pool::create(const std::string& p_pool_key,
                        const std::string& p_address)
{
    const auto server = parse_ip_endpoint(p_address);
    if (!server)
    {
        return nullptr;
    }
    auto created = std::make_shared<connection>(context_, *server, *this);
    open_.emplace(created, p_pool_key);
    ++connections_opened_;
    return created;
}

std::shared_ptr<connection>
connection_pool::take_idle(const std::string& p_pool_key)
{
    const auto found = idle_.find(p_pool_key);
    if (found == idle_.end())
    {
        return nullptr;
    }
    const time_point now = clock_.now();
    auto& idle_connections = found->second;
    while (!idle_connections.empty())
    {
        const idle_connection candidate = std::move(idle_connections.back());
        idle_connections.pop_back();
        if (now < candidate.expires_at_ && candidate.connection_->is_reusable())
        {
            return candidate.connection_;
        }
        candidate.connection_->close();
    }
    return nullptr;
}

bool connection_pool::has_idle(const std::string& p_pool_key) const
{
    const auto found = idle_.find(p_pool_key);
    const time_point now = clock_.now();
    return found != idle_.end() &&
           std::any_of(found->second.begin(), found->second.end(),
                       [now](const idle_connection& p_idle)
                       { return now < p_idle.expires_at_; });
}

void connection_pool::close_idle(const std::string& p_pool_key)
{
    const auto found = idle_.find(p_pool_key);
    if (found == idle_.end())
    {
        return;
    }
    const auto idle_connections = std::exchange(found->second, {});
    for (const auto& idle : idle_connections)
    {
        idle.connection_->close();
    }
}

void connection_pool::on_idle(const std::shared_ptr<connection>& p_idle)
{
    duration timeout = limits_.idle_timeout_;
    if (p_idle->keep_alive_timeout())
    {
        timeout = *p_idle->keep_alive_timeout() - limits_.idle_timeout_margin_;
    }
    if (timeout <= duration::zero())
    {
        p_idle->close();
        return;
    }
    idle_[open_[p_idle]].push_back({p_idle, clock_.now() + timeout});
}

void connection_pool::on_closed(const std::shared_ptr<connection>& p_closed)
{
    const auto found = open_.find(p_closed);
    if (found == open_.end())
    {
        return;
    }
    auto& idle_connections = idle_[found->second];
    std::erase_if(idle_connections, [&](const idle_connection& p_idle)
                  { return p_idle.connection_ == p_closed; });
    open_.erase(found);
}

void connection_pool::tick(time_point p_now)
{
    std::vector<std::shared_ptr<connection>> overdue;
    for (const auto& [connection, pool_key] : open_)
    {
        if (connection->is_connecting() &&
            p_now - connection->started_at() > limits_.connect_timeout_)
        {
            overdue.push_back(connection);
        }
    }
    for (const auto& connection : overdue)
    {
        connection->abort_connect();
    }
    for (auto& [pool_key, idle_connections] : idle_)
    {
        std::vector<std::shared_ptr<connection>> expired;
        for (const auto& idle : idle_connections)
        {
            if (p_now >= idle.expires_at_)
            {
                expired.push_back(idle.connection_);
            }
        }
        for (const auto& connection : expired)
        {
            connection->close();
        }
    }
}

} // namespace peridotspar::backend
