#include "dispatch/server_health.hpp"

#include <algorithm>
#include <cmath>

namespace peridotspar::dispatch
{

namespace
{

using namespace std::chrono_literals;

constexpr unsigned failures_to_distrust = 2;
constexpr duration first_distrust = 300ms;
constexpr unsigned most_doublings = 4;
/// An absent server's entry goes after some seconds, or the server is back.
constexpr duration first_absence = 500ms;
constexpr duration probe_gap = 300ms;
/// Weight of the latest answer in the share of failures.
constexpr double latest_weight = 0.3;
/// After that long an old share counts for a third.
constexpr duration share_passes = 4s;

} // namespace

void server_health::count(double p_failed, time_point p_now)
{
    const double before = failure_share(p_now);
    share_ = before + latest_weight * (p_failed - before);
    counted_at_ = p_now;
}

double server_health::failure_share(time_point p_now) const
{
    const double age = to_seconds(p_now - counted_at_);
    return share_ * std::exp(-age / to_seconds(share_passes));
}

void server_health::note_success(time_point p_now)
{
    count(0, p_now);
    failures_ = 0;
    distrusted_until_ = {};
}

void server_health::note_failure(time_point p_now)
{
    count(1, p_now);
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

void server_health::note_absence(time_point p_now)
{
    failures_ = std::max(failures_ + 1, failures_to_distrust);
    const unsigned again =
        std::min(failures_ - failures_to_distrust, most_doublings);
    distrusted_until_ = p_now + first_absence * (1U << again);
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
