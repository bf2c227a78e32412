#include "dispatch/urgency_scale.hpp"

#include <algorithm>
#include <iterator>

namespace peridotspar::dispatch
{

namespace
{

template <class Set, class Value>
unsigned rank_in(const Set& p_set, const Value& p_value)
{
    return static_cast<unsigned>(
        std::distance(p_set.begin(), p_set.lower_bound(p_value)));
}

} // namespace

void urgency_scale::learn(const routing::route_table& p_table)
{
    priorities_.clear();
    targets_.clear();
    p_table.for_each_route(
        [this](const routing::route& p_route)
        {
            priorities_.insert(p_route.priority_);
            for (const auto& share : p_route.services_)
            {
                if (p_route.stream_)
                {
                    targets_[share.service_].insert(p_route.answer_target_);
                }
            }
        });
    p_table.for_each_account(
        [this](const routing::account& p_account)
        {
            if (p_account.priority_)
            {
                priorities_.insert(*p_account.priority_);
            }
        });
}

unsigned urgency_scale::of(const work& p_work) const
{
    const auto in_use =
        std::max<unsigned>(1, static_cast<unsigned>(priorities_.size()));
    const unsigned steps = std::max(1U, (lowest + 1) / in_use);
    const unsigned base = rank_in(priorities_, p_work.priority_) * steps;
    unsigned step = 0;
    if (const auto known = targets_.find(p_work.service_);
        known != targets_.end())
    {
        step = rank_in(known->second, p_work.target_);
    }
    return std::min(lowest, base + std::min(step, steps - 1));
}

} // namespace peridotspar::dispatch
