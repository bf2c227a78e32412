#pragma once

#include "core/clock.hpp"
#include "core/ids.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace peridotspar
{

/// What a peer reported of itself in its last digest.
struct peer_state
{
    node_id name_;
    std::int64_t started_ms_ = 0; ///< Unix time of the peer's start.
    std::int64_t sequence_ = 0;   ///< Of the digest, since that start.
    std::string caller_address_;  ///< IP:PORT that callers connect to.
    std::string peer_address_;    ///< IP:PORT for messages between nodes.
    failure_domain_id failure_domain_;
    bool ready_ = false;
    bool leaving_ = false;
    bool in_contact_ = false; ///< It follows the store and gets answers.
    /// When it last had responses to all its watches of the store; only set
    /// while it is in contact.
    time_point store_confirmed_at_{};
    /// When the store last failed to answer one of its calls; nullopt if it
    /// hasn't lately, or if the peer doesn't report it.
    std::optional<time_point> store_failed_at_;
    /// It is of a build that reports such failures.
    bool reports_store_failures_ = false;
    std::int64_t config_version_ = 0;
    std::int64_t servers_revision_ = 0;
    /// Of its server list; nullopt if it doesn't report it.
    std::optional<std::uint64_t> servers_hash_;
    std::size_t live_nodes_ = 0; ///< That it knows, with itself.
    /// Longest time until its next digest, by its own word; zero if it gave
    /// none.
    duration digest_interval_{};
    /// Services whose servers it can't reach.
    std::vector<std::string> lost_services_;
    bool collects_usage_ = false; ///< Wants the counts of all nodes.
    /// The highest fencing token that it knows; 0 if it knows none.
    std::uint64_t duty_token_ = 0;
    time_point received_at_{}; ///< When this node got the digest.
};

/// The other entry nodes, and the addresses where there may be one, by their
/// peer address. Not thread-safe.
class peer_table
{
public:
    explicit peer_table(std::string p_own_address)
        : own_address_(std::move(p_own_address))
    {
    }

    /// Sets the interval at which nodes send digests that don't say so
    /// themselves. A peer that misses several in a row isn't live.
    void set_digest_interval(duration p_interval)
    {
        digest_interval_ = p_interval;
    }

    /// Adds the peer address of a node that may be running. An empty
    /// address, this node's own and known ones are ignored.
    void add_candidate(const std::string& p_address, time_point p_now);
    /// Records a peer's digest. Returns false, and ignores it, if it isn't
    /// newer than the last one or comes from this node.
    bool update(const peer_state& p_state);

    /// What a peer reported last, live or not; null without a digest from it.
    [[nodiscard]] const peer_state* find(const std::string& p_address) const;

    /// Records that a peer reported requests at servers.
    void record_load(const std::string& p_address, time_point p_now);
    /// The addresses of live peers that reported requests recently. Only they
    /// have decisions to make, so only they need each report of a send at once.
    [[nodiscard]] std::vector<std::string> loaded_peers(time_point p_now) const;

    /// The addresses to send digests to: all that haven't expired.
    [[nodiscard]] std::vector<std::string> targets(time_point p_now) const;
    [[nodiscard]] bool is_live(const peer_state& p_peer,
                               time_point p_now) const;
    /// Whether a peer's digests arrive in time. One that is live but late may
    /// be gone, so callers shouldn't be sent to it.
    [[nodiscard]] bool is_prompt(const peer_state& p_peer,
                                 time_point p_now) const;
    /// The peers that are live; this node isn't among them.
    [[nodiscard]] std::vector<peer_state> live(time_point p_now) const;
    /// Removes the addresses that sent no digest for long.
    void remove_expired(time_point p_now);

private:
    /// Whether a digest came within a number of the peer's intervals.
    [[nodiscard]] bool is_within(const peer_state& p_peer, double p_intervals,
                                 time_point p_now) const;

    struct entry
    {
        peer_state state_;
        bool has_state_ = false;
        time_point added_at_{};
        time_point last_load_at_{}; ///< When it last reported requests.
    };
    std::string own_address_;
    duration digest_interval_ = std::chrono::milliseconds(200);
    std::map<std::string, entry> entries_;
};

} // namespace peridotspar
