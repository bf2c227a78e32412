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
/// Nodes learn of each other's work late. If each one took every slot that
/// looks free, several would take the same one, and requests would wait in
/// the engine. Nodes with the same digests make the same division.
class slot_shares
{
public:
    struct share
    {
        unsigned slots_ = 0;      ///< Slots of this node.
        unsigned long_slots_ = 0; ///< Those among them that long work may use.
    };
    using demand = std::pair<node_id, double>;

    /// The share of `p_self` in a backend server with `p_slots` slots, of
    /// which the first `p_long_slots` are open to long work.
    [[nodiscard]] share divide(const std::string& p_backend, unsigned p_slots,
                               unsigned p_long_slots, const node_id& p_self,
                               const std::vector<demand>& p_demands);

private:
    /// Rendezvous factors of one node for each slot of a backend server.
    [[nodiscard]] const std::vector<double>&
    factors(const std::string& p_backend, unsigned p_slots,
            const node_id& p_node);

    std::unordered_map<std::string, std::vector<double>> factors_;
};

} // namespace peridotspar::policy
