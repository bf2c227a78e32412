#pragma once

#include "membership/peer_table.hpp"

#include <string>
#include <vector>

namespace peridotspar
{

/// Whether a node follows the store itself: the first few of those that reach
/// it do, and the others hear from them what is new. All nodes rank each
/// other alike, by their addresses for messages between nodes.
[[nodiscard]] bool follows_store(const std::string& p_own_address,
                                 const std::vector<peer_state>& p_live);

} // namespace peridotspar
