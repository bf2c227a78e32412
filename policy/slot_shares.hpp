#pragma once

#include "core/ids.hpp"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace peridotspar::policy
{

/// Divides each backend server's slots between the nodes that want them, in
/// proportion to their demand, by weighted rendezvous hashing.
///
/// Nodes learn of each other's requests with a delay. If each node used every
/// slot that appears free, several would use the same one and requests would
/// queue in the engine. Nodes with the same digests compute the same division
/// without further messages. Not thread-safe.
class slot_shares
{
public:
    struct share
    {
        unsigned slots_ = 0;      ///< Slots of this node.
        unsigned long_slots_ = 0; ///< Of these, slots for long requests.
    };
    /// A node and its demand, in requests.
    using demand = std::pair<node_id, double>;

    /// The share of `p_self` in a backend server with `p_slots` slots, of which
    /// the first `p_long_slots` may run long requests.
    [[nodiscard]] share divide(const std::string& p_backend, unsigned p_slots,
                               unsigned p_long_slots, const node_id& p_self,
                               const std::vector<demand>& p_demands);

private:
    /// Rendezvous hash scores of one node for each slot of a backend server,
    /// before weighting. Computed once and cached.
    [[nodiscard]] const std::vector<double>&
    factors(const std::string& p_backend, unsigned p_slots,
            const node_id& p_node);

    std::unordered_map<std::string, std::vector<double>> factors_;
};

} // namespace peridotspar::policy
