#pragma once

#include "policy/catalogue.hpp"
#include "policy/rate_meter.hpp"
#include "policy/tuning.hpp"

#include <array>

namespace peridotspar::policy
{

/// Estimates how long a request of a tier would wait in one pool's queue.
///
/// A tier's estimate uses only the work of its own tier and of the tiers
/// above it, and always leaves the minimum share out of the capacity. So
/// lower-tier work never changes whether a higher-tier request is shed.
class wait_estimator
{
public:
    explicit wait_estimator(const tuning& p_tuning) : tuning_(p_tuning) {}

    void note_admitted(tier p_tier, time_point p_now);
    /// Notes how long a request of a tier held its slot.
    void note_service(tier p_tier, double p_seconds);

    struct queue_view
    {
        double slots_ = 0;            ///< That this node may count on.
        double ahead_ = 0;            ///< Waiting in this tier and those above.
        double own_tier_ = 0;         ///< Waiting in this tier.
        double reserved_running_ = 0; ///< On the minimum share.
    };
    /// A request is served by its tier's turn or by the minimum share,
    /// whichever comes first.
    [[nodiscard]] duration estimate(tier p_tier, const queue_view& p_queue,
                                    time_point p_now) const;
    /// Mean time that a request holds a slot, in seconds; 0 if unknown.
    [[nodiscard]] double service_s() const { return service_s_.value(); }

private:
    const tuning& tuning_;
    moving_average service_s_{0.05};
    std::array<moving_average, tier_count> tier_service_s_;
    std::array<rate_meter, tier_count> admitted_{
        rate_meter(memory), rate_meter(memory), rate_meter(memory),
        rate_meter(memory), rate_meter(memory), rate_meter(memory)};

    static constexpr duration memory = std::chrono::seconds(2);
};

} // namespace peridotspar::policy
