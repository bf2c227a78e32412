#include "daemon/pending_answer.hpp"

#include <doctest/doctest.h>

using namespace peridotspar;
using namespace std::chrono_literals;

namespace
{

struct heard
{
    std::uint32_t tokens_ = 0;
    int ends_ = 0;
};

std::shared_ptr<pending_answer> make_answer(heard& r_heard,
                                            bool p_engine = true)
{
    call_template call;
    call.body_ = "{\"model\":\"m\"}";
    call.engine_ = p_engine;
    return std::make_shared<pending_answer>(
        request_id(1), call,
        pending_answer::listener{[&](attempt_id, std::uint32_t p_tokens)
                                 { r_heard.tokens_ += p_tokens; },
                                 [&](attempt_id, const attempt_end&)
                                 { ++r_heard.ends_; }});
}

const endpoint engine{"127.0.0.1", 9000};

} // namespace

TEST_CASE("an abandoned attempt's output reaches nobody, and the next resumes")
{
    heard seen;
    const auto answer = make_answer(seen);
    (void)answer->begin(attempt_id(1), engine, tier(2));
    CHECK(answer->on_bytes(attempt_id(1), "data: a\n\n", 1));
    answer->drop(attempt_id(1));
    CHECK(answer->on_bytes(attempt_id(1), "data: late\n\n", 1));
    const auto again = answer->begin(attempt_id(2), engine, tier(2));
    CHECK(again.request_.body_ ==
          "{\"model\":\"m\",\"priority\":2,\"resume_from\":1}");
    CHECK(answer->on_bytes(attempt_id(1), "data: later\n\n", 1));
    CHECK(answer->on_bytes(attempt_id(2), "data: b\n\n", 1));
    std::string delivered;
    while (auto part = answer->next(0ms))
    {
        delivered += std::get<pending_answer::bytes>(*part).data_;
    }
    CHECK(delivered == "data: a\n\ndata: b\n\n");
    CHECK(answer->delivered() == 2);
}

TEST_CASE("a full queue refuses bytes until the caller reads")
{
    heard seen;
    const auto answer = make_answer(seen);
    (void)answer->begin(attempt_id(1), engine, tier(0));
    int taken = 0;
    while (answer->on_bytes(attempt_id(1), "data: a\n\n", 1))
    {
        ++taken;
        REQUIRE(taken < 100'000);
    }
    REQUIRE(answer->next(0ms));
    CHECK(answer->on_bytes(attempt_id(1), "data: a\n\n", 1));
}

TEST_CASE("all output is told of by the attempt's end, the first at once")
{
    heard seen;
    const auto answer = make_answer(seen);
    (void)answer->begin(attempt_id(1), engine, tier(0));
    REQUIRE(answer->on_bytes(attempt_id(1), "data: a\n\n", 1));
    CHECK(seen.tokens_ == 1);
    REQUIRE(answer->on_bytes(attempt_id(1), "data: b\n\n", 1));
    REQUIRE(answer->on_bytes(attempt_id(1), "data: c\n\n", 1));
    answer->on_end(attempt_id(1), {});
    CHECK(seen.tokens_ == 3);
    CHECK(seen.ends_ == 1);
}

TEST_CASE("the ending comes after everything that was queued")
{
    heard seen;
    const auto answer = make_answer(seen);
    (void)answer->begin(attempt_id(1), engine, tier(0));
    REQUIRE(answer->on_bytes(attempt_id(1), "data: a\n\n", 1));
    answer->end({std::nullopt});
    REQUIRE(answer->next(0ms));
    const auto last = answer->next(0ms);
    REQUIRE(last);
    CHECK(std::holds_alternative<pending_answer::ending>(*last));
}

TEST_CASE("a plain answer that is tried again starts from nothing")
{
    heard seen;
    const auto answer = make_answer(seen, false);
    (void)answer->begin(attempt_id(1), engine, tier(0));
    answer->on_head(attempt_id(1), 200, "text/plain");
    REQUIRE(answer->on_bytes(attempt_id(1), "half", 0));
    const auto again = answer->begin(attempt_id(2), engine, tier(0));
    CHECK(again.request_.body_ == "{\"model\":\"m\"}");
    CHECK_FALSE(answer->next(0ms));
}
