#pragma once

#include "core/clock.hpp"
#include "core/ids.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace peridotspar
{

/// What a peer said of itself last.
struct peer_state
{
    node_id name_;
    std::int64_t started_ms_ = 0;
    std::int64_t sequence_ = 0;
    std::string caller_address_; ///< IP:PORT that callers use.
    std::string peer_address_;   ///< IP:PORT for messages between nodes.
    failure_domain_id failure_domain_;
    bool ready_ = false;
    bool leaving_ = false;
    bool in_contact_ = false; ///< With the store.
    std::int64_t config_version_ = 0;
    std::int64_t servers_revision_ = 0;
    time_point received_at_{};
};

/// The nodes that this one heard of, by the address for their messages.
class peer_table
{
public:
    explicit peer_table(std::string p_own_address)
        : own_address_(std::move(p_own_address))
    {
    }

    /// How often nodes tell of themselves; it sets when one counts as gone.
    void set_digest_interval(duration p_interval)
    {
        digest_interval_ = p_interval;
    }

    /// An address at which there may be a node.
    void add_candidate(const std::string& p_address, time_point p_now);
    /// Takes a peer's word; false if it is an old one.
    bool update(const peer_state& p_state);

    /// Where digests go: live nodes and candidates that may yet answer.
    [[nodiscard]] std::vector<std::string> targets(time_point p_now) const;
    [[nodiscard]] bool is_live(const peer_state& p_peer,
                               time_point p_now) const;
    /// Live nodes without this one.
    [[nodiscard]] std::vector<peer_state> live(time_point p_now) const;
    /// Drops what wasn't heard of for long.
    void remove_expired(time_point p_now);

private:
    struct entry
    {
        peer_state state_;
        bool has_state_ = false;
        time_point added_at_{};
    };
    std::string own_address_;
    duration digest_interval_ = std::chrono::milliseconds(200);
    std::map<std::string, entry> entries_;
};

} // namespace peridotspar
