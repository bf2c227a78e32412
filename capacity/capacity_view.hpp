#pragma once

#include "core/clock.hpp"
#include "core/ids.hpp"

#include <cstddef>
#include <vector>

namespace peridotspar::capacity
{

/// One failure domain of one service.
struct domain_state
{
    failure_domain_id domain_;
    /// Price of one engine-second of a standard engine.
    double price_ = 1;
    /// Engines in the list that serve and aren't leaving.
    unsigned standard_ = 0;
    unsigned spot_ = 0;
};

/// What the holder of the duty knows about one service.
struct capacity_view
{
    /// Engines per failure domain, standard and spot together.
    unsigned min_per_domain_ = 0;
    unsigned max_per_domain_ = 0;
    /// Time until a new engine serves.
    duration boot_time_{};
    /// Price of a spot engine as a fraction of a standard one's.
    double spot_price_ = 1;
    std::vector<domain_state> domains_;
    /// Engine time for prefill that the requests of all nodes asked for, in
    /// milliseconds per second.
    double prefill_ms_per_s_ = 0;
    /// Streams that run or wait, on all nodes.
    double streams_ = 0;
    /// Streams that one engine runs at a time.
    double slots_per_engine_ = 1;
    /// Engines whose memory is filled by the prompt parts in use.
    double cached_engines_ = 0;
    /// Age of the oldest node report in this view.
    duration age_{};
    std::size_t reporting_nodes_ = 0;
    std::size_t live_nodes_ = 0;
    /// Time since this node took over the duty.
    duration held_for_{};
};

/// Returns false for contradictory input: no domains, an unnamed or repeated
/// domain, min above max or 100,000, no slots, or a negative or non-finite
/// number.
[[nodiscard]] bool is_usable(const capacity_view& p_view);

} // namespace peridotspar::capacity
