#include "core/clock.hpp"
#include "core/text.hpp"

#include <doctest/doctest.h>

using namespace peridotspar;

TEST_CASE("a version-7 UUID contains its creation time")
{
    const std::int64_t before = unix_ms();
    const std::int64_t in_key = uuid7_unix_ms(make_uuid7());
    CHECK(in_key >= before);
    CHECK(in_key <= unix_ms());
}

TEST_CASE("other texts are not version-7 UUIDs")
{
    CHECK(uuid7_unix_ms("") == -1);
    CHECK(uuid7_unix_ms("order-17") == -1);
    CHECK(uuid7_unix_ms("9b2e8c34-0d5a-4c1e-8f00-000000000000") == -1);
    CHECK(uuid7_unix_ms("0193-8c340d5a-7c1e-8f00-000000000000") == -1);
}

TEST_CASE(
    "SHA-256 gives its standard test vector, and comparison finds differences")
{
    CHECK(sha256_hex("abc") == "ba7816bf8f01cfea414140de5dae2223"
                               "b00361a396177a9cb410ff61f20015ad");
    CHECK(equal_constant_time("same", "same"));
    CHECK_FALSE(equal_constant_time("same", "some"));
    CHECK_FALSE(equal_constant_time("same", "longer"));
}
