#include "dispatch/server_health.hpp"

#include <algorithm>

namespace peridotspar::dispatch
{

namespace
{

using namespace std::chrono_literals;

constexpr unsigned failures_to_distrust = 2;
constexpr duration first_distrust = 300ms;
constexpr unsigned most_doublings = 4;
constexpr duration probe_gap = 300ms;

} // namespace

void server_health::note_success()
{
    failures_ = 0;
    distrusted_until_ = {};
}

void server_health::note_failure(time_point p_now)
{
    ++failures_;
    if (failures_ < failures_to_distrust)
    {
        return;
    }
    const unsigned doublings =
        std::min(failures_ - failures_to_distrust, most_doublings);
    distrusted_until_ = p_now + first_distrust * (1U << doublings);
    next_probe_ = distrusted_until_;
}

bool server_health::is_trusted(time_point) const
{
    return failures_ < failures_to_distrust;
}

bool server_health::may_probe(time_point p_now) const
{
    return p_now >= distrusted_until_ && p_now >= next_probe_;
}

void server_health::note_probe(time_point p_now)
{
    next_probe_ = p_now + probe_gap;
}

} // namespace peridotspar::dispatch
