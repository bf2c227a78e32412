#pragma once

#include "core/clock.hpp"

#include <chrono>
#include <cstddef>

namespace peridotspar::capacity
{

/// Parameters of `engine_orders`.
struct capacity_options
{
    /// Share of an engine's time spent on prefill at the peak. Requests go to
    /// the engine with the shortest queue of several, so that at 0.75 they
    /// still wait for less than a service time on average, and the urgent ones
    /// are served first.
    double prefill_utilization_ = 0.75;
    /// Share of the stream slots in use. The other 0.3 takes the uneven spread
    /// of streams over engines and the requests that wait for prefill.
    double stream_share_ = 0.7;
    /// Factor on the engines filled by prompt parts. A quarter more memory
    /// keeps parts in use from being evicted by those used once.
    double cached_engines_factor_ = 1.25;
    /// Factor on the mean need, for the increase possible within the boot
    /// time. A service with several classes rises by about this much in total
    /// when one class with a fifth of the load rises to 2.7 times its usual
    /// rate. The peak needs no reserve, as it holds such a rise.
    double reserve_ = 1.35;
    /// Time constant of the mean need.
    duration mean_time_ = std::chrono::seconds(10);
    /// Time over which the peak of the need counts.
    duration peak_window_ = std::chrono::seconds(30);
    /// Time beyond the boot time after which an order without a visible effect
    /// may be repeated; covers the delay of the engine list.
    duration settle_time_ = std::chrono::seconds(3);

    /// Time after a takeover in which nothing is ordered with an incomplete or
    /// old view, or an empty engine list. A number worked out from a part of
    /// the demand could be lower than the earlier holder's and would stop
    /// engines that boot.
    duration takeover_wait_ = std::chrono::seconds(2);
    /// Time for which an engine list that is suddenly empty isn't believed. The
    /// numbers of a plan from zero would stop engines in some domains if the
    /// list was wrong, as after a reset of the store.
    duration empty_list_wait_ = std::chrono::seconds(3);
    /// Time for which other domains are preferred to one where ordered engines
    /// didn't arrive.
    duration failed_boot_pause_ = std::chrono::seconds(30);

    /// Scaling down needs the duty for this long, as reports and engines of a
    /// new holder's view arrive one after the other.
    duration min_held_for_ = std::chrono::seconds(10);
    /// Oldest node report with which engines are removed.
    duration max_view_age_ = std::chrono::seconds(2);
    /// Shortest time between two reductions of the service.
    duration down_interval_ = std::chrono::seconds(4);
    /// Share of the service's engines that one reduction may remove; one
    /// engine may always be removed.
    double max_down_share_ = 0.1;
    /// No reduction goes below the need of this time.
    duration down_window_ = std::chrono::seconds(20);
    /// Reductions per minute in one failure domain.
    std::size_t max_downs_per_minute_ = 6;
    /// Surplus kept, as a fraction of the need, so that noise of a few percent
    /// in the peak doesn't remove and order the same engine in turns.
    double down_slack_ = 0.03;

    /// Largest share of spot engines in all engines.
    double max_spot_share_ = 0.25;
    /// Time without spot orders in a domain whose spot engines were reclaimed.
    duration reclaim_pause_ = std::chrono::seconds(15);
    /// Time without a larger order of a kind in a domain that had none, and
    /// without any spot order after a reclaim or a refused spot order.
    duration none_available_pause_ = std::chrono::seconds(3);
    /// Time without orders of a kind in a domain that rejected one.
    duration rejected_pause_ = std::chrono::seconds(10);
};

} // namespace peridotspar::capacity
