#include "dispatch/server_health.hpp"

#include <algorithm>
#include <cmath>

namespace peridotspar::dispatch
{

namespace
{

using namespace std::chrono_literals;

/// Consecutive failures from which a server counts as unhealthy.
constexpr unsigned unhealthy_failure_count = 2;
/// Time from then to the first probe; doubled for each further failure.
constexpr duration initial_unhealthy_time = 300ms;
/// Limits the exponential backoff.
constexpr unsigned max_doublings = 4;
/// Time to the first probe of an absent server, doubled for each further
/// absence. Within a few seconds either the server is back or its entry is
/// removed.
constexpr duration initial_absence_time = 500ms;
/// Shortest time between two probes of an unhealthy server.
constexpr duration probe_interval = 300ms;
/// Weight of the latest result in the moving average of failures.
constexpr double failure_sample_weight = 0.3;
/// Time constant of the decay of the failure share: after this time it has
/// about a third of its value.
constexpr duration failure_share_decay_time = 4s;

} // namespace

void server_health::update_failure_share(double p_failed, time_point p_now)
{
    const double previous_share = failure_share(p_now);
    failure_share_ =
        previous_share + failure_sample_weight * (p_failed - previous_share);
    failure_share_updated_at_ = p_now;
}

double server_health::failure_share(time_point p_now) const
{
    const double age = to_seconds(p_now - failure_share_updated_at_);
    return failure_share_ *
           std::exp(-age / to_seconds(failure_share_decay_time));
}

void server_health::record_success(time_point p_now)
{
    update_failure_share(0, p_now);
    consecutive_failures_ = 0;
    unhealthy_until_ = {};
}

void server_health::record_failure(time_point p_now)
{
    update_failure_share(1, p_now);
    ++consecutive_failures_;
    if (consecutive_failures_ < unhealthy_failure_count)
    {
        return;
    }
    const unsigned doublings = std::min(
        consecutive_failures_ - unhealthy_failure_count, max_doublings);
    unhealthy_until_ = p_now + initial_unhealthy_time * (1U << doublings);
    next_probe_ = unhealthy_until_;
}

void server_health::record_absent(time_point p_now)
{
    consecutive_failures_ =
        std::max(consecutive_failures_ + 1, unhealthy_failure_count);
    const unsigned doublings = std::min(
        consecutive_failures_ - unhealthy_failure_count, max_doublings);
    unhealthy_until_ = p_now + initial_absence_time * (1U << doublings);
    next_probe_ = unhealthy_until_;
}

bool server_health::is_healthy(time_point) const
{
    return consecutive_failures_ < unhealthy_failure_count;
}

bool server_health::may_probe(time_point p_now) const
{
    return p_now >= unhealthy_until_ && p_now >= next_probe_;
}

void server_health::record_probe(time_point p_now)
{
    next_probe_ = p_now + probe_interval;
}

} // namespace peridotspar::dispatch
