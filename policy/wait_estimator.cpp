#include "policy/wait_estimator.hpp"

#include <algorithm>
#include <cmath>

namespace peridotspar::policy
{

void wait_estimator::note_admitted(tier p_tier, time_point p_now)
{
    admitted_[p_tier.value()].note(1, p_now);
}

void wait_estimator::note_service(tier p_tier, double p_seconds)
{
    service_s_.note(p_seconds);
    tier_service_s_[p_tier.value()].note(p_seconds);
}

duration wait_estimator::estimate(tier p_tier, const queue_view& p_queue,
                                  time_point p_now) const
{
    if (service_s_.count() == 0 || p_queue.ahead_ <= 0)
    {
        return duration(0);
    }
    constexpr double longest_wait_s = 3600;
    constexpr double least_rate = 1e-3;
    const double lanes =
        std::max(1.0, std::floor(p_queue.slots_ * tuning_.minimum_share_));
    const double usable = std::max(0.0, p_queue.slots_ - lanes);
    double rate = usable / service_s_.value();
    for (std::size_t i = 0; i < p_tier.value(); ++i)
    {
        rate -= admitted_[i].per_second(p_now);
    }
    double wait_s = p_queue.ahead_ / std::max(rate, least_rate);
    if (p_tier.value() > 0)
    {
        const auto& own = tier_service_s_[p_tier.value()];
        const double held = own.count() > 0 ? own.value() : service_s_.value();
        const double lane_wait_s =
            (p_queue.own_tier_ + p_queue.reserved_running_) * held / lanes;
        wait_s = std::min(wait_s, lane_wait_s);
    }
    return from_seconds(std::min(longest_wait_s, wait_s));
}

} // namespace peridotspar::policy
