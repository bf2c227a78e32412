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

void urgency_scale::configure(const routing::route_table& p_table)
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

unsigned urgency_scale::urgency_of(const request_profile& p_request) const
{
    const auto priority_count =
        std::max<unsigned>(1, static_cast<unsigned>(priorities_.size()));
    const unsigned steps_per_priority =
        std::max(1U, (least_urgent + 1) / priority_count);
    const unsigned base =
        rank_in(priorities_, p_request.priority_) * steps_per_priority;
    unsigned step = 0;
    if (const auto known = targets_.find(p_request.service_);
        known != targets_.end())
    {
        step = rank_in(known->second, p_request.answer_target_);
    }
    return std::min(least_urgent,
                    base + std::min(step, steps_per_priority - 1));
}

} // namespace peridotspar::dispatch
