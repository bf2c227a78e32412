#pragma once

#include "capacity/capacity_decision.hpp"
#include "capacity/capacity_options.hpp"
#include "capacity/capacity_view.hpp"
#include "capacity/engine_order.hpp"
#include "capacity/need_peak.hpp"
#include "capacity/order_book.hpp"
#include "core/clock.hpp"

#include <optional>
#include <vector>

namespace peridotspar::capacity
{

/// Decides how many engines of one service run in each failure domain. Used by
/// the holder of the duty only. Has no I/O and no clock. Not thread-safe.
class engine_orders
{
public:
    explicit engine_orders(capacity_options p_options);

    /// Orders to send now, most urgent first; the reason is in `last()`. Each
    /// order counts as effective from now on unless `on_result` says
    /// otherwise, so an order that the caller can't send is reported as
    /// `order_result::retry`. A view that isn't usable (`is_usable`) orders
    /// nothing. `p_now` may not decrease.
    std::vector<engine_order> decide(const capacity_view& p_view,
                                     time_point p_now);
    /// Orders for domains that the last view didn't have are ignored.
    void on_result(const engine_order& p_order, order_result p_result,
                   time_point p_now);
    /// Inputs and outcome of the last `decide`.
    [[nodiscard]] const capacity_decision& last() const { return last_; }

private:
    void detect_takeover(const capacity_view& p_view, time_point p_now);
    void update_smoothed(const engine_need& p_need, duration p_boot_time,
                         time_point p_now);
    /// Engines needed by the peak of `p_window` and by the mean.
    [[nodiscard]] double required(duration p_window, time_point p_now) const;
    bool is_list_doubtful(const capacity_view& p_view, time_point p_now);
    void describe(const capacity_view& p_view, const engine_need& p_need,
                  time_point p_now);
    std::vector<engine_order> up(const capacity_view& p_view, time_point p_now);
    std::vector<engine_order> down(const capacity_view& p_view,
                                   time_point p_now);
    [[nodiscard]] std::vector<engine_order>
    reductions(const capacity_view& p_view, unsigned p_lasting,
               unsigned p_lowest, time_point p_now) const;
    [[nodiscard]] decision_reason up_reason(bool p_reclaimed,
                                            time_point p_now) const;
    [[nodiscard]] std::optional<decision_reason>
    down_obstacle(const capacity_view& p_view, time_point p_now) const;
    [[nodiscard]] bool is_settling(const capacity_view& p_view) const;
    [[nodiscard]] unsigned lowest_allowed(time_point p_now) const;

    capacity_options options_;
    need_peak peak_;
    /// Peak of the mean need.
    need_peak mean_peak_;
    /// Moving averages of the need, over the boot time and `mean_time_`.
    engine_need smoothed_;
    double mean_ = 0;
    std::optional<time_point> smoothed_at_;
    /// Since when there has been demand without a gap.
    std::optional<time_point> demand_since_;
    order_book book_;
    /// Since when the list has been empty although engines were known.
    std::optional<time_point> empty_since_;
    std::optional<time_point> last_down_;
    /// When this node took over the duty.
    std::optional<time_point> held_since_;
    capacity_decision last_;
};

} // namespace peridotspar::capacity
