#include "policy/decider.hpp"

#include <deque>

#include <doctest/doctest.h>

using namespace peridotspar;
using namespace peridotspar::policy;
using namespace std::chrono_literals;

namespace
{

/// A decider on a test clock, with one pool and classes of tiers 0 and 2.
class rig
{
public:
    explicit rig(std::uint32_t p_engines = 2, std::uint32_t p_slots = 1)
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
                                            {pool_index(0)}});
        }
        tell(catalogue_changed{std::make_shared<catalogue>(catalogue_)});
    }

    void tell(const event& p_event)
    {
        actions_.clear();
        decider_.handle(p_event, now_, actions_);
    }

    void wait(duration p_time)
    {
        for (duration spent{0}; spent < p_time; spent += 20ms)
        {
            now_ += 20ms;
            std::vector<action> more;
            decider_.handle(clock_ticked{}, now_, more);
            later_.insert(later_.end(), more.begin(), more.end());
        }
    }

    request_id ask(std::uint32_t p_class, bool p_idempotent = true,
                   std::uint32_t p_account = 0, std::uint64_t p_content = 0)
    {
        request wanted;
        wanted.id_ = request_id(++last_);
        wanted.account_ = account_index(p_account);
        wanted.class_ = class_index(p_class);
        wanted.pool_ = pool_index(0);
        wanted.fingerprint_ =
            fingerprint(p_content == 0 ? 1000 + last_ : p_content);
        wanted.idempotent_ = p_idempotent;
        tell(request_arrived{wanted});
        return wanted.id_;
    }

    void end(const dispatch& p_sent, attempt_result p_result)
    {
        tell(attempt_ended{p_sent.attempt_, p_result});
    }

    template <class Kind>
    [[nodiscard]] const Kind* find() const
    {
        return find_in<Kind>(actions_);
    }
    template <class Kind>
    [[nodiscard]] const Kind* find_later() const
    {
        return find_in<Kind>(later_);
    }

    decider decider_;
    catalogue catalogue_;
    std::vector<action> actions_;
    std::vector<action> later_;
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

    std::uint64_t last_ = 0;
};

} // namespace

TEST_CASE("a request goes to an engine with room and completes")
{
    rig r;
    const auto id = r.ask(0);
    REQUIRE(r.find<dispatch>());
    const dispatch sent = *r.find<dispatch>();
    CHECK(sent.request_ == id);
    CHECK(sent.resume_from_ == 0);
    r.tell(output_received{sent.attempt_, 1});
    r.end(sent, attempt_result::completed);
    REQUIRE(r.find<complete>());
    CHECK(r.decider_.open_requests() == 0);
}

TEST_CASE("a higher tier preempts a lower one, which resumes where it was")
{
    rig r(1);
    const auto low = r.ask(1);
    const dispatch first = *r.find<dispatch>();
    r.tell(output_received{first.attempt_, 7});
    r.ask(0);
    REQUIRE(r.find<abandon>());
    CHECK(r.find<abandon>()->request_ == low);
    REQUIRE(r.find<dispatch>());
    r.end(*r.find<dispatch>(), attempt_result::completed);
    REQUIRE(r.find<dispatch>());
    CHECK(r.find<dispatch>()->request_ == low);
    CHECK(r.find<dispatch>()->resume_from_ == 7);
}

TEST_CASE("what must not repeat is neither preempted nor tried again")
{
    rig r(1);
    r.ask(1, false);
    const dispatch sent = *r.find<dispatch>();
    r.ask(0);
    CHECK_FALSE(r.find<abandon>());
    r.end(sent, attempt_result::broken);
    REQUIRE(r.find<refuse>());
    CHECK(r.find<refuse>()->verdict_ == verdict::may_have_run);
    CHECK(r.find<refuse>()->reason_ == refusal::backend_failed);
}

TEST_CASE("an unsent request that must not repeat is tried elsewhere")
{
    rig r(2);
    r.ask(1, false);
    const dispatch sent = *r.find<dispatch>();
    r.end(sent, attempt_result::unsent);
    REQUIRE(r.find<dispatch>());
    CHECK(r.find<dispatch>()->backend_ != sent.backend_);
}

TEST_CASE("a late answer of an abandoned attempt changes nothing")
{
    rig r(1);
    r.ask(1);
    const dispatch old = *r.find<dispatch>();
    r.ask(0);
    r.end(old, attempt_result::completed);
    CHECK(r.actions_.empty());
    r.tell(output_received{old.attempt_, 5});
    CHECK(r.actions_.empty());
}

TEST_CASE("a request is refused at once when no backend server takes work")
{
    rig r(1);
    r.tell(backend_admission_changed{backend_index(0), false});
    r.ask(0);
    REQUIRE(r.find<refuse>());
    CHECK(r.find<refuse>()->reason_ == refusal::no_backend);
    CHECK(r.find<refuse>()->verdict_ == verdict::not_run);
    CHECK(r.find<refuse>()->retry_after_ > duration(0));
}

TEST_CASE("what can't be served in time is refused at once, not held")
{
    rig r(1);
    r.ask(0);
    dispatch sent = *r.find<dispatch>();
    r.wait(1s);
    r.end(sent, attempt_result::completed);
    r.ask(0);
    int refused = 0;
    for (int i = 0; i < 10; ++i)
    {
        r.ask(0);
        if (const auto* answer = r.find<refuse>())
        {
            ++refused;
            CHECK(answer->reason_ == refusal::overloaded);
            CHECK(answer->retry_after_ >= 1s);
        }
    }
    // A second of service each and 1.5 s of patience leave room for one.
    CHECK(refused >= 8);
}

TEST_CASE("a lower tier that waits gets the minimum share under overload")
{
    rig r(1, 8);
    std::deque<dispatch> running;
    const auto collect = [&]
    {
        if (const auto* sent = r.find<dispatch>())
        {
            running.push_back(*sent);
        }
    };
    for (int i = 0; i < 12; ++i)
    {
        r.ask(0);
        collect();
    }
    const auto low = r.ask(1);
    bool served = false;
    // Tier 0 always waits; a slot comes free every 50 ms.
    for (int i = 0; i < 80 && !served; ++i)
    {
        r.wait(50ms);
        const dispatch oldest = running.front();
        running.pop_front();
        r.end(oldest, attempt_result::completed);
        collect();
        served = !running.empty() && running.back().request_ == low;
        r.ask(0);
        collect();
    }
    CHECK(served);
    CHECK(running.back().reserved_);
}

TEST_CASE("a caller that hangs up cancels its engine's work")
{
    rig r(1);
    const auto id = r.ask(0);
    r.tell(caller_gone{id});
    REQUIRE(r.find<abandon>());
    CHECK(r.find<abandon>()->reason_ == abandon_reason::caller_gone);
    CHECK(r.decider_.open_requests() == 0);
}

TEST_CASE("the request of two crashes is refused, also at a peer")
{
    rig r(3, 4);
    r.ask(0, true, 0, 77);
    r.end(*r.find<dispatch>(), attempt_result::broken);
    REQUIRE(r.find<dispatch>());
    r.wait(600ms);
    const dispatch second{request_id(1), attempt_id(2), backend_index(0),
                          tier(0)};
    r.tell(attempt_ended{second.attempt_, attempt_result::broken});
    REQUIRE(r.find<refuse>());
    CHECK(r.find<refuse>()->reason_ == refusal::quarantined);
    r.ask(0, true, 0, 77);
    REQUIRE(r.find<refuse>());
    CHECK(r.find<refuse>()->verdict_ == verdict::not_run);
    r.later_.clear();
    r.wait(500ms);
    REQUIRE(r.find_later<publish_digest>());
    rig peer(3, 4);
    digest heard = r.find_later<publish_digest>()->digest_;
    heard.from_ = node_id("n2");
    peer.tell(digest_received{heard});
    peer.ask(0, true, 0, 77);
    REQUIRE(peer.find<refuse>());
    CHECK(peer.find<refuse>()->reason_ == refusal::quarantined);
}

TEST_CASE("retries stay inside the budget")
{
    rig r(4, 64);
    int tried_again = 0;
    for (int i = 0; i < 100; ++i)
    {
        r.ask(0);
        const auto* sent = r.find<dispatch>();
        if (sent == nullptr)
        {
            r.wait(1s);
            continue;
        }
        r.end(*sent, attempt_result::refused);
        tried_again += r.find<dispatch>() != nullptr ? 1 : 0;
    }
    CHECK(tried_again <= 20);
}

TEST_CASE("an account beyond its concurrent cap is refused while others wait")
{
    rig r(1, 4);
    for (int i = 0; i < 3; ++i)
    {
        r.ask(0, true, 0);
    }
    r.ask(0, true, 1);
    r.ask(0, true, 0);
    r.ask(0, true, 0);
    int refused = 0;
    for (int i = 0; i < 30; ++i)
    {
        r.ask(0, true, 1);
        const auto* answer = r.find<refuse>();
        refused += answer != nullptr && answer->reason_ == refusal::over_cap;
    }
    CHECK(refused > 20);
}

TEST_CASE("a peer that asks for room gets a lower tier's slot")
{
    rig r(1, 2);
    const auto low = r.ask(1);
    r.ask(0);
    r.tell(yield_asked{backend_index(0), tier(0)});
    REQUIRE(r.find<abandon>());
    CHECK(r.find<abandon>()->request_ == low);
    r.tell(yield_asked{backend_index(0), tier(0)});
    CHECK_FALSE(r.find<abandon>());
}

TEST_CASE("the same events at the same times give the same actions")
{
    const auto trace = []
    {
        rig r(4, 2);
        std::vector<std::uint32_t> backends;
        for (int i = 0; i < 40; ++i)
        {
            r.ask(i % 2);
            if (const auto* sent = r.find<dispatch>())
            {
                backends.push_back(sent->backend_.value());
            }
            r.wait(20ms);
        }
        return backends;
    };
    CHECK(trace() == trace());
}
