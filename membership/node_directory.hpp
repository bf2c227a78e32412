#pragma once

#include "membership/exchange_message.hpp"

#include <array>
#include <map>
#include <string>
#include <vector>

namespace peridotspar
{

/// A node of which a record is known.
struct known_node
{
    node_record record_;
    node_key key_;
    bool live_ = true;
    time_point recorded_at_{}; ///< When the newest record arrived.
    /// When the node itself sent something, or the newest record arrived.
    time_point heard_at_{};
    time_point died_at_{};    ///< If it isn't live.
    time_point noticed_at_{}; ///< Of the last dead notice to it.
    time_point asked_at_{};   ///< When it was asked whether it lives.
};

/// How messages for all are spread; the same at all nodes.
struct spreading_options
{
    /// Up to this many peers are sent each message directly.
    std::size_t max_direct_peers_ = 24;
    /// Number of nodes that a relay forwards to, at most.
    std::size_t nodes_per_relay_ = 20;
};

/// A node that forwards messages to a part of its failure domain.
struct relay
{
    std::string address_;
    forwarding forwarding_;
};

/// The records of all nodes, and who has which duty among the live ones. Not
/// thread-safe. Pointers to nodes are valid until `remove_expired()`.
class node_directory
{
public:
    explicit node_directory(const node_record& p_self,
                            spreading_options p_options = {});

    [[nodiscard]] const known_node& self() const { return *self_; }
    /// Replaces this node's own record.
    void set_self(const node_record& p_record);
    /// Takes over a record that is newer than the one known; its node is live
    /// then. Returns false for others and for this node's own.
    bool merge(const node_record& p_record, time_point p_now);
    void mark_dead(node_key p_key, time_point p_now);
    /// Removes dead nodes after a long time.
    void remove_expired(time_point p_now);

    /// Null if no record of the node is known.
    [[nodiscard]] known_node* find(node_key p_key);
    [[nodiscard]] bool is_live(node_key p_key) const;
    /// This node and the live peers, in order of their keys.
    [[nodiscard]] const std::vector<const known_node*>& live() const;
    [[nodiscard]] std::vector<const known_node*> dead() const;
    /// Increases whenever the set of live nodes or a record changes.
    [[nodiscard]] std::uint64_t generation() const { return generation_; }
    /// Equal at nodes with the same records of the same live nodes.
    [[nodiscard]] std::uint64_t records_hash() const;

    /// The live node that sums the loads of a stripe; one that is leaving only
    /// if all are.
    [[nodiscard]] const known_node& home_of(std::uint32_t p_stripe) const;
    /// Whether it is the home of any stripe.
    [[nodiscard]] bool is_home(node_key p_key) const;
    /// The relays of all failure domains for messages of one origin or stripe;
    /// nodes that aren't homes, in turn, so that none has many duties. If there
    /// are few peers, all of them, without forwarding.
    [[nodiscard]] std::vector<relay> relays(std::uint64_t p_salt) const;
    /// Addresses to which this node forwards a message from `p_origin`. The
    /// division into parts changes with `p_sequence`, so that a relay that
    /// fails doesn't cut off the same nodes each time.
    [[nodiscard]] std::vector<std::string>
    forward_to(const forwarding& p_forwarding, std::uint64_t p_salt,
               std::uint32_t p_sequence, node_key p_origin) const;

private:
    void record_change();
    void update_duties() const;

    spreading_options options_;
    std::map<node_key, known_node> nodes_;
    known_node* self_ = nullptr;
    std::uint64_t generation_ = 0;
    // What follows from the live nodes, computed when it is asked for.
    mutable std::vector<const known_node*> live_;
    mutable std::uint64_t records_hash_ = 0;
    mutable std::array<const known_node*, stripe_count> homes_{};
    mutable bool duties_are_current_ = false;
};

} // namespace peridotspar
