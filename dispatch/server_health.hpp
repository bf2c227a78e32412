#pragma once

#include "core/clock.hpp"

namespace peridotspar::dispatch
{

/// Whether a server is trusted with work, from what its answers show.
class server_health
{
public:
    /// An answer came, whole and by a working server.
    void note_success();
    /// A connection was refused, cut or silent, or the server failed.
    void note_failure(time_point p_now);

    [[nodiscard]] bool is_trusted(time_point p_now) const;
    /// Out of trust, but due for another try.
    [[nodiscard]] bool may_probe(time_point p_now) const;
    void note_probe(time_point p_now);
    [[nodiscard]] unsigned failures() const { return failures_; }

private:
    unsigned failures_ = 0; ///< In a row.
    time_point distrusted_until_{};
    time_point next_probe_{};
};

} // namespace peridotspar::dispatch
