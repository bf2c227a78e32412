#pragma once

#include "core/clock.hpp"

namespace peridotspar
{

/// Decides when a node may send its next update to all peers. The mean interval
/// is kept, but after a quiet time a few updates may follow each other sooner,
/// so that a rare one isn't late. Has no clock. Not thread-safe.
class update_pacer
{
public:
    /// `p_min_interval`: shortest time between two updates.
    explicit update_pacer(duration p_min_interval)
        : min_interval_(p_min_interval), mean_interval_(p_min_interval)
    {
    }

    /// Sets the mean interval. It grows with the number of peers, as each
    /// update is sent to all.
    void set_mean_interval(duration p_interval) { mean_interval_ = p_interval; }
    [[nodiscard]] bool may_send(time_point p_now) const;
    void record_sent(time_point p_now);

private:
    /// Updates that may be sent ahead of the mean interval.
    static constexpr int max_ahead = 2;

    duration min_interval_;
    duration mean_interval_;
    time_point last_sent_{};
    /// When the next update would be due at the mean interval.
    time_point next_slot_{};
};

} // namespace peridotspar
