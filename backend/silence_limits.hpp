#pragma once

#include "core/clock.hpp"

#include <algorithm>

namespace peridotspar::backend
{

/// When a connection to a server ends because nothing arrives from the server's
/// system. Sound ones fall silent for a second or so.
struct silence_limits
{
    /// Limit on the time that sent bytes stay unacknowledged. On Linux, if it
    /// is set, it also decides when probes give up, whatever their number.
    duration user_timeout_ = std::chrono::milliseconds(3000);
    /// From the last byte or acknowledgement to the first probe, and between
    /// probes.
    duration probe_interval_ = std::chrono::seconds(1);
    int probes_ = 2;

    /// How long after the last byte or acknowledgement an idle connection ends:
    /// with the first probe at which the user timeout is over, the first one
    /// excepted; without one, after all probes.
    [[nodiscard]] constexpr duration end_of_idle() const
    {
        if (user_timeout_ == duration::zero())
        {
            return probe_interval_ * (probes_ + 1);
        }
        duration elapsed = probe_interval_ * 2;
        while (elapsed < user_timeout_)
        {
            elapsed += probe_interval_;
        }
        return elapsed;
    }
    /// The longest silence that no idle connection ends in: it may begin just
    /// before a probe.
    [[nodiscard]] constexpr duration tolerated_silence() const
    {
        return end_of_idle() - probe_interval_;
    }
};

} // namespace peridotspar::backend
