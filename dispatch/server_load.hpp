#pragma once

#include "core/clock.hpp"

#include <cstdint>
#include <map>

namespace peridotspar::dispatch
{

/// Probability that a pause expected to last `p_pause` exceeds a stream's bound
/// `p_max_pause`. Engines are slowed down for moments by other load on their
/// hosts that nodes can't observe.
[[nodiscard]] double lateness_probability(duration p_pause,
                                          duration p_max_pause);

/// The load that the requests of one or several nodes put on a server.
struct server_load
{
    unsigned requests_ = 0;
    std::uint64_t tokens_ = 0;   ///< Expected use of engine memory.
    duration pending_prefill_{}; ///< Engine time of prefills not yet done.
    /// Number of streams by their longest acceptable pause.
    std::map<duration, unsigned> stream_counts_;

    void add(bool p_stream, duration p_pause, std::uint64_t p_tokens);
    void remove(bool p_stream, duration p_pause, std::uint64_t p_tokens);
    /// Subtracts a prefill that has been done or given up.
    void remove_pending_prefill(duration p_prefill_time);
    server_load& operator+=(const server_load& p_added);
    /// Subtracts a load that was added before.
    server_load& operator-=(const server_load& p_removed);
    /// Expected number of streams that a pause makes late.
    [[nodiscard]] double expected_late_streams(duration p_pause) const;
};

} // namespace peridotspar::dispatch
