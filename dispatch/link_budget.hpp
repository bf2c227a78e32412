#pragma once

#include "core/clock.hpp"

#include <cstddef>

namespace peridotspar::dispatch
{

/// Keeps the requests that this node hands to its own link within what the link
/// carries. Whatever is sent later, such as the close of an abandoned request,
/// waits behind them, and the node can't take them back. Not thread-safe.
class link_budget
{
public:
    /// `p_bytes_per_s`: rate of the link; 0 if it isn't known, and then nothing
    /// is limited.
    explicit link_budget(double p_bytes_per_s);

    /// Whether a message of that size may be sent now. Short ones always may.
    [[nodiscard]] bool may_send(std::size_t p_bytes, time_point p_now) const;
    void record_sent(std::size_t p_bytes, time_point p_now);
    /// Time until a message is sent that waits behind `p_bytes_ahead`, besides
    /// what was sent already.
    [[nodiscard]] duration wait(std::size_t p_bytes_ahead,
                                time_point p_now) const;

private:
    /// Time that the link needs for what it was handed.
    [[nodiscard]] duration backlog(time_point p_now) const;
    [[nodiscard]] duration send_time(std::size_t p_bytes) const;

    double bytes_per_s_; ///< For requests; 0 if nothing is limited.
    time_point busy_until_{};
};

} // namespace peridotspar::dispatch
