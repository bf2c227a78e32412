#include "dispatch/link_budget.hpp"

#include <algorithm>

namespace peridotspar::dispatch
{

namespace
{

using namespace std::chrono_literals;

/// Share of the link for requests. The rest is for responses and messages
/// between nodes.
constexpr double request_share = 0.7;
/// A long message waits while the link needs longer than this for what it was
/// handed.
constexpr duration max_backlog = 60ms;
/// Shorter messages hardly delay others.
constexpr std::size_t max_short_bytes = 4096;

} // namespace

link_budget::link_budget(double p_bytes_per_s)
    : bytes_per_s_(p_bytes_per_s * request_share)
{
}

duration link_budget::send_time(std::size_t p_bytes) const
{
    return bytes_per_s_ > 0
               ? from_seconds(static_cast<double>(p_bytes) / bytes_per_s_)
               : duration{};
}

duration link_budget::backlog(time_point p_now) const
{
    return std::max(duration{}, busy_until_ - p_now);
}

bool link_budget::may_send(std::size_t p_bytes, time_point p_now) const
{
    return p_bytes <= max_short_bytes || backlog(p_now) <= max_backlog;
}

void link_budget::record_sent(std::size_t p_bytes, time_point p_now)
{
    busy_until_ = std::max(busy_until_, p_now) + send_time(p_bytes);
}

duration link_budget::wait(std::size_t p_bytes_ahead, time_point p_now) const
{
    return std::max(duration{},
                    backlog(p_now) + send_time(p_bytes_ahead) - max_backlog);
}

} // namespace peridotspar::dispatch
