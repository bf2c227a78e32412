#include "core/clock.hpp"
#include "core/text.hpp"
#include "store/claim_segment.hpp"

#include <algorithm>

#include <doctest/doctest.h>

using namespace peridotspar;

TEST_CASE("a segment is unchanged by serializing and parsing")
{
    claim_segment segment;
    REQUIRE(segment.add("shop/1", {"nonce", "body", std::nullopt}));
    CHECK_FALSE(segment.add("shop/1", {"other", "body", std::nullopt}));
    REQUIRE(segment.finish("shop/1", "nonce", {201, "text/plain", "\"x\"\n"}));
    const auto parsed = claim_segment::parse(segment.serialize());
    REQUIRE(parsed);
    REQUIRE(parsed->find("shop/1"));
    CHECK(parsed->find("shop/1")->response_->body_ == "\"x\"\n");
    CHECK(parsed->find("shop/2") == nullptr);
}

TEST_CASE("only the holder can finish or release a claim")
{
    claim_segment segment;
    segment.add("shop/1", {"nonce", "body", std::nullopt});
    CHECK_FALSE(segment.finish("shop/1", "other", {}));
    CHECK_FALSE(segment.release("shop/1", "other"));
    CHECK(segment.release("shop/1", "nonce"));
    CHECK(segment.find("shop/1") == nullptr);
}

TEST_CASE(
    "a claim's location depends only on account and key, and text that is "
    "not a segment is rejected")
{
    const std::string key = make_uuid7();
    CHECK(locate_claim("shop", key)->object_ ==
          locate_claim("shop", key)->object_);
    CHECK_FALSE(locate_claim("shop", "not a key"));
    CHECK_FALSE(claim_segment::parse("{"));
    CHECK(claim_segment::parse(""));
}

TEST_CASE("a segment is swept only after the retention of its keys")
{
    const std::string key = make_uuid7();
    const std::string object = locate_claim("shop", key)->object_;
    const auto is_swept = [&](std::int64_t p_age_ms)
    {
        const std::int64_t span =
            newest_expired_claim_span(unix_ms() + p_age_ms);
        for (std::int64_t i = span - 10; i <= span; ++i)
        {
            const auto names = claim_objects_in_span(i);
            if (std::find(names.begin(), names.end(), object) != names.end())
            {
                return true;
            }
        }
        return false;
    };
    CHECK_FALSE(is_swept(claim_retention_ms));
    CHECK(is_swept(claim_retention_ms + 60'000));
}

// Guards against an end of the process: a value of another type threw.
TEST_CASE("a segment with a record that can't be read is rejected whole")
{
    for (const std::string record :
         {"7", "null", R"({"nonce":7})", R"({"body":[]})", R"({"answer":7})",
          R"({"answer":{"status":"201"}})", R"({"answer":{"type":null}})"})
    {
        CAPTURE(record);
        CHECK_FALSE(claim_segment::parse(
            R"({"shop/1":{"nonce":"n","body":"b"},"shop/2":)" + record + "}"));
    }
}
