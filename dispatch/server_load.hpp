#pragma once

#include "core/clock.hpp"

#include <cstdint>
#include <map>

namespace peridotspar::dispatch
{

/// Chance that a pause turns out longer than a stream bears: engines are slowed
/// for moments by neighbours that nobody sees.
[[nodiscard]] double chance_of_lateness(duration p_pause, duration p_longest);

/// Requests that run at a server for one node, or for several.
struct running_count
{
    unsigned all_ = 0;
    std::uint64_t tokens_ = 0; ///< Of engine memory, as expected.
    duration unread_{};        ///< Engine time for prompts not yet read.
    /// Streams by the longest pause that they bear.
    std::map<duration, unsigned> streams_;

    void add(bool p_stream, duration p_pause, std::uint64_t p_tokens);
    void remove(bool p_stream, duration p_pause, std::uint64_t p_tokens);
    /// A prompt that took that much engine time isn't unread any more.
    void note_read(duration p_reading);
    running_count& operator+=(const running_count& p_more);
    /// Takes away what was added before.
    running_count& operator-=(const running_count& p_less);
    /// Streams that a pause is expected to make late.
    [[nodiscard]] double disturbed_by(duration p_pause) const;
};

} // namespace peridotspar::dispatch
