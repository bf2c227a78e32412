#include "tests/capacity/fleet_simulation.hpp"

#include "capacity/engine_need.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace peridotspar::capacity
{

namespace
{

constexpr double step_s = 0.5;

} // namespace

fleet_simulation::fleet_simulation(capacity_view p_view,
                                   capacity_options p_options)
    : initial_(std::move(p_view)), options_(p_options), holder_(p_options)
{
    for (const domain_state& domain : initial_.domains_)
    {
        pools_[{domain.domain_, false}] = {
            domain.standard_, domain.standard_, {}};
        pools_[{domain.domain_, true}] = {domain.spot_, domain.spot_, {}};
    }
    initial_engines_ = running();
}

void fleet_simulation::run(double p_seconds)
{
    const double end = now_s_ + p_seconds;
    while (now_s_ < end - step_s / 2)
    {
        boot_engines();
        if (has_holder_)
        {
            decide();
        }
        account(step_s);
        now_s_ += step_s;
    }
}

void fleet_simulation::lose(const std::string& p_domain, bool p_spot,
                            unsigned p_count)
{
    pools_.at({failure_domain_id(p_domain), p_spot}).running_ -= p_count;
}

void fleet_simulation::replace_holder()
{
    holder_ = engine_orders(options_);
    has_holder_ = true;
    held_since_s_ = now_s_;
}

unsigned fleet_simulation::running() const
{
    unsigned sum = 0;
    for (const auto& [key, pool] : pools_)
    {
        sum += pool.running_;
    }
    return sum;
}

unsigned fleet_simulation::running(const std::string& p_domain,
                                   bool p_spot) const
{
    return pools_.at({failure_domain_id(p_domain), p_spot}).running_;
}

std::size_t fleet_simulation::count_orders(double p_from_s, double p_to_s,
                                           bool p_down) const
{
    return static_cast<std::size_t>(std::count_if(
        orders_.begin(), orders_.end(),
        [&](const sent_order& p_order)
        {
            return p_order.time_s_ >= p_from_s && p_order.time_s_ < p_to_s &&
                   (p_order.down_ || !p_down);
        }));
}

double fleet_simulation::paid_ratio() const
{
    return paid_ / (initial_engines_ * now_s_);
}

void fleet_simulation::boot_engines()
{
    for (auto& [key, pool] : pools_)
    {
        while (!pool.boots_.empty() && pool.boots_.front() <= now_s_)
        {
            pool.boots_.pop_front();
            ++pool.running_;
        }
    }
}

void fleet_simulation::account(double p_step_s)
{
    const simulated_demand demand = demand_(now_s_);
    capacity_view truth = initial_;
    truth.prefill_ms_per_s_ = demand.prefill_ms_per_s_;
    truth.streams_ = demand.streams_;
    truth.cached_engines_ = demand.cached_engines_;
    const double needed = need_of(truth, options_).largest();
    unsigned ordered = 0;
    std::size_t paid = 0;
    for (const auto& [key, pool] : pools_)
    {
        ordered += pool.ordered_;
        paid += pool.running_ + pool.boots_.size();
    }
    shortage_ += std::max(0.0, needed - running()) * p_step_s;
    paid_ += static_cast<double>(paid) * p_step_s;
    rows_.push_back({now_s_, demand, needed, ordered, running()});
}

void fleet_simulation::decide()
{
    for (const engine_order& order : holder_.decide(view(), now()))
    {
        const pool_state& pool = pools_.at({order.domain_, order.spot_});
        const bool down = order.desired_ < pool.running_ + pool.boots_.size();
        const order_result result = apply(order);
        holder_.on_result(order, result, now());
        orders_.push_back(
            {now_s_, order, down, holder_.last().reason_, result});
    }
}

order_result fleet_simulation::apply(const engine_order& p_order)
{
    pool_state& target = pools_.at({p_order.domain_, p_order.spot_});
    const std::size_t have = target.running_ + target.boots_.size();
    if (p_order.desired_ > have && is_dry_ && is_dry_(p_order))
    {
        return order_result::none_to_be_had;
    }
    target.ordered_ = p_order.desired_;
    if (p_order.domain_.value() == never_starts_)
    {
        return order_result::done;
    }
    for (std::size_t i = have; i < p_order.desired_; ++i)
    {
        target.boots_.push_back(now_s_ + to_seconds(initial_.boot_time_));
    }
    for (std::size_t i = have; i > p_order.desired_; --i)
    {
        if (target.boots_.empty())
        {
            --target.running_;
            continue;
        }
        target.boots_.pop_back();
    }
    return order_result::done;
}

capacity_view fleet_simulation::view() const
{
    const simulated_demand demand = demand_(now_s_);
    capacity_view seen = initial_;
    for (domain_state& domain : seen.domains_)
    {
        domain.standard_ = pools_.at({domain.domain_, false}).running_;
        domain.spot_ = pools_.at({domain.domain_, true}).running_;
    }
    seen.prefill_ms_per_s_ = demand.prefill_ms_per_s_;
    seen.streams_ = demand.streams_;
    seen.cached_engines_ = demand.cached_engines_;
    seen.held_for_ = from_seconds(now_s_ - held_since_s_);
    if (change_view_)
    {
        change_view_(seen, now_s_);
    }
    return seen;
}

time_point fleet_simulation::now() const
{
    return time_point(std::chrono::hours(1)) + from_seconds(now_s_);
}

} // namespace peridotspar::capacity
