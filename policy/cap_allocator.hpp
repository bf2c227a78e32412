#pragma once

#include "policy/events.hpp"
#include "policy/tuning.hpp"

#include <map>
#include <vector>

namespace peridotspar::policy
{

/// Divides a client account's cap between the nodes that use it. Runs on the
/// account's home node.
///
/// A home node grants only the static shares of the nodes that agree with it
/// on which nodes are live. Two nodes that both act as home therefore never
/// grant more than the cap between them. A grant also never exceeds what other
/// nodes' unexpired grants leave. Not thread-safe.
class cap_allocator
{
public:
    /// `p_tuning` must outlive this object.
    explicit cap_allocator(const tuning& p_tuning) : tuning_(p_tuning) {}

    /// Records a node's claims and returns the grants, one per claim. Claims
    /// for unknown accounts are skipped. `p_share_fraction` is the part of the
    /// listed nodes whose static shares may be granted, from 0 to 1.
    [[nodiscard]] std::vector<cap_grant>
    allocate(const node_id& p_from, const std::vector<cap_claim>& p_claims,
             const catalogue& p_catalogue, double p_share_fraction,
             time_point p_now);
    /// Drops all grants. Must be called when the accounts' positions in the
    /// catalogue change.
    void reset() { accounts_.clear(); }

private:
    /// Last claim and grant of one node. Rates are in tokens per second.
    struct allocation
    {
        double wanted_rate_ = 0;
        std::uint32_t wanted_concurrent_ = 0;
        double granted_rate_ = 0;
        std::uint32_t granted_concurrent_ = 0;
        time_point expires_at_{};
    };
    using allocations = std::map<node_id, allocation>;

    /// The node's max-min fair share of `p_total`, where
    /// `p_demand(allocation)` is the demand of each node.
    template <class Demand>
    static double fair_share(const allocations& p_allocations,
                             const node_id& p_node, double p_total,
                             Demand p_demand);

    const tuning& tuning_;
    std::map<account_index, allocations> accounts_;
};

} // namespace peridotspar::policy
