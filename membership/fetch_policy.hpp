#pragma once

#include "core/clock.hpp"

#include <cstdint>
#include <optional>

namespace peridotspar
{

/// What a node knows: the version of the configuration and the revision of
/// the list of servers.
struct state_version
{
    std::uint64_t config_version_ = 0;
    std::uint64_t servers_revision_ = 0;

    friend bool operator==(const state_version&,
                           const state_version&) = default;
};

/// Decides when a node that hears that a peer knows more asks that peer. Not
/// for several threads.
class fetch_policy
{
public:
    /// Takes a peer's word; true if the peer is to be asked now. A node that
    /// follows the store itself waits for its own news first.
    [[nodiscard]] bool should_fetch(const state_version& p_own_version,
                                    const state_version& p_peer_version,
                                    bool p_follows_store, time_point p_now);

private:
    std::optional<time_point> behind_since_;
    state_version last_own_version_;
    time_point last_fetch_{};
};

} // namespace peridotspar
