#include "core/log_rate_limiter.hpp"

#include <utility>

namespace peridotspar
{

log_rate_limiter::decision
log_rate_limiter::try_acquire(const std::string& p_event, std::int64_t p_second)
{
    const std::lock_guard lock(mutex_);
    event_usage& used = usage_[p_event];
    decision result;
    if (used.second_ != p_second)
    {
        result.left_out_ = std::exchange(used.left_out_, 0);
        used.second_ = p_second;
        used.lines_ = 0;
    }
    result.is_allowed_ = used.lines_ < max_lines_per_second_;
    if (result.is_allowed_)
    {
        ++used.lines_;
    }
    else
    {
        ++used.left_out_;
    }
    return result;
}

} // namespace peridotspar
