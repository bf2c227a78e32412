#pragma once

#include "dispatch/placement.hpp"
#include "dispatch/wait_queue.hpp"

#include <optional>
#include <random>

namespace peridotspar::dispatch
{

/// How long a caller can be expected to wait for the first part of a
/// stream: nobody waits for ever in front of nothing.
[[nodiscard]] duration stream_start_timeout(duration p_target,
                                            duration p_pause);

/// Decides whether a request may wait for a server or is better told at once
/// to come back, and when.
class admission_controller
{
public:
    explicit admission_controller(std::uint64_t p_seed) : random_(p_seed) {}

    /// When to come back, if the request would not be answered in time;
    /// nothing if it may wait. `p_elsewhere`: engine time of what goes before
    /// it in the lines of other nodes.
    [[nodiscard]] std::optional<duration>
    find_refusal(const request_profile& p_request, const placement& p_placement,
                 const wait_queue& p_queue, duration p_queued_at_peers,
                 time_point p_now);
    /// When a request that is refused for another reason should come back.
    [[nodiscard]] duration retry_delay(const request_profile& p_request,
                                       duration p_base, time_point p_now);

private:
    std::mt19937_64 random_;
};

} // namespace peridotspar::dispatch
