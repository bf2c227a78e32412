#include "capacity/fleet_plan.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace peridotspar::capacity
{

namespace
{

unsigned half_rounded_up(unsigned p_count)
{
    return (p_count + 1) / 2;
}

void take_one(planned_domain& r_domain, bool p_spot)
{
    --(p_spot ? r_domain.spot_ : r_domain.standard_);
}

void put_one(planned_domain& r_domain, bool p_spot)
{
    ++(p_spot ? r_domain.spot_ : r_domain.standard_);
    --(p_spot ? r_domain.room_spot_ : r_domain.room_standard_);
}

} // namespace

fleet_plan::fleet_plan(plan_limits p_limits,
                       std::vector<planned_domain> p_domains)
    : limits_(p_limits), domains_(std::move(p_domains))
{
}

bool fleet_plan::add_to_minimum()
{
    for (planned_domain& domain : domains_)
    {
        if (domain.total() < limits_.min_per_domain_ &&
            domain.room_standard_ > 0)
        {
            put_one(domain, false);
            return true;
        }
    }
    return false;
}

bool fleet_plan::add_one()
{
    using rank = std::tuple<bool, double, unsigned>;
    planned_domain* best = nullptr;
    bool best_spot = false;
    rank best_rank;
    for (planned_domain& domain : domains_)
    {
        for (const bool spot : {false, true})
        {
            if (!may_grow(domain) ||
                (spot ? !may_grow_spot(domain) : domain.room_standard_ == 0))
            {
                continue;
            }
            const rank current{domain.avoided_, price(domain, spot),
                               domain.total()};
            if (best == nullptr || current < best_rank)
            {
                best = &domain;
                best_spot = spot;
                best_rank = current;
            }
        }
    }
    if (best == nullptr)
    {
        return false;
    }
    put_one(*best, best_spot);
    return true;
}

bool fleet_plan::remove_one()
{
    if (has_too_many_spot() && remove_excess_spot())
    {
        return true;
    }
    planned_domain* const largest = above_half();
    if (largest != nullptr && remove_most_expensive(largest))
    {
        return true;
    }
    return remove_most_expensive(nullptr);
}

bool fleet_plan::remove_above_maximum()
{
    for (planned_domain& domain : domains_)
    {
        if (domain.total() > limits_.max_per_domain_ &&
            remove_most_expensive(&domain))
        {
            return true;
        }
    }
    return false;
}

bool fleet_plan::is_above_maximum() const
{
    return std::any_of(domains_.begin(), domains_.end(),
                       [&](const planned_domain& p_domain)
                       { return p_domain.total() > limits_.max_per_domain_; });
}

unsigned fleet_plan::total() const
{
    unsigned sum = 0;
    for (const planned_domain& domain : domains_)
    {
        sum += domain.total();
    }
    return sum;
}

unsigned fleet_plan::spot_total() const
{
    unsigned sum = 0;
    for (const planned_domain& domain : domains_)
    {
        sum += domain.spot_;
    }
    return sum;
}

bool fleet_plan::may_grow(const planned_domain& p_domain) const
{
    const unsigned grown = p_domain.total() + 1;
    return grown <= limits_.max_per_domain_ &&
           (domains_.size() < 2 || grown <= half_rounded_up(total() + 1));
}

bool fleet_plan::may_grow_spot(const planned_domain& p_domain) const
{
    const unsigned all_spot = spot_total() + 1;
    return limits_.spot_price_ < 1 && p_domain.room_spot_ > 0 &&
           all_spot <= limits_.max_spot_share_ * (total() + 1) &&
           (domains_.size() < 2 ||
            p_domain.spot_ + 1 <= half_rounded_up(all_spot));
}

bool fleet_plan::may_shrink(const planned_domain& p_domain) const
{
    return p_domain.total() > limits_.min_per_domain_;
}

double fleet_plan::price(const planned_domain& p_domain, bool p_spot) const
{
    return p_domain.price_ * (p_spot ? limits_.spot_price_ : 1);
}

/// The domain that would have more than half of the engines after one engine
/// is removed elsewhere.
planned_domain* fleet_plan::above_half()
{
    if (domains_.size() < 2)
    {
        return nullptr;
    }
    const unsigned all = total();
    for (planned_domain& domain : domains_)
    {
        if (domain.total() > half_rounded_up(all - 1))
        {
            return &domain;
        }
    }
    return nullptr;
}

/// Whether removing a standard engine leaves too large a share of spot ones.
bool fleet_plan::has_too_many_spot() const
{
    const unsigned all = total();
    return all > 0 && spot_total() > limits_.max_spot_share_ * (all - 1);
}

bool fleet_plan::remove_excess_spot()
{
    planned_domain* best = nullptr;
    for (planned_domain& domain : domains_)
    {
        if (domain.spot_ > 0 && domain.may_remove_spot_ && may_shrink(domain) &&
            (best == nullptr || domain.spot_ > best->spot_))
        {
            best = &domain;
        }
    }
    if (best == nullptr)
    {
        return false;
    }
    take_one(*best, true);
    return true;
}

/// Considers only `p_only` if it isn't null.
bool fleet_plan::remove_most_expensive(planned_domain* p_only)
{
    using rank = std::pair<double, unsigned>;
    planned_domain* best = nullptr;
    bool best_spot = false;
    rank best_rank;
    for (planned_domain& domain : domains_)
    {
        if (!may_shrink(domain) || (p_only != nullptr && p_only != &domain))
        {
            continue;
        }
        for (const bool spot : {false, true})
        {
            if (spot ? domain.spot_ == 0 || !domain.may_remove_spot_
                     : domain.standard_ == 0 || !domain.may_remove_standard_)
            {
                continue;
            }
            const rank current{price(domain, spot), domain.total()};
            if (best == nullptr || current > best_rank)
            {
                best = &domain;
                best_spot = spot;
                best_rank = current;
            }
        }
    }
    if (best == nullptr)
    {
        return false;
    }
    take_one(*best, best_spot);
    return true;
}

} // namespace peridotspar::capacity
