#pragma once

#include "core/clock.hpp"

namespace peridotspar::dispatch
{

/// Tracks whether a server is healthy enough to get requests, based on the
/// results of earlier ones. Not thread-safe.
class server_health
{
public:
    /// Records an answer of a working server.
    void record_success(time_point p_now);
    /// Records that the server isn't at its address: nothing, or another
    /// server, answers there. It is unhealthy after the first time.
    void record_absent(time_point p_now);
    /// Records a lost or silent connection or a failed request.
    void record_failure(time_point p_now);

    [[nodiscard]] bool is_healthy(time_point p_now) const;
    /// Whether an unhealthy server is due for another try.
    [[nodiscard]] bool may_probe(time_point p_now) const;
    /// Records that a request was sent to try an unhealthy server.
    void record_probe(time_point p_now);
    [[nodiscard]] unsigned consecutive_failures() const
    {
        return consecutive_failures_;
    }
    /// Moving average of failures among the latest results, 0 to 1. It decays
    /// over time, because a server that is avoided gives no further results.
    [[nodiscard]] double failure_share(time_point p_now) const;

private:
    void update_failure_share(double p_failed, time_point p_now);

    unsigned consecutive_failures_ = 0;
    time_point unhealthy_until_{};
    time_point next_probe_{};
    double failure_share_ = 0; ///< As of `failure_share_updated_at_`.
    time_point failure_share_updated_at_{};
};

} // namespace peridotspar::dispatch
