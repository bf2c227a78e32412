#pragma once

#include "core/clock.hpp"
#include "membership/peer_table.hpp"

#include <cstdint>

namespace peridotspar
{

/// Decides what a node does when a peer reports the same revision of the server
/// list with other content. One of them has then taken over something wrong,
/// and nothing else would repair it until the next change of just that server.
/// The nodes that follow the store are right, or find out there. It has no
/// clock and does no I/O. Not thread-safe.
class divergence_policy
{
public:
    /// The server list of this node.
    struct own_list
    {
        std::uint64_t revision_ = 0;
        std::uint64_t hash_ = 0;
        bool in_contact_ = false; ///< The node follows the store.
    };
    enum class action : std::uint8_t
    {
        none,
        fetch_list, ///< Take over the peer's full list.
        list_store, ///< Ask the store for the full list.
    };

    /// Call it with each report of a peer. The caller carries out the action,
    /// which isn't repeated for a while.
    [[nodiscard]] action decide(const own_list& p_own, const peer_state& p_peer,
                                time_point p_now);

private:
    time_point next_repair_{};
};

} // namespace peridotspar
