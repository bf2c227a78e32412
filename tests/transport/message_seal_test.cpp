#include "transport/message_seal.hpp"

#include <doctest/doctest.h>

using namespace peridotspar;

namespace
{

const std::string secret = "a-secret-of-the-nodes";

} // namespace

TEST_CASE("a sealed message is accepted once")
{
    message_seal sender(node_id("n1"), secret);
    message_seal receiver(node_id("n2"), secret);
    const auto message = sender.seal(message_kind::gossip, "payload");
    CHECK(receiver.accept(message));
    CHECK_FALSE(receiver.accept(message));
    CHECK(receiver.accept(sender.seal(message_kind::gossip, "next")));
}

TEST_CASE("a stranger's, a changed or an old message is refused")
{
    message_seal receiver(node_id("n2"), secret);
    message_seal stranger(node_id("n1"), "another-secret-here");
    CHECK_FALSE(receiver.accept(stranger.seal(message_kind::gossip, "x")));
    message_seal sender(node_id("n1"), secret);
    auto changed = sender.seal(message_kind::gossip, "x");
    changed.payload_ = "y";
    CHECK_FALSE(receiver.accept(changed));
    auto renamed = sender.seal(message_kind::gossip, "x");
    renamed.sender_ = node_id("n3");
    CHECK_FALSE(receiver.accept(renamed));
    auto old = sender.seal(message_kind::gossip, "x");
    old.unix_ms_ -= 60'000;
    CHECK_FALSE(receiver.accept(old));
}
