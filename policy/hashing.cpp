#include "policy/hashing.hpp"

#include <algorithm>

#include <xxhash.h>

namespace peridotspar::policy
{

std::uint64_t hash_text(std::string_view p_text, std::uint64_t p_seed) noexcept
{
    return XXH64(p_text.data(), p_text.size(), p_seed);
}

std::uint64_t rendezvous_weight(std::string_view p_key,
                                std::string_view p_node) noexcept
{
    return hash_text(p_key, hash_text(p_node));
}

const node_id& rendezvous_home(std::string_view p_key,
                               const std::vector<node_id>& p_nodes)
{
    return *std::max_element(
        p_nodes.begin(), p_nodes.end(),
        [&](const node_id& p_left, const node_id& p_right)
        {
            return rendezvous_weight(p_key, p_left.value()) <
                   rendezvous_weight(p_key, p_right.value());
        });
}

std::size_t rendezvous_rank(std::string_view p_key,
                            const std::vector<node_id>& p_nodes,
                            const node_id& p_node)
{
    const auto own = rendezvous_weight(p_key, p_node.value());
    return static_cast<std::size_t>(std::count_if(
        p_nodes.begin(), p_nodes.end(),
        [&](const node_id& p_other)
        { return rendezvous_weight(p_key, p_other.value()) > own; }));
}

} // namespace peridotspar::policy
