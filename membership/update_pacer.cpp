#include "membership/update_pacer.hpp"

#include <algorithm>

namespace peridotspar
{

bool update_pacer::may_send(time_point p_now) const
{
    return p_now >= last_sent_ + min_interval_ &&
           p_now >= next_slot_ - max_ahead * mean_interval_;
}

void update_pacer::record_sent(time_point p_now)
{
    last_sent_ = p_now;
    next_slot_ = std::max(next_slot_, p_now) + mean_interval_;
}

} // namespace peridotspar
