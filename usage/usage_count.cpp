#include "usage/usage_count.hpp"

#include <algorithm>
#include <chrono>

namespace peridotspar
{
namespace
{

std::int64_t length_ms(duration p_window)
{
    using std::chrono::milliseconds;
    const auto length = std::chrono::duration_cast<milliseconds>(p_window);
    return std::max<std::int64_t>(length.count(), 1);
}

} // namespace

window_id window_at(std::int64_t p_unix_ms, duration p_window)
{
    const std::int64_t length = length_ms(p_window);
    const bool rounds_up = p_unix_ms < 0 && p_unix_ms % length != 0;
    return window_id(p_unix_ms / length - (rounds_up ? 1 : 0));
}

std::int64_t window_begin_ms(window_id p_id, duration p_window)
{
    return p_id.value() * length_ms(p_window);
}

window_id window_after(window_id p_id, std::int64_t p_steps)
{
    return window_id(p_id.value() + p_steps);
}

} // namespace peridotspar
