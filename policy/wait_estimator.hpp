#pragma once

#include "policy/catalogue.hpp"
#include "policy/rate_meter.hpp"

#include <array>
#include <vector>

namespace peridotspar::policy
{

/// Short and long requests wait in separate lanes.
enum class lane : std::uint8_t
{
    short_work,
    long_work,
};
constexpr std::size_t lane_count = 2;
/// One item for each tier and lane.
template <class Item>
using by_lane = std::array<std::array<Item, lane_count>, tier_count>;

/// Estimates how long a request would wait in one pool's queue.
///
/// The estimate for a tier uses only the work of that tier and of higher ones,
/// and always excludes the minimum share from the capacity. Lower-tier work
/// therefore never changes whether a higher-tier request is shed. Not
/// thread-safe.
class wait_estimator
{
public:
    /// State of the queue and the slots from the view of one request.
    struct queue_snapshot
    {
        tier tier_;
        lane lane_ = lane::short_work;
        /// Slots that this node may use, in total and for long requests.
        double slots_ = 0;
        double long_slots_ = 0;
        /// Fraction of the slots that is set aside as the minimum share.
        double minimum_share_ = 0;
        /// Slots of the minimum share, and requests that run on them.
        double minimum_share_slots_ = 0;
        double minimum_share_running_ = 0;
        /// Waiting service time in seconds, the request's own included: in
        /// its lane from the highest tier to its own, and in its own tier.
        double work_ahead_s_ = 0;
        double own_tier_work_s_ = 0;
    };

    /// Adds the time for which a request of a class held its slot.
    void record_service_time(class_index p_class, double p_seconds);
    /// Samples the number of this node's running requests. Must be called at
    /// regular intervals, as each sample has the same weight.
    void record_running(const by_lane<unsigned>& p_running);

    /// Estimated wait, at most one hour. A request is served in its tier's turn
    /// or on the minimum share, whichever comes first. Zero while no service
    /// time is known.
    [[nodiscard]] duration estimate(const queue_snapshot& p_queue) const;
    /// Average time for which a request of a class holds a slot, in seconds.
    /// Falls back to the average over all classes; 0 if that is unknown too.
    [[nodiscard]] double mean_service_s(class_index p_class) const;

private:
    /// Average number of running requests that take precedence: those of higher
    /// tiers, and for a short request also the long ones of its own tier.
    [[nodiscard]] double
    running_at_higher_priority(const queue_snapshot& p_queue) const;

    std::vector<moving_average> class_service_s_;
    moving_average overall_service_s_{0.05};
    by_lane<moving_average> running_;
};

} // namespace peridotspar::policy
