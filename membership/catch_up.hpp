#pragma once

#include "core/clock.hpp"

#include <cstdint>
#include <optional>

namespace peridotspar
{

/// What a node knows: the version of the configuration and the revision of
/// the list of servers.
struct belief_state
{
    std::uint64_t config_version_ = 0;
    std::uint64_t servers_revision_ = 0;

    friend bool operator==(const belief_state&, const belief_state&) = default;
};

/// Decides when a node that hears that a peer knows more asks that peer. Not
/// for several threads.
class catch_up
{
public:
    /// Takes a peer's word; true if the peer is to be asked now. A node that
    /// follows the store itself waits for its own news first.
    [[nodiscard]] bool should_ask(const belief_state& p_own,
                                  const belief_state& p_peer,
                                  bool p_follows_store, time_point p_now);

private:
    std::optional<time_point> behind_since_;
    belief_state own_then_;
    time_point last_asked_{};
};

} // namespace peridotspar
