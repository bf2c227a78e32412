#include "capacity/engine_orders.hpp"

#include "capacity/engine_need.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <set>

namespace peridotspar::capacity
{

namespace
{

/// Shortest time over which the need is smoothed.
constexpr double min_smoothing_s = 1;

unsigned engines_for(double p_need)
{
    // Bounds the work of a plan when a report carries an absurd demand.
    constexpr double max_engines = 100'000;
    // A need that is a whole number except for rounding isn't rounded up.
    constexpr double rounding = 1e-9;
    return static_cast<unsigned>(
        std::ceil(std::clamp(p_need - rounding, 0.0, max_engines)));
}

unsigned listed_engines(const capacity_view& p_view)
{
    unsigned sum = 0;
    for (const domain_state& domain : p_view.domains_)
    {
        sum += domain.standard_ + domain.spot_;
    }
    return sum;
}

/// All live nodes have reported.
bool is_complete(const capacity_view& p_view)
{
    return p_view.live_nodes_ > 0 &&
           p_view.reporting_nodes_ >= p_view.live_nodes_;
}

/// The demand of missing nodes isn't known, so that the need doesn't fall.
engine_need at_least(const engine_need& p_need, const engine_need& p_least)
{
    return {std::max(p_need.prefill_, p_least.prefill_),
            std::max(p_need.streams_, p_least.streams_),
            std::max(p_need.cache_, p_least.cache_)};
}

bool has_demand(const capacity_view& p_view)
{
    return p_view.prefill_ms_per_s_ > 0 || p_view.streams_ > 0;
}

} // namespace

engine_orders::engine_orders(capacity_options p_options)
    : options_(p_options),
      peak_(std::max(p_options.peak_window_, p_options.down_window_)),
      mean_peak_(p_options.down_window_),
      book_(p_options)
{
}

std::vector<engine_order> engine_orders::decide(const capacity_view& p_view,
                                                time_point p_now)
{
    last_ = {};
    if (!is_usable(p_view))
    {
        last_.reason_ = decision_reason::unusable_input;
        return {};
    }
    detect_takeover(p_view, p_now);
    const engine_need need = need_of(p_view, options_);
    update_smoothed(is_complete(p_view) ? need : at_least(need, smoothed_),
                    p_view.boot_time_, p_now);
    peak_.record(smoothed_, p_now);
    mean_peak_.record({mean_, 0, 0}, p_now);
    if (!has_demand(p_view))
    {
        demand_since_.reset();
    }
    else
    {
        demand_since_ = demand_since_.value_or(p_now);
    }
    const bool doubtful = is_list_doubtful(p_view, p_now);
    const bool reclaimed = !doubtful && book_.take_list(p_view, p_now);
    describe(p_view, need, p_now);
    if (doubtful || is_settling(p_view))
    {
        last_.reason_ = doubtful ? decision_reason::hold_empty_list
                                 : decision_reason::hold_recent_takeover;
        return {};
    }
    std::vector<engine_order> orders = up(p_view, p_now);
    if (orders.empty())
    {
        orders = down(p_view, p_now);
    }
    else
    {
        last_.reason_ = up_reason(reclaimed, p_now);
    }
    book_.record_sent(orders, p_view.boot_time_, p_now);
    last_.orders_ = orders;
    return orders;
}

void engine_orders::on_result(const engine_order& p_order,
                              order_result p_result, time_point p_now)
{
    book_.record_result(p_order, p_result, p_now);
}

/// A new holder doesn't know what was ordered before, and orders of an earlier
/// tenure may have been replaced by another holder's.
void engine_orders::detect_takeover(const capacity_view& p_view,
                                    time_point p_now)
{
    constexpr duration tolerance = std::chrono::seconds(1);
    const time_point since = p_now - p_view.held_for_;
    if (held_since_ && since > *held_since_ + tolerance)
    {
        book_.forget_orders();
        empty_since_.reset();
    }
    held_since_ = since;
}

bool engine_orders::is_list_doubtful(const capacity_view& p_view,
                                     time_point p_now)
{
    if (listed_engines(p_view) > 0 || !book_.has_listed())
    {
        empty_since_.reset();
        return false;
    }
    empty_since_ = empty_since_.value_or(p_now);
    return p_now < *empty_since_ + options_.empty_list_wait_;
}

/// Engines can't be had for what is over before they have booted, so that
/// shorter peaks of the need are smoothed out.
void engine_orders::update_smoothed(const engine_need& p_need,
                                    duration p_boot_time, time_point p_now)
{
    const auto weight = [&](duration p_time)
    {
        const double time = std::max(to_seconds(p_time), min_smoothing_s);
        return 1 - std::exp(-to_seconds(p_now - *smoothed_at_) / time);
    };
    if (!smoothed_at_)
    {
        smoothed_ = p_need;
        mean_ = p_need.largest();
        smoothed_at_ = p_now;
        return;
    }
    const double step = weight(p_boot_time);
    smoothed_.prefill_ += step * (p_need.prefill_ - smoothed_.prefill_);
    smoothed_.streams_ += step * (p_need.streams_ - smoothed_.streams_);
    smoothed_.cache_ += step * (p_need.cache_ - smoothed_.cache_);
    mean_ += weight(options_.mean_time_) * (p_need.largest() - mean_);
    smoothed_at_ = p_now;
}

double engine_orders::required(duration p_window, time_point p_now) const
{
    return std::max(peak_.over(p_window, p_now).largest(),
                    mean_ * options_.reserve_);
}

void engine_orders::describe(const capacity_view& p_view,
                             const engine_need& p_need, time_point p_now)
{
    last_.prefill_engines_ = p_need.prefill_;
    last_.stream_engines_ = p_need.streams_;
    last_.cache_engines_ = p_need.cache_;
    last_.peak_engines_ = peak_.over(options_.peak_window_, p_now).largest();
    last_.mean_engines_ = mean_;
    last_.needed_ = engines_for(required(options_.peak_window_, p_now));
    last_.running_ = listed_engines(p_view);
    last_.expected_ = book_.expected();
    last_.view_age_ = p_view.age_;
    last_.reporting_nodes_ = p_view.reporting_nodes_;
    last_.live_nodes_ = p_view.live_nodes_;
    last_.held_for_ = p_view.held_for_;
}

/// A pool whose order would be a repeat is left out and its part is ordered
/// elsewhere, as the number there may still be reached.
std::vector<engine_order> engine_orders::up(const capacity_view& p_view,
                                            time_point p_now)
{
    std::set<pool_key> closed;
    while (true)
    {
        fleet_plan wanted = book_.plan(p_view, closed, p_now);
        while (wanted.add_to_minimum())
        {
        }
        while (wanted.total() < last_.needed_ && wanted.add_one())
        {
        }
        std::vector<engine_order> orders = book_.changes(wanted);
        const std::size_t closed_before = closed.size();
        for (const engine_order& order : orders)
        {
            if (book_.is_repeat(order, p_now))
            {
                closed.insert({order.domain_, order.spot_});
            }
        }
        if (closed.size() == closed_before)
        {
            last_.shortage_ =
                last_.needed_ - std::min(last_.needed_, wanted.total());
            return orders;
        }
    }
}

std::vector<engine_order> engine_orders::down(const capacity_view& p_view,
                                              time_point p_now)
{
    const unsigned lasting = book_.lasting();
    const unsigned lowest = lowest_allowed(p_now);
    if (lasting <= lowest && !book_.plan(p_view, {}, p_now).is_above_maximum())
    {
        last_.reason_ = last_.shortage_ > 0 ? decision_reason::hold_limited
                                            : decision_reason::hold_enough;
        return {};
    }
    if (const auto obstacle = down_obstacle(p_view, p_now))
    {
        last_.reason_ = *obstacle;
        return {};
    }
    std::vector<engine_order> orders =
        reductions(p_view, lasting, lowest, p_now);
    if (orders.empty())
    {
        last_.reason_ = decision_reason::hold_down_limit;
        return {};
    }
    last_.reason_ = decision_reason::down;
    last_down_ = p_now;
    return orders;
}

std::vector<engine_order> engine_orders::reductions(const capacity_view& p_view,
                                                    unsigned p_lasting,
                                                    unsigned p_lowest,
                                                    time_point p_now) const
{
    const unsigned limit = std::max(
        1U, static_cast<unsigned>(p_lasting * options_.max_down_share_));
    fleet_plan wanted = book_.plan(p_view, {}, p_now);
    unsigned removed = 0;
    while (removed < limit && wanted.remove_above_maximum())
    {
        ++removed;
    }
    while (removed < limit && p_lasting > p_lowest + removed &&
           wanted.remove_one())
    {
        ++removed;
    }
    std::vector<engine_order> orders = book_.changes(wanted);
    std::erase_if(orders, [&](const engine_order& p_order)
                  { return book_.is_repeat(p_order, p_now); });
    return orders;
}

decision_reason engine_orders::up_reason(bool p_reclaimed,
                                         time_point p_now) const
{
    if (p_reclaimed)
    {
        return decision_reason::replace_reclaimed;
    }
    return last_.expected_ >= last_.needed_
               ? decision_reason::up_min
               : peak_.over(options_.peak_window_, p_now).reason();
}

std::optional<decision_reason>
engine_orders::down_obstacle(const capacity_view& p_view,
                             time_point p_now) const
{
    if (p_view.held_for_ < options_.min_held_for_)
    {
        return decision_reason::hold_recent_takeover;
    }
    if (!is_complete(p_view))
    {
        return decision_reason::hold_incomplete;
    }
    if (p_view.age_ > options_.max_view_age_)
    {
        return decision_reason::hold_stale;
    }
    if (!demand_since_ || p_now < *demand_since_ + options_.down_window_)
    {
        return decision_reason::hold_no_demand;
    }
    if (last_down_ && p_now < *last_down_ + options_.down_interval_)
    {
        return decision_reason::hold_down_limit;
    }
    return std::nullopt;
}

/// Whether the view of a new holder isn't good enough to work out numbers.
bool engine_orders::is_settling(const capacity_view& p_view) const
{
    return p_view.held_for_ < options_.takeover_wait_ &&
           (!is_complete(p_view) || p_view.age_ > options_.max_view_age_ ||
            listed_engines(p_view) == 0);
}

unsigned engine_orders::lowest_allowed(time_point p_now) const
{
    const double recent_mean =
        mean_peak_.over(options_.down_window_, p_now).largest();
    return std::max(
        engines_for(required(options_.peak_window_, p_now) *
                    (1 + options_.down_slack_)),
        engines_for(std::max(peak_.over(options_.down_window_, p_now).largest(),
                             recent_mean * options_.reserve_)));
}

} // namespace peridotspar::capacity
