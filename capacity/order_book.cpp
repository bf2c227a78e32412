#include "capacity/order_book.hpp"

#include <algorithm>
#include <chrono>

namespace peridotspar::capacity
{

bool order_book::take_list(const capacity_view& p_view, time_point p_now)
{
    drop_absent(p_view);
    drop_old_downs(p_now);
    bool reclaimed = false;
    for (const domain_state& domain : p_view.domains_)
    {
        domains_.try_emplace(domain.domain_);
        pools_[{domain.domain_, false}].set_listed(domain.standard_, p_now);
        reclaimed = take_spot(domain, p_now) || reclaimed;
    }
    return reclaimed;
}

void order_book::record_sent(const std::vector<engine_order>& p_orders,
                             duration p_boot_time, time_point p_now)
{
    const time_point settled = p_now + p_boot_time + options_.settle_time_;
    std::set<failure_domain_id> reduced;
    for (const engine_order& order : p_orders)
    {
        if (is_reduction(order))
        {
            reduced.insert(order.domain_);
        }
        pools_.at({order.domain_, order.spot_})
            .record_order(order.desired_, settled);
    }
    for (const failure_domain_id& domain : reduced)
    {
        domains_[domain].downs_.push_back(p_now);
    }
}

void order_book::record_result(const engine_order& p_order,
                               order_result p_result, time_point p_now)
{
    const auto found = pools_.find({p_order.domain_, p_order.spot_});
    if (found == pools_.end())
    {
        return;
    }
    order_pool& pool = found->second;
    if (p_result == order_result::done)
    {
        pool.reset_step();
        return;
    }
    pool.withdraw(p_order.desired_);
    if (p_result == order_result::rejected)
    {
        pool.reject_until(p_now + options_.rejected_pause_);
    }
    if (p_result == order_result::none_to_be_had)
    {
        const time_point until = p_now + options_.none_available_pause_;
        pool.halve_step(p_order.desired_);
        pool.refuse_until(until);
        // The need can't wait until each domain has refused in turn.
        spot_paused_until_ = p_order.spot_ ? until : spot_paused_until_;
    }
}

fleet_plan order_book::plan(const capacity_view& p_view,
                            const std::set<pool_key>& p_closed,
                            time_point p_now) const
{
    std::vector<planned_domain> domains;
    for (const domain_state& domain : p_view.domains_)
    {
        domains.push_back(planned(domain, p_closed, p_now));
    }
    return fleet_plan({p_view.min_per_domain_, p_view.max_per_domain_,
                       p_view.spot_price_, options_.max_spot_share_},
                      std::move(domains));
}

std::vector<engine_order> order_book::changes(const fleet_plan& p_plan) const
{
    std::vector<std::pair<unsigned, engine_order>> found;
    for (const planned_domain& domain : p_plan.domains())
    {
        for (const bool spot : {false, true})
        {
            const unsigned before =
                pools_.at({domain.domain_, spot}).expected();
            const unsigned after = spot ? domain.spot_ : domain.standard_;
            if (before != after)
            {
                found.push_back(
                    {std::max(before, after) - std::min(before, after),
                     {domain.domain_, after, spot}});
            }
        }
    }
    std::stable_sort(found.begin(), found.end(),
                     [](const auto& p_left, const auto& p_right)
                     { return p_left.first > p_right.first; });
    std::vector<engine_order> orders;
    orders.reserve(found.size());
    for (const auto& [step, order] : found)
    {
        orders.push_back(order);
    }
    return orders;
}

bool order_book::is_repeat(const engine_order& p_order, time_point p_now) const
{
    return pools_.at({p_order.domain_, p_order.spot_})
        .is_repeat(p_order.desired_, p_now);
}

bool order_book::is_reduction(const engine_order& p_order) const
{
    return p_order.desired_ <
           pools_.at({p_order.domain_, p_order.spot_}).expected();
}

bool order_book::has_listed() const
{
    return std::any_of(pools_.begin(), pools_.end(),
                       [](const auto& p_pool)
                       { return p_pool.second.listed() > 0; });
}

unsigned order_book::expected() const
{
    unsigned sum = 0;
    for (const auto& [key, pool] : pools_)
    {
        sum += pool.expected();
    }
    return sum;
}

unsigned order_book::lasting() const
{
    unsigned sum = 0;
    for (const auto& [key, pool] : pools_)
    {
        sum += pool.listed() - pool.leaving();
    }
    return std::min(sum, expected());
}

void order_book::drop_absent(const capacity_view& p_view)
{
    std::set<failure_domain_id> present;
    for (const domain_state& domain : p_view.domains_)
    {
        present.insert(domain.domain_);
    }
    std::erase_if(pools_, [&](const auto& p_pool)
                  { return !present.contains(p_pool.first.first); });
    std::erase_if(domains_, [&](const auto& p_domain)
                  { return !present.contains(p_domain.first); });
}

void order_book::drop_old_downs(time_point p_now)
{
    for (auto& [domain, history] : domains_)
    {
        while (!history.downs_.empty() &&
               history.downs_.front() <= p_now - std::chrono::minutes(1))
        {
            history.downs_.pop_front();
        }
    }
}

bool order_book::take_spot(const domain_state& p_domain, time_point p_now)
{
    order_pool& pool = pools_[{p_domain.domain_, true}];
    if (!pool.set_listed(p_domain.spot_, p_now))
    {
        return false;
    }
    // Spot engines that still boot there are reclaimed with the others.
    pool.forget_orders();
    domains_[p_domain.domain_].no_spot_until_ = p_now + options_.reclaim_pause_;
    spot_paused_until_ =
        std::max(spot_paused_until_, p_now + options_.none_available_pause_);
    return true;
}

planned_domain order_book::planned(const domain_state& p_domain,
                                   const std::set<pool_key>& p_closed,
                                   time_point p_now) const
{
    const pool_key standard_key{p_domain.domain_, false};
    const pool_key spot_key{p_domain.domain_, true};
    const order_pool& standard = pools_.at(standard_key);
    const order_pool& spot = pools_.at(spot_key);
    const domain_history& history = domains_.at(p_domain.domain_);
    const time_point failed_since = p_now - options_.failed_boot_pause_;
    const bool after_reclaim = p_now < history.no_spot_until_;
    const bool no_spot = after_reclaim || p_now < spot_paused_until_ ||
                         p_closed.contains(spot_key);
    const bool may_reduce =
        history.downs_.size() < options_.max_downs_per_minute_;
    planned_domain result;
    result.domain_ = p_domain.domain_;
    result.price_ = p_domain.price_;
    result.standard_ = standard.expected();
    result.spot_ = spot.expected();
    result.room_standard_ =
        p_closed.contains(standard_key) ? 0 : standard.room(p_now);
    result.room_spot_ = no_spot ? 0 : spot.room(p_now);
    result.may_remove_standard_ = may_reduce && standard.may_reduce(p_now);
    result.may_remove_spot_ = may_reduce && spot.may_reduce(p_now);
    result.avoided_ = after_reclaim ||
                      standard.has_failed_since(failed_since) ||
                      spot.has_failed_since(failed_since);
    return result;
}

} // namespace peridotspar::capacity
