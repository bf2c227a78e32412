#include "daemon/pending_response.hpp"

#include <doctest/doctest.h>

using namespace peridotspar;
using namespace std::chrono_literals;

namespace
{

struct listener_calls
{
    std::uint32_t tokens_ = 0;
    int ends_ = 0;
    attempt_end::kind last_end_ = attempt_end::kind::unsent;
};

std::shared_ptr<pending_response> make_response(listener_calls& r_calls,
                                                bool p_engine = true)
{
    call_template call;
    call.body_ = "{\"model\":\"m\"}";
    call.is_engine_call_ = p_engine;
    return std::make_shared<pending_response>(
        request_id(1), call,
        pending_response::listener{[&](attempt_id, std::uint32_t p_tokens)
                                   { r_calls.tokens_ += p_tokens; },
                                   [&](attempt_id, const attempt_end& p_end)
                                   {
                                       ++r_calls.ends_;
                                       r_calls.last_end_ = p_end.kind_;
                                   }});
}

const endpoint engine{"127.0.0.1", 9000};

} // namespace

TEST_CASE(
    "output of an abandoned attempt is discarded and the next one resumes")
{
    listener_calls calls;
    const auto response = make_response(calls);
    (void)response->begin_attempt(attempt_id(1), engine, tier(2));
    CHECK(response->on_bytes(attempt_id(1), "data: a\n\n", 1));
    response->abandon_attempt(attempt_id(1));
    CHECK(response->on_bytes(attempt_id(1), "data: late\n\n", 1));
    const auto retry = response->begin_attempt(attempt_id(2), engine, tier(2));
    CHECK(retry.request_.body_ ==
          "{\"model\":\"m\",\"priority\":2,\"resume_from\":1}");
    CHECK(response->on_bytes(attempt_id(1), "data: later\n\n", 1));
    CHECK(response->on_bytes(attempt_id(2), "data: b\n\n", 1));
    std::string delivered;
    while (auto part = response->next_part(0ms))
    {
        delivered += std::get<pending_response::chunk>(*part).data_;
    }
    CHECK(delivered == "data: a\n\ndata: b\n\n");
    CHECK(response->delivered_events() == 2);
}

TEST_CASE("a full queue rejects data until a part is taken from it")
{
    listener_calls calls;
    const auto response = make_response(calls);
    (void)response->begin_attempt(attempt_id(1), engine, tier(0));
    int accepted = 0;
    while (response->on_bytes(attempt_id(1), "data: a\n\n", 1))
    {
        ++accepted;
        REQUIRE(accepted < 100'000);
    }
    REQUIRE(response->next_part(0ms));
    CHECK(response->on_bytes(attempt_id(1), "data: a\n\n", 1));
}

TEST_CASE(
    "the first event is reported at once and all by the end of the attempt")
{
    listener_calls calls;
    const auto response = make_response(calls);
    (void)response->begin_attempt(attempt_id(1), engine, tier(0));
    REQUIRE(response->on_bytes(attempt_id(1), "data: a\n\n", 1));
    CHECK(calls.tokens_ == 1);
    REQUIRE(response->on_bytes(attempt_id(1), "data: b\n\n", 1));
    REQUIRE(response->on_bytes(attempt_id(1), "data: c\n\n", 1));
    response->on_end(attempt_id(1), {});
    CHECK(calls.tokens_ == 3);
    CHECK(calls.ends_ == 1);
}

TEST_CASE("the end of the response is delivered after all queued parts")
{
    listener_calls calls;
    const auto response = make_response(calls);
    (void)response->begin_attempt(attempt_id(1), engine, tier(0));
    REQUIRE(response->on_bytes(attempt_id(1), "data: a\n\n", 1));
    response->finish({std::nullopt});
    REQUIRE(response->next_part(0ms));
    const auto last = response->next_part(0ms);
    REQUIRE(last);
    CHECK(std::holds_alternative<pending_response::response_end>(*last));
}

TEST_CASE("a retried call to a plain service discards the partial response")
{
    listener_calls calls;
    const auto response = make_response(calls, false);
    (void)response->begin_attempt(attempt_id(1), engine, tier(0));
    response->on_head(attempt_id(1), 200, "text/plain");
    REQUIRE(response->on_bytes(attempt_id(1), "half", 0));
    const auto retry = response->begin_attempt(attempt_id(2), engine, tier(0));
    CHECK(retry.request_.body_ == "{\"model\":\"m\"}");
    CHECK_FALSE(response->next_part(0ms));
}

TEST_CASE(
    "an error in place of the rest of an engine's stream is a broken attempt")
{
    using kind = attempt_end::kind;
    listener_calls calls;
    const auto response = make_response(calls);
    (void)response->begin_attempt(attempt_id(1), engine, tier(2));
    CHECK(response->on_bytes(attempt_id(1), "data: a\n\n", 1));
    response->on_end(attempt_id(1), {kind::broken, 200, ""});
    (void)response->begin_attempt(attempt_id(2), engine, tier(2));
    response->on_head(attempt_id(2), 500, "application/json");
    CHECK(response->on_bytes(attempt_id(2), "{\"error\":1}", 0));
    response->on_end(attempt_id(2), {kind::completed, 500, ""});
    CHECK(calls.last_end_ == kind::broken);
    std::string delivered;
    while (auto part = response->next_part(0ms))
    {
        const auto* bytes = std::get_if<pending_response::chunk>(&*part);
        REQUIRE(bytes != nullptr);
        delivered += bytes->data_;
    }
    CHECK(delivered == "data: a\n\n");
    // A later attempt may go on.
    (void)response->begin_attempt(attempt_id(3), engine, tier(2));
    CHECK(response->on_bytes(attempt_id(3), "data: b\n\n", 1));
    response->on_end(attempt_id(3), {kind::completed, 200, ""});
    CHECK(calls.last_end_ == kind::completed);
}
