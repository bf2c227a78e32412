#include "tests/policy/decider_fixture.hpp"

#include <deque>
#include <type_traits>

#include <doctest/doctest.h>

using namespace peridotspar;
using namespace peridotspar::policy;
using namespace std::chrono_literals;

TEST_CASE("a decider stays in place, because its parts refer to its tuning")
{
    CHECK_FALSE(std::is_copy_constructible_v<decider>);
    CHECK_FALSE(std::is_move_constructible_v<decider>);
    CHECK_FALSE(std::is_copy_assignable_v<decider>);
    CHECK_FALSE(std::is_move_assignable_v<decider>);
}

TEST_CASE("a request is dispatched to a free backend server and completes")
{
    decider_fixture node;
    const auto id = node.submit(0);
    REQUIRE(node.find_action<dispatch>());
    const dispatch sent = *node.find_action<dispatch>();
    CHECK(sent.request_ == id);
    CHECK(sent.resume_from_ == 0);
    node.handle(output_received{sent.attempt_, 1});
    node.end_attempt(sent, attempt_result::completed);
    REQUIRE(node.find_action<complete>());
    CHECK(node.decider_.open_requests() == 0);
}

TEST_CASE(
    "a higher tier preempts a lower one, which resumes after its output so far")
{
    decider_fixture node(1);
    const auto low = node.submit(1);
    const dispatch first = *node.find_action<dispatch>();
    node.handle(output_received{first.attempt_, 7});
    node.submit(0);
    REQUIRE(node.find_action<cancel_attempt>());
    CHECK(node.find_action<cancel_attempt>()->request_ == low);
    REQUIRE(node.find_action<dispatch>());
    node.end_attempt(*node.find_action<dispatch>(), attempt_result::completed);
    REQUIRE(node.find_action<dispatch>());
    CHECK(node.find_action<dispatch>()->request_ == low);
    CHECK(node.find_action<dispatch>()->resume_from_ == 7);
}

TEST_CASE(
    "a stream isn't resumed at another version than the one that began it")
{
    for (const std::string other_version : {"v1", "v2"})
    {
        decider_fixture node(2);
        node.catalogue_.backends_[0].version_ = "v1";
        node.catalogue_.backends_[1].version_ = other_version;
        node.handle(
            catalogue_changed{std::make_shared<catalogue>(node.catalogue_)});
        node.submit(0);
        const dispatch first = *node.find_action<dispatch>();
        node.handle(output_received{first.attempt_, 7});
        node.end_attempt(first, attempt_result::connection_lost);
        if (other_version == "v2")
        {
            CHECK_FALSE(node.find_action<dispatch>());
            REQUIRE(node.find_action<refuse>());
            CHECK(node.find_action<refuse>()->verdict_ ==
                  verdict::may_have_run);
            continue;
        }
        REQUIRE(node.find_action<dispatch>());
        CHECK(node.find_action<dispatch>()->resume_from_ == 7);
    }
}

TEST_CASE("a request that is not idempotent is neither preempted nor retried")
{
    decider_fixture node(1);
    node.submit(1, false);
    const dispatch sent = *node.find_action<dispatch>();
    node.submit(0);
    CHECK_FALSE(node.find_action<cancel_attempt>());
    node.end_attempt(sent, attempt_result::connection_lost);
    REQUIRE(node.find_action<refuse>());
    CHECK(node.find_action<refuse>()->verdict_ == verdict::may_have_run);
    CHECK(node.find_action<refuse>()->reason_ == refusal::backend_failed);
}

TEST_CASE(
    "a request that is not idempotent is retried elsewhere if it was unsent")
{
    decider_fixture node(2);
    node.submit(1, false);
    const dispatch sent = *node.find_action<dispatch>();
    node.end_attempt(sent, attempt_result::unsent);
    REQUIRE(node.find_action<dispatch>());
    CHECK(node.find_action<dispatch>()->backend_ != sent.backend_);
}

TEST_CASE("events of a cancelled attempt are ignored")
{
    decider_fixture node(1);
    node.submit(1);
    const dispatch old = *node.find_action<dispatch>();
    node.submit(0);
    node.end_attempt(old, attempt_result::completed);
    CHECK(node.actions_.empty());
    node.handle(output_received{old.attempt_, 5});
    CHECK(node.actions_.empty());
}

TEST_CASE("a request is refused if no backend server accepts new requests")
{
    decider_fixture node(1);
    node.handle(backend_admission_changed{backend_index(0), false});
    node.submit(0);
    REQUIRE(node.find_action<refuse>());
    CHECK(node.find_action<refuse>()->reason_ == refusal::no_backend);
    CHECK(node.find_action<refuse>()->verdict_ == verdict::not_run);
    CHECK(node.find_action<refuse>()->retry_after_ > duration(0));
}

TEST_CASE("a request that would exceed its wait limit is refused on arrival")
{
    decider_fixture node(1);
    node.submit(0);
    dispatch sent = *node.find_action<dispatch>();
    node.advance(1s);
    node.end_attempt(sent, attempt_result::completed);
    node.submit(0);
    int refused = 0;
    for (int i = 0; i < 10; ++i)
    {
        node.submit(0);
        if (const auto* answer = node.find_action<refuse>())
        {
            ++refused;
            CHECK(answer->reason_ == refusal::overloaded);
            CHECK(answer->retry_after_ >= 1s);
        }
    }
    // With 1 s of service each, a wait limit of 1.5 s admits one waiting
    // request.
    CHECK(refused >= 8);
}

TEST_CASE("a waiting lower tier gets the minimum share under overload")
{
    decider_fixture node(1, 8);
    std::deque<dispatch> running;
    const auto collect = [&]
    {
        if (const auto* sent = node.find_action<dispatch>())
        {
            running.push_back(*sent);
        }
    };
    for (int i = 0; i < 12; ++i)
    {
        node.submit(0);
        collect();
    }
    const auto low = node.submit(1);
    bool served = false;
    // Requests of tier 0 are always waiting; a slot becomes free every 50 ms.
    for (int i = 0; i < 80 && !served; ++i)
    {
        node.advance(50ms);
        const dispatch oldest = running.front();
        running.pop_front();
        node.end_attempt(oldest, attempt_result::completed);
        collect();
        served = !running.empty() && running.back().request_ == low;
        node.submit(0);
        collect();
    }
    CHECK(served);
    CHECK(running.back().on_minimum_share_);
}

TEST_CASE("the attempt of a disconnected caller is cancelled")
{
    decider_fixture node(1);
    const auto id = node.submit(0);
    node.handle(caller_disconnected{id});
    REQUIRE(node.find_action<cancel_attempt>());
    CHECK(node.find_action<cancel_attempt>()->reason_ ==
          cancel_reason::caller_disconnected);
    CHECK(node.decider_.open_requests() == 0);
}

TEST_CASE("a request that ran in two crashes is quarantined here and at a peer")
{
    decider_fixture node(3, 4);
    node.submit(0, true, 0, 77);
    node.end_attempt(*node.find_action<dispatch>(),
                     attempt_result::connection_lost);
    REQUIRE(node.find_action<dispatch>());
    node.advance(600ms);
    const dispatch second{request_id(1), attempt_id(2), backend_index(0),
                          tier(0)};
    node.handle(
        attempt_ended{second.attempt_, attempt_result::connection_lost});
    REQUIRE(node.find_action<refuse>());
    CHECK(node.find_action<refuse>()->reason_ == refusal::quarantined);
    node.submit(0, true, 0, 77);
    REQUIRE(node.find_action<refuse>());
    CHECK(node.find_action<refuse>()->verdict_ == verdict::not_run);
    node.tick_actions_.clear();
    node.advance(500ms);
    REQUIRE(node.find_tick_action<publish_digest>());
    decider_fixture peer(3, 4);
    digest received = node.find_tick_action<publish_digest>()->digest_;
    received.from_ = node_id("n2");
    peer.handle(digest_received{received});
    peer.submit(0, true, 0, 77);
    REQUIRE(peer.find_action<refuse>());
    CHECK(peer.find_action<refuse>()->reason_ == refusal::quarantined);
}

TEST_CASE("requests with a part that crashes engines are refused at all nodes")
{
    constexpr std::uint64_t deadly = 5;
    constexpr std::uint64_t sound = 6;
    decider_fixture node(6, 4);
    int crashes = 0;
    for (int i = 0; i < 12; ++i)
    {
        node.submit_with_part(deadly);
        if (const auto* sent = node.find_action<dispatch>())
        {
            ++crashes;
            node.end_attempt(*sent, attempt_result::connection_lost);
        }
        node.advance(300ms);
    }
    CHECK(crashes == 3);
    node.submit_with_part(deadly);
    REQUIRE(node.find_action<refuse>());
    CHECK(node.find_action<refuse>()->reason_ == refusal::quarantined);
    CHECK(node.find_action<refuse>()->verdict_ == verdict::not_run);
    CHECK(node.find_action<refuse>()->retry_after_ > 0ms);
    node.submit_with_part(sound);
    CHECK(node.find_action<dispatch>());
    node.tick_actions_.clear();
    node.advance(500ms);
    REQUIRE(node.find_tick_action<publish_digest>());
    decider_fixture peer(6, 4);
    peer.now_ = node.now_;
    digest received = node.find_tick_action<publish_digest>()->digest_;
    received.from_ = node_id("n2");
    peer.handle(digest_received{received});
    peer.submit_with_part(deadly);
    CHECK(peer.find_action<refuse>());
    peer.submit_with_part(sound);
    CHECK(peer.find_action<dispatch>());
}

TEST_CASE("a stream whose last engine is gone ends by its deadline or in 30 s")
{
    for (const std::optional<duration> time_left :
         {std::optional<duration>(), std::optional<duration>(4s)})
    {
        decider_fixture node(1);
        node.submit(0, true, 0, 0, time_left);
        REQUIRE(node.find_action<dispatch>());
        const dispatch sent = *node.find_action<dispatch>();
        node.handle(output_received{sent.attempt_, 1});
        node.handle(backend_admission_changed{backend_index(0), false});
        node.end_attempt(sent, attempt_result::connection_lost);
        node.advance(time_left ? 3800ms : 29s);
        CHECK_FALSE(node.find_tick_action<refuse>());
        node.advance(1500ms);
        REQUIRE(node.find_tick_action<refuse>());
        CHECK(node.find_tick_action<refuse>()->verdict_ ==
              verdict::may_have_run);
        CHECK(node.decider_.open_requests() == 0);
    }
}

TEST_CASE("retries stay within the budget")
{
    decider_fixture node(4, 64);
    int retried = 0;
    for (int i = 0; i < 100; ++i)
    {
        node.submit(0);
        const auto* sent = node.find_action<dispatch>();
        if (sent == nullptr)
        {
            node.advance(1s);
            continue;
        }
        node.end_attempt(*sent, attempt_result::refused);
        retried += node.find_action<dispatch>() != nullptr ? 1 : 0;
    }
    CHECK(retried <= 20);
}

TEST_CASE("an account over its concurrency cap is refused while others wait")
{
    decider_fixture node(1, 4);
    for (int i = 0; i < 3; ++i)
    {
        node.submit(0, true, 0);
    }
    node.submit(0, true, 1);
    node.submit(0, true, 0);
    node.submit(0, true, 0);
    int refused = 0;
    for (int i = 0; i < 30; ++i)
    {
        node.submit(0, true, 1);
        const auto* answer = node.find_action<refuse>();
        refused += answer != nullptr && answer->reason_ == refusal::over_cap;
    }
    CHECK(refused > 20);
}

TEST_CASE("a peer's preemption request cancels an attempt of a lower tier")
{
    decider_fixture node(1, 2);
    const auto low = node.submit(1);
    node.submit(0);
    node.handle(preemption_requested{backend_index(0), tier(0)});
    REQUIRE(node.find_action<cancel_attempt>());
    CHECK(node.find_action<cancel_attempt>()->request_ == low);
    node.handle(preemption_requested{backend_index(0), tier(0)});
    CHECK_FALSE(node.find_action<cancel_attempt>());
}

TEST_CASE("the same events at the same times give the same actions")
{
    const auto trace = []
    {
        decider_fixture node(4, 2);
        std::vector<std::uint32_t> backends;
        for (int i = 0; i < 40; ++i)
        {
            node.submit(i % 2);
            if (const auto* sent = node.find_action<dispatch>())
            {
                backends.push_back(sent->backend_.value());
            }
            node.advance(20ms);
        }
        return backends;
    };
    CHECK(trace() == trace());
}

TEST_CASE("a stream that lost its engine waits for the retry budget")
{
    decider_fixture node(4, 64);
    const auto begun = node.submit(0);
    REQUIRE(node.find_action<dispatch>());
    const dispatch stream = *node.find_action<dispatch>();
    node.handle(output_received{stream.attempt_, 7});
    std::vector<dispatch> others;
    for (int i = 0; i < 20; ++i)
    {
        node.submit(0);
        REQUIRE(node.find_action<dispatch>());
        node.end_attempt(*node.find_action<dispatch>(),
                         attempt_result::refused);
        REQUIRE(node.find_action<dispatch>());
        others.push_back(*node.find_action<dispatch>());
    }
    node.end_attempt(stream, attempt_result::connection_lost);
    CHECK_FALSE(node.find_action<refuse>());
    CHECK_FALSE(node.find_action<dispatch>());
    bool resumed = false;
    for (const dispatch& other : others)
    {
        node.end_attempt(other, attempt_result::completed);
        const auto* next = node.find_action<dispatch>();
        if (next != nullptr)
        {
            resumed = true;
            CHECK(next->request_ == begun);
            CHECK(next->resume_from_ == 7);
            break;
        }
    }
    CHECK(resumed);
}

TEST_CASE("a stream doesn't wait for the retry budget without end")
{
    for (const bool caller_leaves : {false, true})
    {
        decider_fixture node(4, 64);
        const auto begun = node.submit(0);
        const dispatch stream = *node.find_action<dispatch>();
        node.handle(output_received{stream.attempt_, 7});
        for (int i = 0; i < 20; ++i)
        {
            node.submit(0);
            node.end_attempt(*node.find_action<dispatch>(),
                             attempt_result::refused);
        }
        node.end_attempt(stream, attempt_result::connection_lost);
        REQUIRE_FALSE(node.find_action<refuse>());
        if (caller_leaves)
        {
            node.handle(caller_disconnected{begun});
            CHECK(node.decider_.open_requests() == 20);
            continue;
        }
        node.advance(29s);
        CHECK_FALSE(node.find_tick_action<refuse>());
        node.advance(1500ms);
        REQUIRE(node.find_tick_action<refuse>());
        CHECK(node.find_tick_action<refuse>()->request_ == begun);
    }
}
