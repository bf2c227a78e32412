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

/// What a node says of itself. The highest (incarnation, counter) wins.
struct node_state
{
    node_id name_;
    std::int64_t incarnation_ = 0; ///< Start time, so that it grows.
    std::int64_t counter_ = 0;
    bool leaving_ = false;
    std::string address_;
    std::uint16_t http_port_ = 0;
    std::uint16_t peer_port_ = 0;
    failure_domain_id failure_domain_;
    std::uint16_t load_percent_ = 0;
};

struct membership_options
{
    /// A node not heard of for this long is not live.
    duration liveness_timeout_ = std::chrono::milliseconds(2500);
    /// A node that isn't listed and not heard of for this long is forgotten.
    duration removal_timeout_ = std::chrono::minutes(10);
    /// Above this load a node is left out of the entry list if others do.
    std::uint16_t overloaded_percent_ = 90;
};

/// The nodes that this one knows: from the platform's lagging VM list, and
/// from their own heartbeats, which decide who is live. Not safe for use by
/// several threads at a time.
class node_table
{
public:
    node_table(node_state p_self, membership_options p_options = {});

    /// Counts this node's own heartbeat up.
    void advance_heartbeat(bool p_leaving, std::uint16_t p_load_percent,
                           time_point p_now);
    /// Takes a heartbeat that arrived, directly or through others.
    void apply_heartbeat(const node_state& p_state, time_point p_now);
    /// Takes the VM list's entry nodes.
    void set_listed(const std::vector<node_id>& p_listed, time_point p_now);

    [[nodiscard]] bool is_live(const node_id& p_node, time_point p_now) const;
    /// Live nodes, this one included, in order of name.
    [[nodiscard]] std::vector<node_state> live(time_point p_now) const;
    /// The nodes that divide the caps: those listed and those live.
    [[nodiscard]] std::vector<node_id> listed(time_point p_now) const;
    /// All heartbeats to pass on.
    [[nodiscard]] std::vector<node_state> heartbeats(time_point p_now) const;
    /// Peers to gossip with this round: all of them up to `p_most`, else
    /// that many at random.
    [[nodiscard]] std::vector<node_state> pick_peers(std::size_t p_max,
                                                     std::mt19937_64& r_random,
                                                     time_point p_now) const;
    /// Addresses for callers, the best first: of nodes that are live, not
    /// leaving and not overloaded, the failure domains in turn.
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
