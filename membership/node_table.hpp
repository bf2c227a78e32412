#pragma once

#include "core/clock.hpp"
#include "core/ids.hpp"

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace peridotspar
{

/// A node's heartbeat: the state that it reports of itself. Of two heartbeats
/// of a node, the one with the higher (incarnation, counter) is newer.
struct node_state
{
    node_id name_;
    /// Unix time of the node's start in milliseconds, so that it increases with
    /// each restart.
    std::int64_t incarnation_ = 0;
    std::int64_t counter_ = 0; ///< Heartbeats since the start.
    bool leaving_ = false;
    std::string address_;
    std::uint16_t http_port_ = 0;
    std::uint16_t peer_port_ = 0;
    failure_domain_id failure_domain_;
    std::uint16_t load_percent_ = 0;
};

struct membership_options
{
    /// A node without a new heartbeat for this long isn't live.
    duration liveness_timeout_ = std::chrono::milliseconds(2500);
    /// A node that isn't in the VM list is removed after this long without a
    /// new heartbeat.
    duration removal_timeout_ = std::chrono::minutes(10);
    /// A node with more load is left out of the entry list, unless all are
    /// above this limit.
    std::uint16_t overloaded_percent_ = 90;
};

/// The nodes that this one knows of, from the platform's VM list and from
/// heartbeats. The VM list lags behind, so heartbeats alone decide which nodes
/// are live. Not thread-safe.
class node_table
{
public:
    node_table(node_state p_self, membership_options p_options = {});

    /// Increments the counter of this node's own heartbeat and updates its
    /// state.
    void advance_heartbeat(bool p_leaving, std::uint16_t p_load_percent,
                           time_point p_now);
    /// Records a heartbeat from a node itself or passed on by another one. One
    /// that isn't newer than the last is ignored.
    void apply_heartbeat(const node_state& p_state, time_point p_now);
    /// Replaces the entry nodes of the VM list, and removes the nodes that
    /// aren't listed and whose last heartbeat is too old.
    void set_listed(const std::vector<node_id>& p_listed, time_point p_now);

    /// Whether a node's last new heartbeat is recent. Always true for this
    /// node.
    [[nodiscard]] bool is_live(const node_id& p_node, time_point p_now) const;
    /// Live nodes, this one included, in order of name.
    [[nodiscard]] std::vector<node_state> live(time_point p_now) const;
    /// The nodes among which the caps are divided: those in the VM list and
    /// those live, in order of name.
    [[nodiscard]] std::vector<node_id> listed(time_point p_now) const;
    /// The heartbeats to send to peers: this node's own first, then those of
    /// the other live nodes.
    [[nodiscard]] std::vector<node_state> heartbeats(time_point p_now) const;
    /// The peers for a gossip round: all live ones, or `p_max` random ones if
    /// there are more.
    [[nodiscard]] std::vector<node_state> pick_peers(std::size_t p_max,
                                                     std::mt19937_64& r_random,
                                                     time_point p_now) const;
    /// The nodes that callers should use, best first: those that are live, not
    /// leaving and not overloaded. Failure domains alternate, and the least
    /// loaded nodes of each come first.
    [[nodiscard]] std::vector<node_state> entry_list(time_point p_now) const;

    [[nodiscard]] const node_state& self() const { return self_; }

private:
    struct known_node
    {
        node_state state_;
        time_point received_at_{};
    };

    node_state self_;
    membership_options options_;
    std::map<node_id, known_node> known_;
    std::vector<node_id> listed_;
};

} // namespace peridotspar
