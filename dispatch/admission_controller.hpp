#pragma once

#include "dispatch/placement.hpp"
#include "dispatch/wait_queue.hpp"

#include <optional>
#include <random>

namespace peridotspar::dispatch
{

/// Time that a caller is expected to wait for the first event of a stream
/// before it gives up. `p_target` is the route's target for the first event,
/// `p_pause` its target for the pauses between events.
[[nodiscard]] duration stream_start_timeout(duration p_target,
                                            duration p_pause);

/// Decides whether a request may wait for a server or is refused at once with a
/// retry delay. Not thread-safe.
class admission_controller
{
public:
    explicit admission_controller(std::uint64_t p_seed) : random_(p_seed) {}

    /// Returns the retry delay if the request would not be answered in time, or
    /// nullopt if it may wait. `p_queued_at_peers` is the engine time of the
    /// requests that are ahead of it in the queues of other nodes,
    /// `p_link_wait` the time until this node's link can take it.
    [[nodiscard]] std::optional<duration>
    find_refusal(const request_profile& p_request, const placement& p_placement,
                 const wait_queue& p_queue, duration p_queued_at_peers,
                 time_point p_now, duration p_link_wait = {});
    /// Returns the delay after which a refused request should be retried:
    /// `p_base` with jitter, bounded by the time left until the request's
    /// deadline.
    [[nodiscard]] duration retry_delay(const request_profile& p_request,
                                       duration p_base, time_point p_now);

private:
    std::mt19937_64 random_;
};

} // namespace peridotspar::dispatch
