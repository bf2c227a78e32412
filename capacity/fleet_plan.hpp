#pragma once

#include "core/ids.hpp"

#include <cstddef>
#include <vector>

namespace peridotspar::capacity
{

/// One failure domain in a plan.
struct planned_domain
{
    failure_domain_id domain_;
    double price_ = 1;
    unsigned standard_ = 0;
    unsigned spot_ = 0;
    /// Engines of each kind that may be added.
    unsigned room_standard_ = 0;
    unsigned room_spot_ = 0;
    bool may_remove_standard_ = false;
    bool may_remove_spot_ = false;
    /// Other domains are preferred when engines are added.
    bool avoided_ = false;

    [[nodiscard]] unsigned total() const { return standard_ + spot_; }
};

/// Limits of a plan.
struct plan_limits
{
    unsigned min_per_domain_ = 0;
    unsigned max_per_domain_ = 0;
    /// As a fraction of the price of a standard engine.
    double spot_price_ = 1;
    double max_spot_share_ = 0.25;
};

/// Chooses the failure domains and kinds of engines that are added or removed,
/// one engine at a time. No domain gets more than half of all engines (rounded
/// up) if there are two or more domains; likewise for spot engines.
class fleet_plan
{
public:
    fleet_plan(plan_limits p_limits, std::vector<planned_domain> p_domains);

    /// Adds a standard engine to a domain below its minimum. Returns false if
    /// there is none that may get one.
    bool add_to_minimum();
    /// Adds the cheapest engine that the limits allow; false if there is none.
    bool add_one();
    /// Removes a spot engine if their share is too large, else the most
    /// expensive engine that the limits allow; false if there is none.
    bool remove_one();
    /// Removes an engine from a domain above its maximum; false if there is
    /// none.
    bool remove_above_maximum();

    [[nodiscard]] bool is_above_maximum() const;
    [[nodiscard]] unsigned total() const;
    [[nodiscard]] const std::vector<planned_domain>& domains() const
    {
        return domains_;
    }

private:
    [[nodiscard]] unsigned spot_total() const;
    [[nodiscard]] bool may_grow(const planned_domain& p_domain) const;
    [[nodiscard]] bool may_grow_spot(const planned_domain& p_domain) const;
    [[nodiscard]] bool may_shrink(const planned_domain& p_domain) const;
    [[nodiscard]] double price(const planned_domain& p_domain,
                               bool p_spot) const;
    [[nodiscard]] planned_domain* above_half();
    [[nodiscard]] bool has_too_many_spot() const;
    bool remove_excess_spot();
    bool remove_most_expensive(planned_domain* p_only);

    plan_limits limits_;
    std::vector<planned_domain> domains_;
};

} // namespace peridotspar::capacity
