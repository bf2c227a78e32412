#pragma once

#include "capacity/capacity_options.hpp"
#include "capacity/capacity_view.hpp"
#include "capacity/engine_orders.hpp"
#include "core/clock.hpp"

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace peridotspar::capacity
{

/// Demand on a simulated service; units as in `capacity_view`.
struct simulated_demand
{
    double prefill_ms_per_s_ = 0;
    double streams_ = 0;
    double cached_engines_ = 0;
};

/// State of a simulated service at one time.
struct simulation_row
{
    double time_s_ = 0;
    simulated_demand demand_;
    /// Engines that the true demand needs, without the reserve.
    double needed_ = 0;
    /// Sum of the numbers ordered last.
    unsigned ordered_ = 0;
    unsigned running_ = 0;
};

/// An order as it was sent in a simulation.
struct sent_order
{
    double time_s_ = 0;
    engine_order order_;
    bool down_ = false;
    decision_reason reason_ = decision_reason::hold_enough;
    order_result result_ = order_result::done;
};

/// A counted fleet that boots and stops engines as ordered, and a holder that
/// decides every 500 ms. Lost engines don't come back without an order.
class fleet_simulation
{
public:
    /// `p_view`: limits, domains and the initial engines.
    fleet_simulation(capacity_view p_view, capacity_options p_options = {});

    /// True demand at a time in seconds since the start.
    std::function<simulated_demand(double)> demand_;
    /// Called before each decision; may change what the holder sees.
    std::function<void(capacity_view&, double)> change_view_;
    /// Whether an order of this kind finds no engine (409).
    std::function<bool(const engine_order&)> is_dry_;

    /// A domain that accepts orders but starts no engines; may be empty.
    std::string never_starts_;

    void run(double p_seconds);
    /// Engines stop without an order.
    void lose(const std::string& p_domain, bool p_spot, unsigned p_count);
    /// The next decision is made by another node that knows nothing.
    void replace_holder();
    /// No node decides until the next call of `replace_holder`.
    void remove_holder() { has_holder_ = false; }

    [[nodiscard]] unsigned running() const;
    [[nodiscard]] unsigned running(const std::string& p_domain,
                                   bool p_spot) const;
    [[nodiscard]] const std::vector<simulation_row>& rows() const
    {
        return rows_;
    }
    [[nodiscard]] const std::vector<sent_order>& orders() const
    {
        return orders_;
    }
    /// Orders sent in a time range; `p_down`: reductions only.
    [[nodiscard]] std::size_t count_orders(double p_from_s, double p_to_s,
                                           bool p_down = false) const;
    /// Engine-seconds missing against the true need.
    [[nodiscard]] double shortage() const { return shortage_; }
    /// Engine-seconds of engines that run or boot.
    [[nodiscard]] double paid() const { return paid_; }
    /// Engine-seconds paid relative to keeping the initial number.
    [[nodiscard]] double paid_ratio() const;
    [[nodiscard]] const capacity_decision& last() const
    {
        return holder_.last();
    }

private:
    using pool_key = std::pair<failure_domain_id, bool>;
    struct pool_state
    {
        unsigned running_ = 0;
        unsigned ordered_ = 0;
        /// When each booting engine serves, soonest first.
        std::deque<double> boots_;
    };

    void boot_engines();
    void account(double p_step_s);
    void decide();
    order_result apply(const engine_order& p_order);
    [[nodiscard]] capacity_view view() const;
    [[nodiscard]] time_point now() const;

    capacity_view initial_;
    capacity_options options_;
    engine_orders holder_;
    bool has_holder_ = true;
    double now_s_ = 0;
    double held_since_s_ = -60;
    unsigned initial_engines_ = 0;
    std::map<pool_key, pool_state> pools_;
    double shortage_ = 0;
    double paid_ = 0;
    std::vector<simulation_row> rows_;
    std::vector<sent_order> orders_;
};

} // namespace peridotspar::capacity
