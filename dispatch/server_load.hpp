#pragma once

#include "core/clock.hpp"

#include <cstdint>
#include <map>

namespace peridotspar::dispatch
{

/// Chance that a pause turns out longer than a stream bears: engines are slowed
/// for moments by neighbours that nobody sees.
[[nodiscard]] double lateness_probability(duration p_pause,
                                          duration p_max_pause);

/// Requests that run at a server for one node, or for several.
struct server_load
{
    unsigned requests_ = 0;
    std::uint64_t tokens_ = 0;   ///< Of engine memory, as expected.
    duration pending_prefill_{}; ///< Engine time for prompts not yet read.
    /// Streams by the longest pause that they bear.
    std::map<duration, unsigned> stream_counts_;

    void add(bool p_stream, duration p_pause, std::uint64_t p_tokens);
    void remove(bool p_stream, duration p_pause, std::uint64_t p_tokens);
    /// A prompt that took that much engine time isn't unread any more.
    void remove_pending_prefill(duration p_prefill_time);
    server_load& operator+=(const server_load& p_added);
    /// Takes away what was added before.
    server_load& operator-=(const server_load& p_removed);
    /// Streams that a pause is expected to make late.
    [[nodiscard]] double expected_late_streams(duration p_pause) const;
};

} // namespace peridotspar::dispatch
