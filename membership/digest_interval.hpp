#pragma once

#include "core/clock.hpp"

#include <cstddef>
#include <cstdint>

namespace peridotspar
{

/// What a node does, as far as its digests to the other nodes depend on it.
enum class node_activity : std::uint8_t
{
    idle,
    loaded,   ///< It has requests.
    follower, ///< It follows the store for the others.
};

/// An interval of messages to all peers that grows with their number, so that
/// the rate of datagrams that a node sends stays bounded.
[[nodiscard]] duration scaled_interval(duration p_interval,
                                       std::size_t p_peers);
/// The interval of a node's full digests, given the number of its live peers.
/// In a large fleet a loaded node sends them more often and an idle one less
/// often. Followers send them most often: if all of them die, the others get no
/// update until they are missed.
[[nodiscard]] duration digest_interval(node_activity p_activity,
                                       std::size_t p_peers);

} // namespace peridotspar
