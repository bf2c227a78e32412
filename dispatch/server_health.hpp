#pragma once

#include "core/clock.hpp"

namespace peridotspar::dispatch
{

/// Whether a server is trusted with work, from what its answers show.
class server_health
{
public:
    /// An answer came, whole and by a working server.
    void note_success(time_point p_now);
    /// Nobody, or another server, is at its address: it gets nothing for a
    /// while, without a second look.
    void note_absent(time_point p_now);
    /// A connection was cut or silent, or the server failed.
    void note_failure(time_point p_now);

    [[nodiscard]] bool is_healthy(time_point p_now) const;
    /// Out of trust, but due for another try.
    [[nodiscard]] bool may_probe(time_point p_now) const;
    void note_probe(time_point p_now);
    [[nodiscard]] unsigned consecutive_failures() const
    {
        return consecutive_failures_;
    }
    /// Share of its latest answers that failed, 0 to 1; it passes with time,
    /// as a server that is avoided gives no further answers.
    [[nodiscard]] double failure_share(time_point p_now) const;

private:
    void update_failure_share(double p_failed, time_point p_now);

    unsigned consecutive_failures_ = 0; ///< In a row.
    time_point unhealthy_until_{};
    time_point next_probe_{};
    double failure_share_ = 0; ///< As of `counted_at_`.
    time_point failure_share_updated_at_{};
};

} // namespace peridotspar::dispatch
