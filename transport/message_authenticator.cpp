#include "transport/message_authenticator.hpp"

#include "core/clock.hpp"
#include "core/text.hpp"

namespace peridotspar
{

namespace
{

/// Also the limit for a sender's clock that is ahead.
constexpr std::int64_t max_age_ms = 30'000;
/// Sequence numbers start from the Unix time, so that they increase over a
/// restart as long as a node sends fewer messages than this per millisecond.
constexpr std::int64_t sequence_per_ms = 1000;

} // namespace

message_authenticator::message_authenticator(node_id p_self,
                                             std::string p_secret)
    : self_(std::move(p_self)),
      secret_(std::move(p_secret)),
      sequence_(unix_ms() * sequence_per_ms)
{
}

std::string
message_authenticator::compute_mac(const peer_message& p_message) const
{
    std::string text = p_message.sender_.value();
    text += '\n';
    text += std::to_string(static_cast<std::int32_t>(p_message.kind_)) + "\n" +
            std::to_string(p_message.sequence_) + "\n" +
            std::to_string(p_message.unix_ms_) + "\n";
    text += p_message.payload_;
    return hmac_sha256(secret_, text);
}

peer_message message_authenticator::sign(message_kind p_kind,
                                         std::string p_payload)
{
    peer_message message;
    message.sender_ = self_;
    message.kind_ = p_kind;
    message.unix_ms_ = unix_ms();
    message.payload_ = std::move(p_payload);
    {
        std::lock_guard lock(mutex_);
        message.sequence_ = ++sequence_;
    }
    message.mac_ = compute_mac(message);
    return message;
}

bool message_authenticator::verify(const peer_message& p_message) const
{
    const std::int64_t age = unix_ms() - p_message.unix_ms_;
    return age < max_age_ms && age > -max_age_ms &&
           equal_constant_time(compute_mac(p_message), p_message.mac_);
}

bool message_authenticator::accept(const peer_message& p_message)
{
    if (!verify(p_message))
    {
        return false;
    }
    std::lock_guard lock(mutex_);
    std::int64_t& last = last_sequences_[{p_message.sender_, p_message.kind_}];
    if (p_message.sequence_ <= last)
    {
        return false;
    }
    last = p_message.sequence_;
    return true;
}

} // namespace peridotspar
