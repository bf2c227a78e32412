#pragma once

#include "core/clock.hpp"

#include <cstdint>
#include <optional>
#include <random>

namespace peridotspar
{

/// The versions of a node's routing state: those of the configuration and of
/// the list of servers. Higher ones are newer.
struct state_version
{
    std::uint64_t config_version_ = 0;
    std::uint64_t servers_revision_ = 0;

    friend bool operator==(const state_version&,
                           const state_version&) = default;
};

/// Decides when a node fetches a part of the routing state from a peer that has
/// a newer one. A version of 0 stands for none. Not thread-safe.
class fetch_policy
{
public:
    /// `p_seed` initialises the random waits.
    explicit fetch_policy(std::uint64_t p_seed) : random_(p_seed) {}

    /// Sets the number of nodes in the fleet. In a large one the fetches of an
    /// update are spread over time, so that the first nodes that have it aren't
    /// asked by all others at once.
    void set_node_count(std::size_t p_node_count)
    {
        node_count_ = p_node_count;
    }
    /// Compares the version that a peer reports with this node's own. Returns
    /// true if the node should fetch from that peer now; the caller then does
    /// so. A node that follows the store waits for the update from there first,
    /// so it fetches only if it stays behind for a while. In a large fleet the
    /// others wait for a random time.
    [[nodiscard]] bool should_fetch(std::uint64_t p_own_version,
                                    std::uint64_t p_peer_version,
                                    bool p_follows_store, time_point p_now);

private:
    duration draw_spread(bool p_joining);

    std::mt19937_64 random_;
    std::size_t node_count_ = 1;
    /// When a peer was first seen ahead of `last_own_version_`.
    std::optional<time_point> behind_since_;
    duration spread_{}; ///< Wait since then of a node that doesn't follow.
    std::uint64_t last_own_version_ = 0;
    time_point last_fetch_{};
};

} // namespace peridotspar
