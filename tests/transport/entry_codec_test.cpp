#include "transport/entry_codec.hpp"

#include <doctest/doctest.h>

using namespace peridotspar;

TEST_CASE(
    "messages between entry nodes are unchanged after encoding and decoding")
{
    entry_wire::digest digest;
    digest.node = "n1";
    digest.sequence = 7;
    digest.running_at["i-1"].all_requests = 3;
    const auto read = decode_digest(encode(digest));
    REQUIRE(read);
    CHECK(read->node == "n1");
    CHECK(read->running_at.at("i-1").all_requests == 3);
    entry_wire::beliefs beliefs;
    beliefs.config = std::string("a\0b", 3);
    REQUIRE(decode_beliefs(encode(beliefs)));
    CHECK(decode_beliefs(encode(beliefs))->config == beliefs.config);
}

TEST_CASE("malformed messages are rejected")
{
    CHECK_FALSE(decode_digest("\x19\xfc\xff\xff\xff\x7f"));
    CHECK_FALSE(decode_digest(std::string(40, '\x18')));
}
