#include "policy/wait_estimator.hpp"

#include <algorithm>

namespace peridotspar::policy
{

namespace
{

/// Averages out fluctuations of a few seconds at ten samples per second.
constexpr double running_smoothing_factor = 0.01;
/// Lower bound of the capacity, which keeps the estimate finite.
constexpr double min_open_slots = 0.25;
constexpr double max_wait_s = 3600;

} // namespace

void wait_estimator::record_service_time(class_index p_class, double p_seconds)
{
    if (class_service_s_.size() <= p_class.value())
    {
        class_service_s_.resize(p_class.value() + 1, moving_average(0.1));
    }
    class_service_s_[p_class.value()].add(p_seconds);
    overall_service_s_.add(p_seconds);
}

void wait_estimator::record_running(const by_lane<unsigned>& p_running)
{
    for (std::size_t i = 0; i < tier_count; ++i)
    {
        for (std::size_t j = 0; j < lane_count; ++j)
        {
            auto& average = running_[i][j];
            if (average.count() == 0)
            {
                average = moving_average(running_smoothing_factor);
            }
            average.add(p_running[i][j]);
        }
    }
}

double wait_estimator::mean_service_s(class_index p_class) const
{
    const bool known = p_class.value() < class_service_s_.size() &&
                       class_service_s_[p_class.value()].count() > 0;
    return known ? class_service_s_[p_class.value()].value()
                 : overall_service_s_.value();
}

double
wait_estimator::running_at_higher_priority(const queue_snapshot& p_queue) const
{
    constexpr auto short_lane = static_cast<std::size_t>(lane::short_work);
    constexpr auto long_lane = static_cast<std::size_t>(lane::long_work);
    double running = 0;
    for (std::size_t i = 0; i < p_queue.tier_.value(); ++i)
    {
        running += running_[i][long_lane].value();
        // Short requests of higher tiers run on slots that long requests
        // can't use, so they only count for short requests.
        running += p_queue.lane_ == lane::short_work
                       ? running_[i][short_lane].value()
                       : 0;
    }
    if (p_queue.lane_ == lane::short_work)
    {
        running += running_[p_queue.tier_.value()][long_lane].value();
    }
    return running;
}

duration wait_estimator::estimate(const queue_snapshot& p_queue) const
{
    if (overall_service_s_.count() == 0 || p_queue.work_ahead_s_ <= 0)
    {
        return duration(0);
    }
    const double total_slots =
        p_queue.lane_ == lane::long_work ? p_queue.long_slots_ : p_queue.slots_;
    const double open_slots = total_slots * (1 - p_queue.minimum_share_) -
                              running_at_higher_priority(p_queue);
    double wait_s =
        p_queue.work_ahead_s_ / std::max(open_slots, min_open_slots);
    if (p_queue.tier_.value() > 0)
    {
        // Requests that run on the minimum share now finish first.
        const double minimum_share_wait_s =
            (p_queue.own_tier_work_s_ +
             p_queue.minimum_share_running_ * overall_service_s_.value()) /
            std::max(1.0, p_queue.minimum_share_slots_);
        wait_s = std::min(wait_s, minimum_share_wait_s);
    }
    return from_seconds(std::min(max_wait_s, wait_s));
}

} // namespace peridotspar::policy
