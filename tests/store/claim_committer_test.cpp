#include "core/text.hpp"
#include "store/claim_committer.hpp"
#include "tests/fakes/fake_store.hpp"

#include <atomic>
#include <future>
#include <random>
#include <thread>
#include <vector>

#include <doctest/doctest.h>

using namespace peridotspar;

namespace
{

using kind = claim_result::kind;

claim_location location_of(const std::string& p_key)
{
    return *locate_claim("shop", p_key);
}

void wait_for_pending_writes(const claim_committer<fake_store>& p_claims)
{
    for (int i = 0; i < 200 && p_claims.pending_writes() > 0; ++i)
    {
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    CHECK(p_claims.pending_writes() == 0);
}

} // namespace

TEST_CASE("a key is granted only once, whichever node requests it")
{
    fake_store store;
    claim_committer first(store, 2);
    claim_committer second(store, 2);
    const auto location = location_of(make_uuid7());
    CHECK(first.claim(location, "nonce-1", "body").kind_ == kind::granted);
    const auto repeated = second.claim(location, "nonce-2", "body");
    CHECK(repeated.kind_ == kind::taken);
    CHECK(repeated.record_.nonce_ == "nonce-1");
    CHECK_FALSE(repeated.record_.response_);
    // The same attempt may claim again, as it does after an unsent request.
    CHECK(first.claim(location, "nonce-1", "body").kind_ == kind::granted);
}

TEST_CASE("a recorded response is returned for a resend")
{
    fake_store store;
    claim_committer claims(store, 2);
    const auto location = location_of(make_uuid7());
    REQUIRE(claims.claim(location, "a", "body").kind_ == kind::granted);
    claims.finish(location, "a", {200, "text/plain", "done"});
    wait_for_pending_writes(claims);
    claim_committer other(store, 1);
    const auto repeated = other.claim(location, "b", "body");
    REQUIRE(repeated.record_.response_);
    CHECK(repeated.record_.response_->body_ == "done");
}

TEST_CASE(
    "a write whose response is lost is resolved by reading the segment back")
{
    for (const auto lost :
         {fake_store::fault::lost_response, fake_store::fault::lost_request})
    {
        fake_store store;
        int writes = 0;
        store.next_fault_ = [&](bool p_write)
        { return p_write && writes++ == 0 ? lost : fake_store::fault::none; };
        claim_committer claims(store, 1);
        const auto location = location_of(make_uuid7());
        CHECK(claims.claim(location, "mine", "body").kind_ == kind::granted);
        CHECK(claims.claim(location, "other", "body").kind_ == kind::taken);
    }
}

TEST_CASE("a claim fails and stores nothing while the store is unavailable")
{
    fake_store store;
    bool down = true;
    store.next_fault_ = [&](bool)
    { return down ? fake_store::fault::unavailable : fake_store::fault::none; };
    claim_committer claims(store, 1);
    const auto location = location_of(make_uuid7());
    CHECK(claims.claim(location, "a", "body").kind_ == kind::unavailable);
    down = false;
    CHECK(claims.claim(location, "b", "body").kind_ == kind::granted);
}

TEST_CASE("a claim with an unknown outcome is released once the store recovers")
{
    fake_store store;
    std::atomic<int> stage{0};
    store.next_fault_ = [&](bool p_write)
    {
        if (stage == 0 && p_write)
        {
            stage = 1;
            return fake_store::fault::lost_response;
        }
        return stage == 1 ? fake_store::fault::unavailable
                          : fake_store::fault::none;
    };
    claim_committer claims(store, 1);
    const auto location = location_of(make_uuid7());
    // The claim is stored, but the node cannot know this and reports the
    // request as not run.
    CHECK(claims.claim(location, "a", "body").kind_ == kind::unavailable);
    stage = 2;
    wait_for_pending_writes(claims);
    CHECK(claims.claim(location, "b", "body").kind_ == kind::granted);
}

TEST_CASE("stop returns in time while the store is down, and finishes nothing")
{
    fake_store store;
    std::atomic<bool> down{false};
    store.next_fault_ = [&](bool)
    { return down ? fake_store::fault::unavailable : fake_store::fault::none; };
    claim_committer claims(store, 2);
    const auto location = location_of(make_uuid7());
    REQUIRE(claims.claim(location, "a", "body").kind_ == kind::granted);
    down = true;
    claims.finish(location, "a", {200, "text/plain", "done"});
    auto stopped = std::async(std::launch::async, [&] { claims.stop(); });
    CHECK(stopped.wait_for(std::chrono::seconds(4)) ==
          std::future_status::ready);
    // The write is still counted as pending, also if it comes after the stop.
    CHECK(claims.pending_writes() == 1);
    down = false;
    stopped.wait();
    claims.finish(location, "a", {200, "text/plain", "done"});
    CHECK(claims.pending_writes() == 2);
    CHECK(claims.claim(location, "a", "body").kind_ == kind::unavailable);
    // A resend is told that the outcome isn't known.
    claim_committer other(store, 1);
    const auto repeated = other.claim(location, "b", "body");
    CHECK(repeated.kind_ == kind::taken);
    CHECK(repeated.record_.nonce_ == "a");
    CHECK_FALSE(repeated.record_.response_);
}

TEST_CASE("stop writes what is queued if the store recovers in time")
{
    fake_store store;
    std::atomic<int> failures{0};
    std::atomic<bool> down{false};
    store.next_fault_ = [&](bool)
    {
        if (!down)
        {
            return fake_store::fault::none;
        }
        ++failures;
        return fake_store::fault::unavailable;
    };
    claim_committer claims(store, 1);
    const auto location = location_of(make_uuid7());
    REQUIRE(claims.claim(location, "a", "body").kind_ == kind::granted);
    down = true;
    claims.finish(location, "a", {200, "text/plain", "done"});
    auto stopped = std::async(std::launch::async, [&] { claims.stop(); });
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    down = false;
    stopped.wait();
    // Failed writes are repeated after a delay, also during a stop.
    CHECK(failures <= 10);
    CHECK(claims.pending_writes() == 0);
    claim_committer other(store, 1);
    const auto repeated = other.claim(location, "b", "body");
    REQUIRE(repeated.record_.response_);
    CHECK(repeated.record_.response_->body_ == "done");
}

TEST_CASE("concurrent claims on one segment share writes")
{
    fake_store store;
    claim_committer claims(store, 2);
    constexpr int count = 64;
    const std::string key = make_uuid7();
    std::vector<std::thread> callers;
    std::atomic<int> granted{0};
    // All claims use one object, so they are written to the same segment.
    const std::string object = location_of(key).object_;
    for (int i = 0; i < count; ++i)
    {
        callers.emplace_back(
            [&, i]
            {
                const claim_location location{object,
                                              "entry-" + std::to_string(i)};
                const auto result =
                    claims.claim(location, std::to_string(i), "body");
                granted += result.kind_ == kind::granted ? 1 : 0;
            });
    }
    for (auto& caller : callers)
    {
        caller.join();
    }
    CHECK(granted == count);
    CHECK(store.puts_ <= count);
}

TEST_CASE(
    "two nodes claiming concurrently under random faults never both get a key")
{
    for (unsigned seed = 1; seed <= 20; ++seed)
    {
        CAPTURE(seed);
        std::mt19937 random(seed);
        std::mutex random_mutex;
        fake_store store;
        store.next_fault_ = [&](bool p_write)
        {
            std::lock_guard lock(random_mutex);
            const auto draw = random() % 10;
            if (!p_write)
            {
                return draw == 0 ? fake_store::fault::unavailable
                                 : fake_store::fault::none;
            }
            return draw == 0   ? fake_store::fault::lost_response
                   : draw == 1 ? fake_store::fault::lost_request
                   : draw == 2 ? fake_store::fault::unavailable
                               : fake_store::fault::none;
        };
        claim_committer first(store, 1);
        claim_committer second(store, 1);
        for (int i = 0; i < 10; ++i)
        {
            const auto location = location_of(make_uuid7());
            claim_result first_result;
            claim_result second_result;
            std::thread first_caller(
                [&] { first_result = first.claim(location, "l", "body"); });
            second_result = second.claim(location, "r", "body");
            first_caller.join();
            const int granted = (first_result.kind_ == kind::granted ? 1 : 0) +
                                (second_result.kind_ == kind::granted ? 1 : 0);
            CHECK(granted <= 1);
        }
        store.next_fault_ = nullptr;
    }
}
