#include "policy/cap_allocator.hpp"

#include <algorithm>
#include <cmath>

namespace peridotspar::policy
{

namespace
{

/// Divides `p_pool` by max-min fairness and spreads what nobody wants.
std::vector<double> divide_fairly(const std::vector<double>& p_wants,
                                  double p_pool)
{
    std::vector<std::size_t> order(p_wants.size());
    for (std::size_t i = 0; i < order.size(); ++i)
    {
        order[i] = i;
    }
    std::sort(order.begin(), order.end(),
              [&](std::size_t p_left, std::size_t p_right)
              { return p_wants[p_left] < p_wants[p_right]; });
    std::vector<double> parts(p_wants.size(), 0);
    double left = p_pool;
    std::size_t open = order.size();
    for (const std::size_t i : order)
    {
        parts[i] = std::min(p_wants[i], left / static_cast<double>(open));
        left -= parts[i];
        --open;
    }
    for (double& part : parts)
    {
        part += left / static_cast<double>(parts.size());
    }
    return parts;
}

} // namespace

template <class Wanted>
double cap_allocator::fair_part(const holdings& p_holdings,
                                const node_id& p_node, double p_pool,
                                Wanted p_wanted)
{
    std::vector<double> wants;
    std::size_t position = 0;
    for (const auto& [node, held] : p_holdings)
    {
        position = node == p_node ? wants.size() : position;
        wants.push_back(p_wanted(held));
    }
    return divide_fairly(wants, p_pool)[position];
}

std::vector<cap_grant> cap_allocator::allocate(
    const node_id& p_from, const std::vector<cap_claim>& p_claims,
    const catalogue& p_catalogue, double p_shares, time_point p_now)
{
    std::vector<cap_grant> grants;
    for (const auto& claim : p_claims)
    {
        if (claim.account_.value() >= p_catalogue.accounts_.size())
        {
            continue;
        }
        const auto& account = p_catalogue.accounts_[claim.account_.value()];
        holdings& holders = accounts_[claim.account_];
        std::erase_if(holders, [&](const auto& p_item)
                      { return p_item.second.until_ <= p_now; });
        holding& own = holders[p_from];
        own.wanted_rate_ = claim.wanted_tokens_per_s_;
        own.wanted_concurrent_ = claim.wanted_concurrent_;
        double rate_free = account.cap_tokens_per_s_ * p_shares;
        const auto pool_concurrent = static_cast<std::uint32_t>(
            std::floor(account.cap_concurrent_ * p_shares + 1e-9));
        auto concurrent_free = static_cast<std::int64_t>(pool_concurrent);
        const double pool_rate = rate_free;
        for (const auto& [node, held] : holders)
        {
            if (node != p_from)
            {
                rate_free -= held.granted_rate_;
                concurrent_free -= held.granted_concurrent_;
            }
        }
        const double rate = fair_part(holders, p_from, pool_rate,
                                      [](const holding& p_holding)
                                      { return p_holding.wanted_rate_; });
        own.granted_rate_ = std::clamp(rate, 0.0, std::max(0.0, rate_free));
        // Rounded up, as a node needs a whole one; what is free limits it.
        const auto concurrent = static_cast<std::int64_t>(std::ceil(fair_part(
            holders, p_from, pool_concurrent,
            [](const holding& p_holding)
            { return static_cast<double>(p_holding.wanted_concurrent_); })));
        own.granted_concurrent_ = static_cast<std::uint32_t>(
            std::clamp(concurrent, std::int64_t{0},
                       std::max(std::int64_t{0}, concurrent_free)));
        own.until_ = p_now + tuning_.cap_grant_lifetime_;
        grants.push_back(
            {claim.account_, own.granted_rate_, own.granted_concurrent_});
    }
    return grants;
}

} // namespace peridotspar::policy
