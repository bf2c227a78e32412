#include "policy/wait_estimator.hpp"

#include <algorithm>

namespace peridotspar::policy
{

namespace
{

/// Averages over swings of a few seconds, at ten notes a second.
constexpr double running_share = 0.01;
constexpr double least_slots = 0.25;
constexpr double longest_wait_s = 3600;

} // namespace

void wait_estimator::note_service(class_index p_class, double p_seconds)
{
    if (service_s_.size() <= p_class.value())
    {
        service_s_.resize(p_class.value() + 1, moving_average(0.1));
    }
    service_s_[p_class.value()].note(p_seconds);
    any_service_s_.note(p_seconds);
}

void wait_estimator::note_running(const by_lane<unsigned>& p_running)
{
    for (std::size_t i = 0; i < tier_count; ++i)
    {
        for (std::size_t j = 0; j < lane_count; ++j)
        {
            auto& average = running_[i][j];
            if (average.count() == 0)
            {
                average = moving_average(running_share);
            }
            average.note(p_running[i][j]);
        }
    }
}

double wait_estimator::service_s(class_index p_class) const
{
    const bool known = p_class.value() < service_s_.size() &&
                       service_s_[p_class.value()].count() > 0;
    return known ? service_s_[p_class.value()].value() : any_service_s_.value();
}

double wait_estimator::running_above(const view& p_view) const
{
    constexpr auto short_at = static_cast<std::size_t>(lane::short_work);
    constexpr auto long_at = static_cast<std::size_t>(lane::long_work);
    double above = 0;
    for (std::size_t i = 0; i < p_view.tier_.value(); ++i)
    {
        above += running_[i][long_at].value();
        // Short work of higher tiers has slots that long work can't use.
        above += p_view.lane_ == lane::short_work
                     ? running_[i][short_at].value()
                     : 0;
    }
    if (p_view.lane_ == lane::short_work)
    {
        above += running_[p_view.tier_.value()][long_at].value();
    }
    return above;
}

duration wait_estimator::estimate(const view& p_view) const
{
    if (any_service_s_.count() == 0 || p_view.ahead_s_ <= 0)
    {
        return duration(0);
    }
    const double all =
        p_view.lane_ == lane::long_work ? p_view.long_slots_ : p_view.slots_;
    const double open =
        all * (1 - p_view.minimum_share_) - running_above(p_view);
    double wait_s = p_view.ahead_s_ / std::max(open, least_slots);
    if (p_view.tier_.value() > 0)
    {
        // On the minimum share the ones that run now finish first.
        const double minimum_s =
            (p_view.own_tier_s_ +
             p_view.minimum_running_ * any_service_s_.value()) /
            std::max(1.0, p_view.minimum_slots_);
        wait_s = std::min(wait_s, minimum_s);
    }
    return from_seconds(std::min(longest_wait_s, wait_s));
}

} // namespace peridotspar::policy
