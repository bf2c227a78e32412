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

/// A message between nodes, with its sender and proof.
struct peer_message
{
    node_id sender_;
    message_kind kind_ = message_kind::gossip;
    std::int64_t sequence_ = 0;
    std::int64_t unix_ms_ = 0;
    std::string payload_;
    std::string mac_;
};

/// Signs messages with the nodes' common secret and checks those of others.
/// A message is refused if its code is wrong, if it is old, or if one of its
/// sender and kind with the same or a higher sequence came before; so each
/// kind is sent by one thread of a node. Any thread may check.
class message_authenticator
{
public:
    message_authenticator(node_id p_self, std::string p_secret);

    [[nodiscard]] peer_message sign(message_kind p_kind, std::string p_payload);
    /// Whether a request may be acted on.
    [[nodiscard]] bool accept(const peer_message& p_message);
    /// Whether a reply on a connection of this node's own is genuine.
    [[nodiscard]] bool verify(const peer_message& p_message) const;

private:
    [[nodiscard]] std::string compute_mac(const peer_message& p_message) const;

    node_id self_;
    std::string secret_;
    std::mutex mutex_;
    std::int64_t sequence_;
    std::map<std::pair<node_id, message_kind>, std::int64_t> last_sequences_;
};

} // namespace peridotspar
