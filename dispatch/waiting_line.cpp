#include "dispatch/waiting_line.hpp"

namespace peridotspar::dispatch
{

void waiting_line::add(const work& p_work, waiter_id p_id, duration p_reading)
{
    const key place{p_work.priority_, p_work.arrived_, p_id};
    const bool added =
        lines_[p_work.service_].emplace(place, waiter{p_reading}).second;
    size_ += added ? 1 : 0;
}

void waiting_line::remove(const work& p_work, waiter_id p_id)
{
    const auto found = lines_.find(p_work.service_);
    if (found == lines_.end())
    {
        return;
    }
    size_ -= found->second.erase({p_work.priority_, p_work.arrived_, p_id});
}

duration waiting_line::ahead_of(const work& p_work) const
{
    const auto found = lines_.find(p_work.service_);
    duration total{};
    if (found == lines_.end())
    {
        return total;
    }
    const key place{p_work.priority_, p_work.arrived_, 0};
    for (const auto& [position, waits] : found->second)
    {
        if (!(position < place))
        {
            break;
        }
        total += waits.reading_;
    }
    return total;
}

} // namespace peridotspar::dispatch
