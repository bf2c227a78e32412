#pragma once

#include "core/ids.hpp"

#include <cstdint>
#include <string_view>
#include <vector>

namespace peridotspar::policy
{

/// 64-bit hash of a text; equal on every node.
[[nodiscard]] std::uint64_t hash_text(std::string_view p_text,
                                      std::uint64_t p_seed = 0) noexcept;

/// Rendezvous weight of a key and a node. The node with the highest weight is
/// the home of the key.
[[nodiscard]] std::uint64_t rendezvous_weight(std::string_view p_key,
                                              std::string_view p_node) noexcept;

/// The home of a key among `p_nodes`, which must not be empty. The reference
/// refers to an element of `p_nodes`.
[[nodiscard]] const node_id&
rendezvous_home(std::string_view p_key, const std::vector<node_id>& p_nodes);

/// Position of `p_node` when `p_nodes` are ordered by descending weight for
/// the key; 0 is the home.
[[nodiscard]] std::size_t rendezvous_rank(std::string_view p_key,
                                          const std::vector<node_id>& p_nodes,
                                          const node_id& p_node);

} // namespace peridotspar::policy
