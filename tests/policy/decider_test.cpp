#include "policy/decider.hpp"

#include <deque>
#include <type_traits>

#include <doctest/doctest.h>

using namespace peridotspar;
using namespace peridotspar::policy;
using namespace std::chrono_literals;

namespace
{

/// A decider with a manual clock, one pool, and classes of tiers 0 and 2.
class decider_fixture
{
public:
    explicit decider_fixture(std::uint32_t p_engines = 2,
                             std::uint32_t p_slots = 1)
        : decider_(node_id("n1"), failure_domain_id("fd"), 1)
    {
        catalogue_.classes_ = {{"high", tier(0), 1800ms, 34ms, 1500ms},
                               {"low", tier(2), 5000ms, 50ms, 4000ms}};
        catalogue_.accounts_ = {{"a", 1e9, 1000, 1}, {"b", 100, 2, 1}};
        catalogue_.pools_ = {{"p", true}};
        for (std::uint32_t i = 0; i < p_engines; ++i)
        {
            catalogue_.backends_.push_back({"e" + std::to_string(i),
                                            p_slots,
                                            failure_domain_id("fd"),
                                            true,
                                            {pool_index(0)},
                                            ""});
        }
        handle(catalogue_changed{std::make_shared<catalogue>(catalogue_)});
    }

    void handle(const event& p_event)
    {
        actions_.clear();
        decider_.handle(p_event, now_, actions_);
    }

    void advance(duration p_time)
    {
        for (duration spent{0}; spent < p_time; spent += 20ms)
        {
            now_ += 20ms;
            std::vector<action> tick_actions;
            decider_.handle(clock_ticked{}, now_, tick_actions);
            tick_actions_.insert(tick_actions_.end(), tick_actions.begin(),
                                 tick_actions.end());
        }
    }

    /// Submits a request whose prompt has a part that others share.
    void submit_with_part(std::uint64_t p_part)
    {
        request wanted;
        wanted.id_ = request_id(++last_request_id_);
        wanted.account_ = account_index(0);
        wanted.class_ = class_index(0);
        wanted.pool_ = pool_index(0);
        wanted.fingerprint_ = fingerprint(1000 + last_request_id_);
        wanted.idempotent_ = false;
        wanted.suspects_ = {{quarantine::suspect_key(p_part), 1},
                            {quarantine::suspect_key(1000 + last_request_id_),
                             quarantine::whole_request}};
        handle(request_arrived{wanted});
    }

    request_id submit(std::uint32_t p_class, bool p_idempotent = true,
                      std::uint32_t p_account = 0,
                      std::uint64_t p_fingerprint = 0,
                      std::optional<duration> p_time_left = std::nullopt)
    {
        request wanted;
        wanted.id_ = request_id(++last_request_id_);
        wanted.account_ = account_index(p_account);
        wanted.class_ = class_index(p_class);
        wanted.pool_ = pool_index(0);
        wanted.fingerprint_ = fingerprint(
            p_fingerprint == 0 ? 1000 + last_request_id_ : p_fingerprint);
        wanted.idempotent_ = p_idempotent;
        if (p_time_left)
        {
            wanted.deadline_ = now_ + *p_time_left;
        }
        handle(request_arrived{wanted});
        return wanted.id_;
    }

    void end_attempt(const dispatch& p_sent, attempt_result p_result)
    {
        handle(attempt_ended{p_sent.attempt_, p_result});
    }

    template <class Kind>
    [[nodiscard]] const Kind* find_action() const
    {
        return find_in<Kind>(actions_);
    }
    template <class Kind>
    [[nodiscard]] const Kind* find_tick_action() const
    {
        return find_in<Kind>(tick_actions_);
    }

    decider decider_;
    catalogue catalogue_;
    std::vector<action> actions_;
    std::vector<action> tick_actions_;
    time_point now_{1h};

private:
    template <class Kind>
    [[nodiscard]] static const Kind*
    find_in(const std::vector<action>& p_actions)
    {
        for (const auto& wanted : p_actions)
        {
            if (const auto* found = std::get_if<Kind>(&wanted))
            {
                return found;
            }
        }
        return nullptr;
    }

    std::uint64_t last_request_id_ = 0;
};

} // namespace

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
