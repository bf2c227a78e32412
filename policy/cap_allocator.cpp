#include "policy/cap_allocator.hpp"

#include <algorithm>
#include <cmath>

namespace peridotspar::policy
{

namespace
{

/// Divides `p_total` by max-min fairness. What exceeds the demands is divided
/// evenly.
std::vector<double> divide_fairly(const std::vector<double>& p_demands,
                                  double p_total)
{
    std::vector<std::size_t> order(p_demands.size());
    for (std::size_t i = 0; i < order.size(); ++i)
    {
        order[i] = i;
    }
    std::sort(order.begin(), order.end(),
              [&](std::size_t p_left, std::size_t p_right)
              { return p_demands[p_left] < p_demands[p_right]; });
    std::vector<double> shares(p_demands.size(), 0);
    double remaining = p_total;
    std::size_t unserved = order.size();
    for (const std::size_t i : order)
    {
        shares[i] =
            std::min(p_demands[i], remaining / static_cast<double>(unserved));
        remaining -= shares[i];
        --unserved;
    }
    for (double& share : shares)
    {
        share += remaining / static_cast<double>(shares.size());
    }
    return shares;
}

} // namespace

template <class Demand>
double cap_allocator::fair_share(const allocations& p_allocations,
                                 const node_id& p_node, double p_total,
                                 Demand p_demand)
{
    std::vector<double> demands;
    std::size_t position = 0;
    for (const auto& [node, current] : p_allocations)
    {
        position = node == p_node ? demands.size() : position;
        demands.push_back(p_demand(current));
    }
    return divide_fairly(demands, p_total)[position];
}

std::vector<cap_grant> cap_allocator::allocate(
    const node_id& p_from, const std::vector<cap_claim>& p_claims,
    const catalogue& p_catalogue, double p_share_fraction, time_point p_now)
{
    std::vector<cap_grant> grants;
    for (const auto& claim : p_claims)
    {
        if (claim.account_.value() >= p_catalogue.accounts_.size())
        {
            continue;
        }
        const auto& account = p_catalogue.accounts_[claim.account_.value()];
        allocations& current_allocations = accounts_[claim.account_];
        std::erase_if(current_allocations, [&](const auto& p_item)
                      { return p_item.second.expires_at_ <= p_now; });
        allocation& updated = current_allocations[p_from];
        updated.wanted_rate_ = claim.wanted_tokens_per_s_;
        updated.wanted_concurrent_ = claim.wanted_concurrent_;
        double free_rate = account.cap_tokens_per_s_ * p_share_fraction;
        const auto total_concurrent = static_cast<std::uint32_t>(
            std::floor(account.cap_concurrent_ * p_share_fraction + 1e-9));
        auto free_concurrent = static_cast<std::int64_t>(total_concurrent);
        const double total_rate = free_rate;
        for (const auto& [node, current] : current_allocations)
        {
            if (node != p_from)
            {
                free_rate -= current.granted_rate_;
                free_concurrent -= current.granted_concurrent_;
            }
        }
        const double rate = fair_share(current_allocations, p_from, total_rate,
                                       [](const allocation& p_allocation)
                                       { return p_allocation.wanted_rate_; });
        updated.granted_rate_ = std::clamp(rate, 0.0, std::max(0.0, free_rate));
        // Rounded up, because less than one whole request is of no use to a
        // node. Unexpired grants of other nodes still limit it.
        const auto concurrent = static_cast<std::int64_t>(std::ceil(fair_share(
            current_allocations, p_from, total_concurrent,
            [](const allocation& p_allocation)
            { return static_cast<double>(p_allocation.wanted_concurrent_); })));
        updated.granted_concurrent_ = static_cast<std::uint32_t>(
            std::clamp(concurrent, std::int64_t{0},
                       std::max(std::int64_t{0}, free_concurrent)));
        updated.expires_at_ = p_now + tuning_.cap_grant_lifetime_;
        grants.push_back({claim.account_, updated.granted_rate_,
                          updated.granted_concurrent_});
    }
    return grants;
}

} // namespace peridotspar::policy
