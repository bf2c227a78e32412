#pragma once

#include "core/ids.hpp"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <utility>

namespace peridotspar
{

/// Kinds of messages between nodes.
enum class message_kind : std::int32_t
{
    gossip = 1,
    cap_claims = 2,
    yield_request = 3,
    config_request = 4,
    cap_grants = 5,
    reply = 100,
    refused = 101,
};

/// A message between nodes with its authentication data.
struct peer_message
{
    node_id sender_;
    message_kind kind_ = message_kind::gossip;
    std::int64_t sequence_ = 0; ///< Increases with each message of a sender.
    std::int64_t unix_ms_ = 0;  ///< When the message was signed.
    std::string payload_;
    std::string mac_; ///< HMAC-SHA-256 of all other members.
};

/// Signs messages with the secret that all nodes share, and checks the messages
/// of other nodes. To prevent replays, a message is rejected if its code is
/// wrong, if it is too old, or if one of the same sender and kind with the same
/// or a higher sequence was accepted before. Messages of a kind must therefore
/// arrive in order, so only one thread of a node may send each kind.
/// Thread-safe.
class message_authenticator
{
public:
    message_authenticator(node_id p_self, std::string p_secret);

    /// Makes a signed message with the next sequence and the current time.
    [[nodiscard]] peer_message sign(message_kind p_kind, std::string p_payload);
    /// Checks a request and records its sequence; false if it must be rejected.
    [[nodiscard]] bool accept(const peer_message& p_message);
    /// Checks code and age only. Enough for a reply, which arrives on a
    /// connection that this node opened.
    [[nodiscard]] bool verify(const peer_message& p_message) const;

private:
    [[nodiscard]] std::string compute_mac(const peer_message& p_message) const;

    node_id self_;
    std::string secret_;
    std::mutex mutex_;
    std::int64_t sequence_;
    /// Highest sequence accepted of each sender and kind.
    std::map<std::pair<node_id, message_kind>, std::int64_t> last_sequences_;
};

} // namespace peridotspar
