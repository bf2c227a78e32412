#include "transport/message_authenticator.hpp"

#include <doctest/doctest.h>

using namespace peridotspar;

namespace
{

const std::string secret = "a-secret-of-the-nodes";

} // namespace

TEST_CASE("a signed message is accepted once")
{
    message_authenticator sender(node_id("n1"), secret);
    message_authenticator receiver(node_id("n2"), secret);
    const auto message = sender.sign(message_kind::gossip, "payload");
    CHECK(receiver.accept(message));
    CHECK_FALSE(receiver.accept(message));
    CHECK(receiver.accept(sender.sign(message_kind::gossip, "next")));
}

TEST_CASE("messages with another secret, a change or an old time are rejected")
{
    message_authenticator receiver(node_id("n2"), secret);
    message_authenticator other_sender(node_id("n1"), "another-secret-here");
    CHECK_FALSE(receiver.accept(other_sender.sign(message_kind::gossip, "x")));
    message_authenticator sender(node_id("n1"), secret);
    auto changed = sender.sign(message_kind::gossip, "x");
    changed.payload_ = "y";
    CHECK_FALSE(receiver.accept(changed));
    auto renamed = sender.sign(message_kind::gossip, "x");
    renamed.sender_ = node_id("n3");
    CHECK_FALSE(receiver.accept(renamed));
    auto old = sender.sign(message_kind::gossip, "x");
    old.unix_ms_ -= 60'000;
    CHECK_FALSE(receiver.accept(old));
}
