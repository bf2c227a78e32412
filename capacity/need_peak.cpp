#include "capacity/need_peak.hpp"

#include <algorithm>

namespace peridotspar::capacity
{

void need_peak::record(const engine_need& p_need, time_point p_now)
{
    while (!samples_.empty() &&
           samples_.back().need_.largest() <= p_need.largest())
    {
        samples_.pop_back();
    }
    samples_.push_back({p_now, p_need});
    while (samples_.front().time_ < p_now - kept_)
    {
        samples_.pop_front();
    }
}

engine_need need_peak::over(duration p_window, time_point p_now) const
{
    const auto found =
        std::find_if(samples_.begin(), samples_.end(),
                     [&](const sample& p_sample)
                     { return p_sample.time_ >= p_now - p_window; });
    return found == samples_.end() ? engine_need{} : found->need_;
}

} // namespace peridotspar::capacity
