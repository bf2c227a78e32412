#pragma once

#include "capacity/capacity_options.hpp"
#include "capacity/capacity_view.hpp"
#include "capacity/engine_order.hpp"
#include "capacity/fleet_plan.hpp"
#include "capacity/order_pool.hpp"
#include "core/clock.hpp"
#include "core/ids.hpp"

#include <deque>
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace peridotspar::capacity
{

/// Failure domain, and true for spot engines.
using pool_key = std::pair<failure_domain_id, bool>;

/// What is known of the engines of one service: the list, orders that it
/// doesn't show yet, refusals, reclaims and recent reductions.
class order_book
{
public:
    explicit order_book(const capacity_options& p_options) : options_(p_options)
    {
    }

    /// Forgets engines and orders, but not reclaims and reductions.
    void forget_orders() { pools_.clear(); }
    /// Takes the list of a usable view. Returns true if spot engines of a
    /// domain were reclaimed.
    bool take_list(const capacity_view& p_view, time_point p_now);
    void record_sent(const std::vector<engine_order>& p_orders,
                     duration p_boot_time, time_point p_now);
    void record_result(const engine_order& p_order, order_result p_result,
                       time_point p_now);

    /// The expected engines and what may be changed. Engines of the pools in
    /// `p_closed` may not be added.
    [[nodiscard]] fleet_plan plan(const capacity_view& p_view,
                                  const std::set<pool_key>& p_closed,
                                  time_point p_now) const;
    /// Orders that lead from the expected engines to the plan, the largest
    /// change first.
    [[nodiscard]] std::vector<engine_order>
    changes(const fleet_plan& p_plan) const;
    /// Whether the same number was ordered last and may still take effect.
    [[nodiscard]] bool is_repeat(const engine_order& p_order,
                                 time_point p_now) const;
    [[nodiscard]] bool is_reduction(const engine_order& p_order) const;
    [[nodiscard]] bool has_listed() const;
    /// Engines after all orders have taken effect.
    [[nodiscard]] unsigned expected() const;
    /// Engines that serve now and aren't ordered away. Engines that still boot
    /// don't count, as they may never arrive.
    [[nodiscard]] unsigned lasting() const;

private:
    struct domain_history
    {
        /// Times of reductions in the last minute, oldest first.
        std::deque<time_point> downs_;
        time_point no_spot_until_{};
    };

    void drop_absent(const capacity_view& p_view);
    void drop_old_downs(time_point p_now);
    bool take_spot(const domain_state& p_domain, time_point p_now);
    [[nodiscard]] planned_domain planned(const domain_state& p_domain,
                                         const std::set<pool_key>& p_closed,
                                         time_point p_now) const;

    capacity_options options_;
    std::map<pool_key, order_pool> pools_;
    std::map<failure_domain_id, domain_history> domains_;
    time_point spot_paused_until_{};
};

} // namespace peridotspar::capacity
