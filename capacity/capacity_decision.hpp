#pragma once

#include "capacity/engine_order.hpp"
#include "core/clock.hpp"

#include <cstddef>
#include <string_view>
#include <vector>

namespace peridotspar::capacity
{

/// Why engines were or weren't ordered.
enum class decision_reason
{
    /// The expected engines meet the need, without a surplus.
    hold_enough,
    /// More engines are needed, but no domain may get them now.
    hold_limited,
    /// There is a surplus, but a report in the view is too old.
    hold_stale,
    /// There is a surplus, but live nodes haven't reported.
    hold_incomplete,
    /// The duty was taken over recently, and there is a surplus or the view
    /// isn't complete yet.
    hold_recent_takeover,
    /// No demand is visible while engines run, or it hasn't been for long.
    hold_no_demand,
    /// There is a surplus, but the limits on reductions are reached.
    hold_down_limit,
    /// The engine list was suddenly empty and isn't believed yet.
    hold_empty_list,
    up_prefill,
    up_streams,
    up_cache,
    /// A domain has fewer engines than its minimum.
    up_min,
    /// Spot engines of a domain were reclaimed and are replaced.
    replace_reclaimed,
    down,
    unusable_input
};

/// The reason as it appears in logs, for example "up_prefill".
[[nodiscard]] std::string_view to_string(decision_reason p_reason);

/// Inputs and outcome of one decision, for logs. Engines count all domains.
struct capacity_decision
{
    decision_reason reason_ = decision_reason::hold_enough;
    /// Engines that each resource needs now, without the reserve.
    double prefill_engines_ = 0;
    double stream_engines_ = 0;
    double cache_engines_ = 0;
    /// Peak of the largest of them, averaged over the boot time.
    double peak_engines_ = 0;
    /// Moving average of the largest of them.
    double mean_engines_ = 0;
    /// Engines to have: the peak, or the mean with the reserve if that is more.
    unsigned needed_ = 0;
    /// Engines in the list.
    unsigned running_ = 0;
    /// Engines in the list after all earlier orders have taken effect.
    unsigned expected_ = 0;
    /// Needed engines that could not be ordered anywhere.
    unsigned shortage_ = 0;
    duration view_age_{};
    std::size_t reporting_nodes_ = 0;
    std::size_t live_nodes_ = 0;
    duration held_for_{};
    std::vector<engine_order> orders_;
};

} // namespace peridotspar::capacity
