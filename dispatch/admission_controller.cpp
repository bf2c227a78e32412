#include "dispatch/admission_controller.hpp"

#include <algorithm>

namespace peridotspar::dispatch
{

namespace
{

using namespace std::chrono_literals;

/// Callers are expected to abandon a stream without a first event after the
/// longest of these: a minimum, a multiple of the answer target and a multiple
/// of the pause target.
constexpr duration min_start_timeout = 2s;
constexpr int start_timeout_targets = 4;
constexpr int start_timeout_pauses = 8;
/// Share of the remaining time that the expected wait may use. The rest is a
/// margin, because the estimates are rough.
constexpr double usable_wait_share = 0.8;
/// Shortest delay that a refused caller is told to wait before it retries.
constexpr duration min_retry_delay = 200ms;
/// A retry delay is at most the time left until the deadline divided by this,
/// so that the caller can still retry in time.
constexpr int time_left_divisor = 3;

} // namespace

duration stream_start_timeout(duration p_target, duration p_pause)
{
    return std::max({min_start_timeout, p_target * start_timeout_targets,
                     p_pause * start_timeout_pauses});
}

std::optional<duration> admission_controller::find_refusal(
    const request_profile& p_request, const placement& p_placement,
    const wait_queue& p_queue, duration p_queued_at_peers, time_point p_now,
    duration p_link_wait)
{
    const duration wait = p_placement.expected_wait(p_request, p_now);
    if (wait == duration::max())
    {
        return retry_delay(p_request, min_retry_delay, p_now);
    }
    const auto servers = static_cast<duration::rep>(
        p_placement.available_servers(p_request.service_));
    const duration engines =
        (p_queue.prefill_ahead_of(p_request) + p_queued_at_peers) /
        std::max<duration::rep>(servers, 1);
    const duration ahead = std::max(engines, p_link_wait);
    const duration usable_wait(static_cast<duration::rep>(
        usable_wait_share *
        static_cast<double>((p_request.give_up_at_ - p_now).count())));
    if (wait + ahead <= usable_wait)
    {
        return std::nullopt;
    }
    return retry_delay(p_request, wait + ahead - usable_wait, p_now);
}

duration admission_controller::retry_delay(const request_profile& p_request,
                                           duration p_base, time_point p_now)
{
    // The jitter keeps requests that were refused together from retrying
    // together.
    std::uniform_real_distribution<double> jitter(1.0, 1.6);
    const duration wanted = from_seconds(
        jitter(random_) * to_seconds(std::max(p_base, min_retry_delay)));
    const duration max_delay = std::max(
        min_retry_delay, (p_request.deadline_ - p_now) / time_left_divisor);
    return std::min(wanted, max_delay);
}

} // namespace peridotspar::dispatch
