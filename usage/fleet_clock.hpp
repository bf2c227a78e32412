#pragma once

#include "core/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace peridotspar
{

/// True time by majority: the median of the own clock and the live peers'
/// clocks. Each clock is kept as its offset to the boot clock, so that the time
/// advances evenly between messages. Correct to within the message delay as
/// long as fewer than half of the clocks are off. Not thread-safe.
class fleet_clock
{
public:
    /// Sets the own system clock. Call this at each tick; it also drops peers
    /// that haven't been heard for 15 s, not counting the time during which
    /// this node was suspended.
    void set_own(std::int64_t p_unix_ms, time_point p_now);
    /// Records the system clock that a peer read when it sent a message that
    /// has just been received. Times outside 1970 to 5138 are ignored.
    void record_peer(const std::string& p_peer, std::int64_t p_unix_ms,
                     time_point p_now);
    /// Milliseconds since the Unix epoch. It is the own clock if no peer is
    /// live, and 0 before any clock was recorded. The median is computed at
    /// most every 200 ms while the peers stay the same.
    [[nodiscard]] std::int64_t unix_ms(time_point p_now) const;
    /// Number of peers whose clocks are remembered.
    [[nodiscard]] std::size_t peers() const { return peers_.size(); }

private:
    /// The offset of a peer's clock. A message's delay only lowers the offset
    /// that is seen, so the highest one of the last 10 to 20 s is used.
    struct peer_clock
    {
        duration highest_{};          ///< Since `since_`.
        duration previous_highest_{}; ///< In the interval before.
        time_point since_{};
        time_point heard_{};
        /// An offset that looks like a step back, or like a delayed message,
        /// and the time when it was first seen.
        std::optional<duration> suspected_;
        time_point suspected_at_{};

        [[nodiscard]] duration offset() const;
        void restart(duration p_offset, time_point p_now);
        void add(duration p_offset, time_point p_now);
        void suspect(duration p_offset, time_point p_now);
    };

    [[nodiscard]] bool needs_median(time_point p_now) const;
    void update_median(time_point p_now) const;

    std::optional<duration> own_offset_;
    time_point own_set_at_{};
    std::unordered_map<std::string, peer_clock> peers_;
    // Cache of unix_ms().
    mutable bool peers_changed_ = false;
    mutable std::optional<duration> median_;
    mutable time_point median_at_{};
    mutable bool median_is_own_ = true;
};

} // namespace peridotspar
