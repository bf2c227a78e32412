#include "capacity/capacity_view.hpp"

#include <algorithm>
#include <cmath>
#include <set>

namespace peridotspar::capacity
{

namespace
{

/// A plan places engines one by one, so an absurd minimum would block the node.
constexpr unsigned max_minimum = 100'000;

bool is_amount(double p_value)
{
    return std::isfinite(p_value) && p_value >= 0;
}

bool are_usable(const std::vector<domain_state>& p_domains)
{
    std::set<failure_domain_id> seen;
    return !p_domains.empty() &&
           std::all_of(p_domains.begin(), p_domains.end(),
                       [&seen](const domain_state& p_domain)
                       {
                           return !p_domain.domain_.value().empty() &&
                                  is_amount(p_domain.price_) &&
                                  seen.insert(p_domain.domain_).second;
                       });
}

} // namespace

bool is_usable(const capacity_view& p_view)
{
    return are_usable(p_view.domains_) &&
           p_view.min_per_domain_ <= p_view.max_per_domain_ &&
           p_view.min_per_domain_ <= max_minimum &&
           p_view.boot_time_ >= duration::zero() &&
           is_amount(p_view.spot_price_) &&
           is_amount(p_view.prefill_ms_per_s_) && is_amount(p_view.streams_) &&
           is_amount(p_view.slots_per_engine_) &&
           p_view.slots_per_engine_ > 0 && is_amount(p_view.cached_engines_);
}

} // namespace peridotspar::capacity
