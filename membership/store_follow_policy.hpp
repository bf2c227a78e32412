#pragma once

#include "membership/peer_table.hpp"

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace peridotspar
{

/// This node's contact with the store while it follows it.
struct store_contact
{
    /// Everything is listed, and the last call succeeded.
    bool in_contact_ = false;
    /// When each watch has had a response since.
    time_point confirmed_at_{};
    /// Failed calls since the last success or since it began to follow.
    unsigned consecutive_failures_ = 0;
    /// When a call last failed that should have been answered at once.
    std::optional<time_point> failed_at_;
};

/// Decides whether a node follows the store itself. A few nodes do; the others
/// get the updates from their peers. Nobody assigns them: if too few nodes are
/// in contact with the store, each of the others begins to follow it after a
/// random wait. The wait grows with the fleet, so that the calls to the
/// store don't, neither at a common start nor while the store fails. It has no
/// clock and does no I/O. Not thread-safe.
class store_follow_policy
{
public:
    /// `p_first_start`: the whole system starts for the first time, with nobody
    /// to serve yet, so its nodes take more time to find each other. `p_seed`
    /// initialises the random waits.
    store_follow_policy(std::string p_own_address, bool p_first_start,
                        std::uint64_t p_seed);

    /// Sets whether other nodes are told to contact this one first. Such a node
    /// doesn't wait for peers after its start.
    void set_contact_point(bool p_is_contact_point)
    {
        is_contact_point_ = p_is_contact_point;
    }
    /// Returns whether the node should follow the store now. Call it several
    /// times a second with the live peers and the estimated number of nodes.
    bool should_follow(const std::vector<peer_state>& p_live,
                       std::size_t p_nodes, const store_contact& p_own,
                       time_point p_now);

    /// Number of live nodes in contact with the store that rank before this
    /// one. All nodes rank alike.
    [[nodiscard]] std::size_t
    followers_before(const std::vector<peer_state>& p_live) const;

private:
    [[nodiscard]] bool should_stop(const std::vector<peer_state>& p_live,
                                   const store_contact& p_own) const;
    /// The wait before the next attempt to follow the store. `p_is_outage`: no
    /// node is known to be in contact with it. `p_is_starting`: some are, but
    /// this node has just started.
    duration draw_wait(bool p_has_peers, std::size_t p_nodes, bool p_is_outage,
                       bool p_is_starting);

    std::string own_address_;
    bool first_start_;
    std::mt19937_64 random_;
    std::optional<time_point> started_at_; ///< The first call.
    bool is_contact_point_ = false;
    bool following_ = false;
    bool was_in_contact_ = false;  ///< Since it began to follow.
    bool attempted_ = false;       ///< Followed the store at least once.
    unsigned failed_attempts_ = 0; ///< Since the last contact.
    /// Set while too few nodes are in contact with the store.
    std::optional<time_point> next_attempt_at_;
    bool waits_for_peers_ = false; ///< The wait was drawn without peers.
};

} // namespace peridotspar
