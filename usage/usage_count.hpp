#pragma once

#include "core/clock.hpp"
#include "core/strong_type.hpp"

#include <cstdint>
#include <string>

namespace peridotspar
{

/// Number of a report window. Window k begins k window lengths after the start
/// of 1970, in true time.
using window_id = strong_type<struct window_tag, std::int64_t>;

/// Requests of one account that began in one window on one node, cumulative
/// over the run of the node.
struct usage_count
{
    window_id window_;
    std::string account_;
    std::uint64_t requests_ = 0;
};

/// The window that contains a Unix time in milliseconds.
[[nodiscard]] window_id window_at(std::int64_t p_unix_ms, duration p_window);

/// The Unix time in milliseconds at which a window begins.
[[nodiscard]] std::int64_t window_begin_ms(window_id p_id, duration p_window);

/// The window that is `p_steps` after another one; before it, if negative.
[[nodiscard]] window_id window_after(window_id p_id, std::int64_t p_steps = 1);

} // namespace peridotspar
