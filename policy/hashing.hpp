#pragma once

#include "core/ids.hpp"

#include <cstdint>
#include <string_view>
#include <vector>

namespace peridotspar::policy
{

/// 64-bit hash of a text.
[[nodiscard]] std::uint64_t hash_text(std::string_view p_text,
                                      std::uint64_t p_seed = 0) noexcept;

/// Rendezvous weight of a pair; the pair with the highest one wins.
[[nodiscard]] std::uint64_t rendezvous_weight(std::string_view p_key,
                                              std::string_view p_node) noexcept;

/// The node that a key belongs to, of a list that isn't empty.
[[nodiscard]] const node_id&
rendezvous_home(std::string_view p_key, const std::vector<node_id>& p_nodes);

/// Position of `p_node` in the key's rendezvous order, 0 the first.
[[nodiscard]] std::size_t rendezvous_rank(std::string_view p_key,
                                          const std::vector<node_id>& p_nodes,
                                          const node_id& p_node);

} // namespace peridotspar::policy
