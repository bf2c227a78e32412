#pragma once

#include "membership/peer_table.hpp"

#include <string>
#include <vector>

namespace peridotspar
{

/// Whether a node should follow the store itself. The first few nodes of those
/// in contact with the store do; the others get updates from their peers.
/// `p_live` are the node's live peers. The order is that of hashes of the peer
/// addresses, so all nodes agree on it.
[[nodiscard]] bool follows_store(const std::string& p_own_address,
                                 const std::vector<peer_state>& p_live);

} // namespace peridotspar
