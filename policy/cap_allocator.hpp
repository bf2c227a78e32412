#pragma once

#include "policy/events.hpp"
#include "policy/tuning.hpp"

#include <map>
#include <vector>

namespace peridotspar::policy
{

/// The home node's part of holding caps: divides an account's cap between
/// the nodes that use it.
///
/// It hands out only the static shares of the nodes that agree with it on
/// who is live, so two nodes that both act as home never hand out more than
/// the cap between them; and never more than is free of unexpired grants.
class cap_allocator
{
public:
    explicit cap_allocator(const tuning& p_tuning) : tuning_(p_tuning) {}

    /// Answers a node's claims. `p_share_fraction` is the part of the listed
    /// nodes whose shares this home may hand out, from 0 to 1.
    [[nodiscard]] std::vector<cap_grant>
    allocate(const node_id& p_from, const std::vector<cap_claim>& p_claims,
             const catalogue& p_catalogue, double p_share_fraction,
             time_point p_now);
    /// Forgets everything; the accounts' positions have changed.
    void reset() { accounts_.clear(); }

private:
    struct allocation
    {
        double wanted_rate_ = 0;
        std::uint32_t wanted_concurrent_ = 0;
        double granted_rate_ = 0;
        std::uint32_t granted_concurrent_ = 0;
        time_point expires_at_{};
    };
    using allocations = std::map<node_id, allocation>;

    /// The node's part of `p_total`, if each node wants `p_demand(allocation)`.
    template <class Demand>
    static double fair_share(const allocations& p_allocations,
                             const node_id& p_node, double p_total,
                             Demand p_demand);

    const tuning& tuning_;
    std::map<account_index, allocations> accounts_;
};

} // namespace peridotspar::policy
