#pragma once

#include "policy/catalogue.hpp"
#include "policy/rate_meter.hpp"

#include <array>
#include <vector>

namespace peridotspar::policy
{

/// Short work and long work wait apart.
enum class lane : std::uint8_t
{
    short_work,
    long_work,
};
constexpr std::size_t lane_count = 2;
/// Something for each tier and lane.
template <class Item>
using by_lane = std::array<std::array<Item, lane_count>, tier_count>;

/// Estimates how long a request would wait in one pool's queue.
///
/// A tier's estimate uses only the work of its own tier and of the tiers
/// above it, and always leaves the minimum share out of the capacity. So
/// lower-tier work never changes whether a higher-tier request is shed.
class wait_estimator
{
public:
    /// The queue and the slots as one request sees them.
    struct queue_snapshot
    {
        tier tier_;
        lane lane_ = lane::short_work;
        /// Slots that this node may count on, for all and for long work.
        double slots_ = 0;
        double long_slots_ = 0;
        /// Share of the slots that is left to the minimum share.
        double minimum_share_ = 0;
        /// Slots that the minimum share may take, and work on them now.
        double minimum_share_slots_ = 0;
        double minimum_share_running_ = 0;
        /// Seconds of service that wait ahead of it, its own included: in
        /// its lane up to its tier, and in its tier.
        double work_ahead_s_ = 0;
        double own_tier_work_s_ = 0;
    };

    /// Notes how long a request of a class held its slot.
    void record_service_time(class_index p_class, double p_seconds);
    /// Notes this node's running work; call it at a steady pace.
    void record_running(const by_lane<unsigned>& p_running);

    /// A request is served by its tier's turn or by the minimum share,
    /// whichever comes first.
    [[nodiscard]] duration estimate(const queue_snapshot& p_queue) const;
    /// Usual time that a request of a class holds a slot, in seconds; 0 if
    /// it isn't known.
    [[nodiscard]] double mean_service_s(class_index p_class) const;

private:
    [[nodiscard]] double
    running_at_higher_priority(const queue_snapshot& p_queue) const;

    std::vector<moving_average> class_service_s_;
    moving_average overall_service_s_{0.05};
    by_lane<moving_average> running_;
};

} // namespace peridotspar::policy
