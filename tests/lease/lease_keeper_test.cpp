#include "lease/lease_keeper.hpp"

#include <optional>
#include <string>
#include <utility>

#include <doctest/doctest.h>

using namespace peridotspar;
using namespace std::chrono_literals;

namespace
{

using call_kind = lease_call::kind;
using answer_kind = lease_answer::kind;

constexpr duration lifetime = 3s;
constexpr duration margin = 200ms;
constexpr std::uint64_t unix_s = 500;

lease_options options()
{
    lease_options result;
    result.node_ = "a";
    result.run_ = "a/1";
    result.lifetime_ = lifetime;
    result.margin_ = margin;
    result.poll_interval_ = 1s;
    result.renew_interval_ = 1s;
    return result;
}

/// The record of another holder.
lease_record held_by_b()
{
    return {"b", "b/1", 1000, 7, {}, "of b"};
}

lease_record released_by_b()
{
    return {"", "b/1", 1000, 8, {"b"}, "of b"};
}

/// A keeper and a clock; the test answers its calls.
struct driver
{
    explicit driver(bool p_candidate = true)
    {
        keeper_.set_candidate(p_candidate);
    }
    std::optional<lease_call> next() { return keeper_.next(now_, unix_s); }
    /// Lets time pass until the next call, which has to come within the time.
    lease_call wait_for(call_kind p_kind, duration p_time)
    {
        const time_point end = now_ + p_time;
        auto call = next();
        for (; !call && now_ < end; call = next())
        {
            now_ += 10ms;
        }
        REQUIRE(call);
        REQUIRE(call->kind_ == p_kind);
        return *call;
    }
    lease_call expect(call_kind p_kind) { return wait_for(p_kind, 0s); }
    void answer(const lease_call& p_call, answer_kind p_kind,
                std::uint64_t p_revision = 0,
                std::optional<lease_record> p_record = {})
    {
        keeper_.on_answer(p_call.id_, {p_kind, p_revision, std::move(p_record)},
                          now_);
    }
    /// Answers reads with a record until the time has passed. Other calls fail
    /// the test.
    void follow(const lease_record& p_record, std::uint64_t p_revision,
                duration p_time)
    {
        for (const time_point end = now_ + p_time; now_ < end; now_ += 10ms)
        {
            if (const auto call = next())
            {
                REQUIRE(call->kind_ == call_kind::read);
                answer(*call, answer_kind::found, p_revision, p_record);
            }
        }
    }
    /// Follows b, who renews up to revision 10, for longer than all waits that
    /// begin with the start of the process.
    lease_record follow_renewals()
    {
        lease_record record = held_by_b();
        for (std::uint64_t revision = 6; revision <= 10; ++revision)
        {
            ++record.renewals_;
            follow(record, revision, 1s);
        }
        return record;
    }
    /// Follows b's record at revision 10 until the takeover is sent.
    lease_call send_takeover()
    {
        follow(held_by_b(), 10, 2900ms);
        return await_takeover(held_by_b(), 10);
    }
    /// Answers reads with a record until the takeover is sent, at most 1 s.
    lease_call await_takeover(const lease_record& p_record,
                              std::uint64_t p_revision)
    {
        auto call = next();
        for (const time_point end = now_ + 1s; now_ < end; call = next())
        {
            if (call && call->kind_ != call_kind::read)
            {
                break;
            }
            if (call)
            {
                answer(*call, answer_kind::found, p_revision, p_record);
                continue;
            }
            now_ += 10ms;
        }
        REQUIRE(call);
        REQUIRE(call->kind_ == call_kind::replace);
        return *call;
    }
    /// Takes over from b, with revision 11; returns the own record.
    lease_record take_over()
    {
        const lease_call call = send_takeover();
        answer(call, answer_kind::written, 11);
        REQUIRE(keeper_.may_act(now_));
        return call.record_;
    }

    lease_keeper keeper_{options()};
    time_point now_{1000s};
};

} // namespace

TEST_CASE("a node that is no candidate calls nothing and cannot act")
{
    driver d(false);
    for (int i = 0; i < 500; ++i)
    {
        d.now_ += 20ms;
        CHECK_FALSE(d.next());
    }
    CHECK(d.keeper_.state() == lease_state::idle);
    CHECK_FALSE(d.keeper_.may_act(d.now_));
    CHECK(d.keeper_.token() == 0);
}

TEST_CASE("only one call is in flight")
{
    driver d;
    const lease_call call = d.expect(call_kind::read);
    d.now_ += 100s;
    CHECK_FALSE(d.next());
    // An answer to another call doesn't count.
    d.keeper_.on_answer(call.id_ + 1, {answer_kind::failed, 0, {}}, d.now_);
    CHECK_FALSE(d.next());
    d.answer(call, answer_kind::failed);
    d.wait_for(call_kind::read, 1s);
}

// Guards against an overlap with a holder whose last write was sent just
// before this node first saw it.
TEST_CASE("a record is taken over once it was unchanged for the lifetime")
{
    driver d;
    const lease_call read = d.expect(call_kind::read);
    d.now_ += 500ms;
    const time_point seen_at = d.now_;
    d.answer(read, answer_kind::found, 10, held_by_b());
    const lease_call call = d.send_takeover();
    CHECK(d.now_ >= seen_at + lifetime);
    CHECK(d.now_ < seen_at + lifetime + 100ms);
    CHECK(call.revision_ == 10);
    CHECK(call.record_.holder_ == "a");
    CHECK(call.record_.run_ == "a/1");
    CHECK(call.record_.recent_ == std::vector<std::string>{"b"});
    CHECK(call.record_.payload_ == "of b");
    CHECK(call.record_.renewals_ != held_by_b().renewals_);
}

TEST_CASE("each change of the record starts the wait again")
{
    driver d;
    lease_record record = held_by_b();
    for (std::uint64_t revision = 10; revision < 20; ++revision)
    {
        ++record.renewals_;
        d.follow(record, revision, 1900ms);
    }
    CHECK(d.keeper_.state() == lease_state::following);
}

TEST_CASE("the token exceeds the record's, the peers' and the time")
{
    SUBCASE("record")
    {
        driver d;
        CHECK(d.take_over().token_ == 1001);
        CHECK(d.keeper_.token() == 1001);
    }
    SUBCASE("peers")
    {
        driver d;
        d.keeper_.set_known_token(2000);
        d.keeper_.set_known_token(1500);
        CHECK(d.take_over().token_ == 2001);
    }
    SUBCASE("time")
    {
        driver d;
        lease_record record = held_by_b();
        record.token_ = 3;
        d.follow(record, 10, lifetime);
        CHECK(d.wait_for(call_kind::replace, 1s).record_.token_ == unix_s);
    }
    SUBCASE("garbage from a peer")
    {
        driver d;
        d.keeper_.set_known_token(~std::uint64_t{0});
        CHECK(d.take_over().token_ == 1001);
    }
}

// Guards against counting from the answer: others count from when they see the
// write, which may be long before its answer arrives.
TEST_CASE("the lease runs from the sending of the confirmed write")
{
    driver d;
    const lease_call call = d.send_takeover();
    const time_point sent_at = d.now_;
    d.now_ += 2s;
    CHECK_FALSE(d.keeper_.may_act(d.now_));
    d.answer(call, answer_kind::written, 11);
    CHECK(d.keeper_.may_act(d.now_));
    CHECK(d.keeper_.acts_until() == sent_at + lifetime);
    CHECK(d.keeper_.may_act(sent_at + lifetime - margin));
    CHECK_FALSE(d.keeper_.may_act(sent_at + lifetime - margin + 1us));
    CHECK(d.keeper_.holds(sent_at + lifetime - 1us));
    CHECK_FALSE(d.keeper_.holds(sent_at + lifetime));
}

TEST_CASE("a takeover that is confirmed after its lifetime permits nothing")
{
    driver d;
    const lease_call call = d.send_takeover();
    d.now_ += lifetime;
    d.answer(call, answer_kind::written, 11);
    CHECK_FALSE(d.keeper_.may_act(d.now_));
    CHECK(d.keeper_.token() == 0);
    CHECK(d.keeper_.payload_in_store().empty());
    CHECK(d.keeper_.state() == lease_state::confirming);
}

// Guards against a holder that was suspended and acts on its way to the next
// tick, or on the answer to a renewal from before.
TEST_CASE("a suspended holder cannot act, also with a late confirmation")
{
    driver d;
    const lease_record own = d.take_over();
    const lease_call renewal = d.wait_for(call_kind::replace, 2s);
    d.now_ += 5s;
    CHECK_FALSE(d.keeper_.may_act(d.now_));
    d.answer(renewal, answer_kind::written, 12);
    CHECK_FALSE(d.keeper_.may_act(d.now_));
    CHECK(d.keeper_.token() == 0);
    const lease_call read = d.expect(call_kind::read);
    SUBCASE("the record is still its own")
    {
        d.answer(read, answer_kind::found, 12, renewal.record_);
        CHECK_FALSE(d.keeper_.may_act(d.now_));
        const lease_call write = d.expect(call_kind::replace);
        CHECK(write.revision_ == 12);
        d.answer(write, answer_kind::written, 13);
        CHECK(d.keeper_.may_act(d.now_));
        CHECK(d.keeper_.token() == own.token_);
    }
    SUBCASE("another node took over")
    {
        d.answer(read, answer_kind::found, 13, held_by_b());
        CHECK_FALSE(d.keeper_.may_act(d.now_));
        CHECK(d.keeper_.state() == lease_state::following);
        d.follow(held_by_b(), 13, 2900ms);
    }
}

TEST_CASE("the holder renews on its last revision at the renewal interval")
{
    driver d;
    const lease_record own = d.take_over();
    const time_point acquired_at = d.now_;
    const lease_call renewal = d.wait_for(call_kind::replace, 2s);
    CHECK(d.now_ - acquired_at == 1s);
    CHECK(renewal.revision_ == 11);
    CHECK(renewal.record_.token_ == own.token_);
    CHECK(renewal.record_.renewals_ > own.renewals_);
    d.answer(renewal, answer_kind::written, 12);
    CHECK(d.keeper_.acts_until() == d.now_ + lifetime);
    CHECK(d.wait_for(call_kind::replace, 2s).revision_ == 12);
}

TEST_CASE("a renewal that failed is sent again before the lease expires")
{
    driver d;
    (void)d.take_over();
    const lease_call renewal = d.wait_for(call_kind::replace, 2s);
    d.answer(renewal, answer_kind::failed);
    CHECK_FALSE(d.next());
    CHECK(d.keeper_.may_act(d.now_));
    CHECK(d.wait_for(call_kind::replace, 300ms).revision_ == 11);
}

TEST_CASE("a node with an unknown result reads before anything else")
{
    driver d;
    const lease_call call = d.send_takeover();
    const time_point sent_at = d.now_;
    d.now_ += 1s;
    d.answer(call, answer_kind::unknown);
    CHECK_FALSE(d.keeper_.may_act(d.now_));
    CHECK(d.keeper_.state() == lease_state::acquiring);
    const lease_call failed = d.expect(call_kind::read);
    d.answer(failed, answer_kind::failed);
    const lease_call read = d.wait_for(call_kind::read, 300ms);
    SUBCASE("it was done: the lease runs from the sending")
    {
        d.answer(read, answer_kind::found, 11, call.record_);
        CHECK(d.keeper_.may_act(d.now_));
        CHECK(d.keeper_.acts_until() == sent_at + lifetime);
    }
    SUBCASE("it was done by another process of this node")
    {
        lease_record other = call.record_;
        other.run_ = "a/0";
        d.answer(read, answer_kind::found, 11, other);
        CHECK_FALSE(d.keeper_.may_act(d.now_));
        d.follow(other, 11, 2900ms);
    }
    SUBCASE("another write of this process was done")
    {
        lease_record other = call.record_;
        ++other.renewals_;
        d.answer(read, answer_kind::found, 11, other);
        CHECK_FALSE(d.keeper_.may_act(d.now_));
        d.follow(other, 11, 2900ms);
    }
    SUBCASE("it isn't done yet: the next write differs, either may be done")
    {
        d.answer(read, answer_kind::found, 10, held_by_b());
        const lease_call second = d.wait_for(call_kind::replace, 300ms);
        CHECK(second.revision_ == 10);
        CHECK(second.record_.renewals_ != call.record_.renewals_);
        d.answer(second, answer_kind::conflict, 11, call.record_);
        CHECK(d.keeper_.holds(d.now_));
        CHECK(d.keeper_.acts_until() == sent_at + lifetime);
    }
}

// Guards against acting on a write that is done long after it was given up.
TEST_CASE("a late write of an earlier call is a change of the record")
{
    driver d;
    const lease_call call = d.send_takeover();
    d.answer(call, answer_kind::unknown);
    d.answer(d.expect(call_kind::read), answer_kind::found, 12,
             []
             {
                 lease_record record = held_by_b();
                 ++record.renewals_;
                 return record;
             }());
    // Revision 12 shows that the condition on 10 cannot hold any more.
    d.answer(d.wait_for(call_kind::read, 1s), answer_kind::found, 13,
             call.record_);
    CHECK_FALSE(d.keeper_.may_act(d.now_));
    d.follow(call.record_, 13, 2900ms);
}

TEST_CASE("a conflict without a record is read back")
{
    driver d;
    (void)d.take_over();
    const lease_call renewal = d.wait_for(call_kind::replace, 2s);
    d.answer(renewal, answer_kind::conflict);
    const lease_call read = d.expect(call_kind::read);
    SUBCASE("the renewal was done and sent twice on the way")
    {
        d.answer(read, answer_kind::found, 12, renewal.record_);
        CHECK(d.keeper_.may_act(d.now_));
    }
    SUBCASE("another node holds the lease")
    {
        lease_record other = held_by_b();
        other.token_ = 1002;
        d.answer(read, answer_kind::found, 12, other);
        CHECK_FALSE(d.keeper_.may_act(d.now_));
        CHECK(d.keeper_.token() == 0);
    }
}

TEST_CASE("a released record is taken over at once")
{
    driver d;
    (void)d.follow_renewals();
    const lease_call read = d.wait_for(call_kind::read, 1s);
    d.answer(read, answer_kind::found, 12, released_by_b());
    const lease_call call = d.expect(call_kind::replace);
    CHECK(call.revision_ == 12);
    CHECK(call.record_.token_ == 1001);
    CHECK(call.record_.recent_ == std::vector<std::string>{"b"});
}

// Guards against A, B, A within the lifetime.
TEST_CASE("a recent holder waits for the lifetime, but isn't shut out")
{
    driver d;
    (void)d.follow_renewals();
    lease_record released = released_by_b();
    released.recent_ = {"a", "b"};
    const lease_call read = d.wait_for(call_kind::read, 1s);
    const time_point seen_at = d.now_;
    d.answer(read, answer_kind::found, 12, released);
    d.follow(released, 12, 2900ms);
    const lease_call call = d.await_takeover(released, 12);
    CHECK(d.now_ >= seen_at + lifetime);
    CHECK(d.now_ < seen_at + lifetime + 100ms);
    CHECK(call.record_.recent_ == std::vector<std::string>{"b"});
}

// Guards against a quick takeover while the last holder still acts: the record
// is from before a store reset, or this process doesn't know the history.
TEST_CASE("a released record is not taken over at once on these grounds")
{
    driver d;
    SUBCASE("this process has just started")
    {
        d.follow(released_by_b(), 12, 2900ms);
    }
    SUBCASE("a peer named a higher token")
    {
        (void)d.follow_renewals();
        d.keeper_.set_known_token(1001);
        d.follow(released_by_b(), 12, 2900ms);
    }
    SUBCASE("the store was reset")
    {
        (void)d.follow_renewals();
        d.keeper_.on_store_reset();
        d.follow(released_by_b(), 12, 2900ms);
    }
    SUBCASE("the revision shows that the store was reset")
    {
        (void)d.follow_renewals();
        d.follow(released_by_b(), 8, 2900ms);
    }
    SUBCASE("this process lost the lease itself")
    {
        (void)d.take_over();
        lease_record other = released_by_b();
        other.token_ = 1002;
        d.answer(d.wait_for(call_kind::replace, 2s), answer_kind::conflict, 12,
                 other);
        d.follow(other, 12, 2900ms);
    }
}

// Guards against two creations and a removal that no reading notices.
TEST_CASE("an absent record is replaced by a marker, then taken over")
{
    driver d;
    d.answer(d.expect(call_kind::read), answer_kind::absent);
    const lease_call create = d.expect(call_kind::create);
    CHECK(create.record_.holder_.empty());
    d.answer(create, answer_kind::written, 1);
    CHECK_FALSE(d.keeper_.may_act(d.now_));
    d.follow(create.record_, 1, 2900ms);
    CHECK(d.await_takeover(create.record_, 1).record_.token_ == unix_s);
}

TEST_CASE("a holder whose record is gone stops and keeps token and payload")
{
    driver d;
    const lease_record own = d.take_over();
    const lease_call renewal = d.wait_for(call_kind::replace, 2s);
    d.answer(renewal, answer_kind::absent);
    CHECK_FALSE(d.keeper_.may_act(d.now_));
    const lease_call create = d.expect(call_kind::create);
    CHECK(create.record_.payload_ == "of b");
    d.answer(create, answer_kind::written, 13);
    d.follow(create.record_, 13, 2900ms);
    d.now_ += 1s;
    d.answer(d.expect(call_kind::replace), answer_kind::written, 14);
    CHECK(d.keeper_.token() > own.token_);
    CHECK(d.keeper_.payload_in_store() == "of b");
}

TEST_CASE("after a store reset the holder acts only with a confirmed write")
{
    driver d;
    const lease_record own = d.take_over();
    d.keeper_.on_store_reset();
    CHECK_FALSE(d.keeper_.may_act(d.now_));
    CHECK(d.keeper_.token() == 0);
    CHECK(d.keeper_.payload_in_store().empty());
    CHECK(d.keeper_.state() == lease_state::confirming);
    const lease_call read = d.expect(call_kind::read);
    SUBCASE("its lease is valid: it replaces the older copy")
    {
        d.answer(read, answer_kind::found, 5, released_by_b());
        CHECK_FALSE(d.keeper_.may_act(d.now_));
        const lease_call write = d.expect(call_kind::replace);
        CHECK(write.revision_ == 5);
        CHECK(write.record_.token_ == own.token_);
        d.answer(write, answer_kind::written, 6);
        CHECK(d.keeper_.may_act(d.now_));
        CHECK(d.keeper_.payload_in_store() == "of b");
    }
    SUBCASE("its lease has expired: it waits like the others")
    {
        d.now_ += lifetime;
        d.answer(read, answer_kind::found, 5, released_by_b());
        d.follow(released_by_b(), 5, 2900ms);
    }
    SUBCASE("a newer holder is known to the store")
    {
        lease_record newer = held_by_b();
        newer.token_ = own.token_ + 1;
        d.answer(read, answer_kind::found, 5, newer);
        CHECK(d.keeper_.state() == lease_state::following);
        d.follow(newer, 5, 2900ms);
    }
}

// Guards against a former holder that replaces the older copy although its
// release was done before the reset and another node has taken over.
TEST_CASE("a store reset after a release with unknown result ends the lease")
{
    driver d;
    const lease_record own = d.take_over();
    d.keeper_.set_candidate(false);
    const lease_call release = d.expect(call_kind::replace);
    d.answer(release, answer_kind::unknown);
    d.keeper_.set_candidate(true);
    d.keeper_.on_store_reset();
    d.answer(d.expect(call_kind::read), answer_kind::found, 11, own);
    CHECK_FALSE(d.keeper_.may_act(d.now_));
    d.follow(own, 11, 2900ms);
    CHECK(d.keeper_.token() == 0);
}

// Guards against a write that was confirmed by the store before the reset.
TEST_CASE("an answer to a call from before the store reset doesn't count")
{
    driver d;
    const lease_call call = d.send_takeover();
    d.keeper_.on_store_reset();
    d.answer(call, answer_kind::written, 11);
    CHECK_FALSE(d.keeper_.may_act(d.now_));
    // The write may also be done late, over another holder's record.
    d.answer(d.expect(call_kind::read), answer_kind::found, 11, call.record_);
    CHECK_FALSE(d.keeper_.may_act(d.now_));
    d.follow(call.record_, 11, 2900ms);
}

// Guards against a late write on a revision that was given out again, over the
// record of another holder.
TEST_CASE("a write from before the store reset isn't confirmed by a read")
{
    driver d;
    const lease_call call = d.send_takeover();
    d.answer(call, answer_kind::unknown);
    d.keeper_.on_store_reset();
    d.answer(d.expect(call_kind::read), answer_kind::found, 11, call.record_);
    CHECK_FALSE(d.keeper_.may_act(d.now_));
    d.follow(call.record_, 11, 2900ms);
}

TEST_CASE("a payload is written at once and claimed only when confirmed")
{
    driver d;
    (void)d.take_over();
    CHECK(d.keeper_.payload_in_store() == "of b");
    d.now_ += 100ms;
    CHECK_FALSE(d.next());
    d.keeper_.set_payload("first");
    const lease_call first = d.expect(call_kind::replace);
    CHECK(first.record_.payload_ == "first");
    CHECK(d.keeper_.payload_in_store() == "of b");
    SUBCASE("written")
    {
        d.answer(first, answer_kind::written, 12);
        CHECK(d.keeper_.payload_in_store() == "first");
        d.keeper_.set_payload("first");
        CHECK_FALSE(d.next());
    }
    SUBCASE("a newer payload follows the one in flight")
    {
        d.keeper_.set_payload("second");
        d.answer(first, answer_kind::written, 12);
        CHECK(d.keeper_.payload_in_store() == "first");
        CHECK(d.expect(call_kind::replace).record_.payload_ == "second");
    }
    SUBCASE("unknown, then read back")
    {
        d.keeper_.set_payload("second");
        d.answer(first, answer_kind::unknown);
        CHECK(d.keeper_.payload_in_store() == "of b");
        d.answer(d.expect(call_kind::read), answer_kind::found, 12,
                 first.record_);
        CHECK(d.keeper_.payload_in_store() == "first");
        CHECK(d.wait_for(call_kind::replace, 300ms).record_.payload_ ==
              "second");
    }
    SUBCASE("lost to another holder")
    {
        lease_record other = held_by_b();
        other.token_ = 1002;
        d.answer(first, answer_kind::conflict, 12, other);
        CHECK(d.keeper_.payload_in_store().empty());
    }
}

// Guards against a payload from an earlier time as holder, which would replace
// what other holders stored since.
TEST_CASE("a payload that was set without the lease is not stored")
{
    driver d;
    d.keeper_.set_payload("stale");
    CHECK(d.take_over().payload_ == "of b");
    CHECK_FALSE(d.next());
}

// Guards against the takeover of a record that a reset of the store brought
// back, while the holder that followed it still acts.
TEST_CASE("a higher token from a peer starts the wait for the lifetime again")
{
    driver d;
    d.follow(held_by_b(), 10, 2900ms);
    d.keeper_.set_known_token(1001);
    d.follow(held_by_b(), 10, 2900ms);
    d.now_ += 100ms;
    CHECK(d.await_takeover(held_by_b(), 10).record_.token_ == 1002);
}

TEST_CASE("a holder stops when a peer names a higher token")
{
    driver d;
    const lease_record own = d.take_over();
    d.keeper_.set_known_token(own.token_);
    CHECK(d.keeper_.may_act(d.now_));
    d.keeper_.set_known_token(own.token_ + 1);
    CHECK_FALSE(d.keeper_.may_act(d.now_));
    CHECK(d.keeper_.token() == 0);
    d.follow(own, 11, 2900ms);
    CHECK(d.keeper_.state() == lease_state::following);
}

TEST_CASE("give_back stops at once, releases and never acquires again")
{
    driver d;
    const lease_record own = d.take_over();
    d.keeper_.give_back();
    CHECK_FALSE(d.keeper_.may_act(d.now_));
    CHECK(d.keeper_.token() == 0);
    CHECK(d.keeper_.state() == lease_state::releasing);
    const lease_call release = d.expect(call_kind::replace);
    CHECK(release.revision_ == 11);
    CHECK(release.record_.holder_.empty());
    CHECK(release.record_.token_ == own.token_);
    CHECK(release.record_.payload_ == "of b");
    CHECK(release.record_.recent_ == std::vector<std::string>{"b", "a"});
    SUBCASE("written")
    {
        d.answer(release, answer_kind::written, 12);
    }
    SUBCASE("unknown, but done")
    {
        d.answer(release, answer_kind::unknown);
        d.answer(d.expect(call_kind::read), answer_kind::found, 12,
                 release.record_);
    }
    SUBCASE("unknown and not done, then done")
    {
        d.answer(release, answer_kind::unknown);
        d.answer(d.expect(call_kind::read), answer_kind::found, 11, own);
        const lease_call second = d.wait_for(call_kind::replace, 300ms);
        CHECK(second.record_.holder_.empty());
        d.answer(second, answer_kind::written, 12);
    }
    CHECK(d.keeper_.state() == lease_state::stopped);
    d.now_ += 100s;
    CHECK_FALSE(d.next());
}

TEST_CASE("a takeover whose result comes after give_back is released")
{
    driver d;
    const lease_call call = d.send_takeover();
    d.keeper_.give_back();
    SUBCASE("written")
    {
        d.answer(call, answer_kind::written, 11);
    }
    SUBCASE("unknown")
    {
        d.answer(call, answer_kind::unknown);
        d.answer(d.expect(call_kind::read), answer_kind::found, 11,
                 call.record_);
    }
    CHECK_FALSE(d.keeper_.may_act(d.now_));
    CHECK(d.expect(call_kind::replace).record_.holder_.empty());
}

// Guards against acting while the release may be done, now or later.
TEST_CASE("a holder that is a candidate again needs a confirmed write")
{
    driver d;
    const lease_record own = d.take_over();
    d.keeper_.set_candidate(false);
    CHECK_FALSE(d.keeper_.may_act(d.now_));
    SUBCASE("nothing was sent in between")
    {
        d.keeper_.set_candidate(true);
        CHECK(d.keeper_.may_act(d.now_));
        return;
    }
    const lease_call release = d.expect(call_kind::replace);
    d.keeper_.set_candidate(true);
    CHECK_FALSE(d.keeper_.may_act(d.now_));
    d.answer(release, answer_kind::unknown);
    d.answer(d.expect(call_kind::read), answer_kind::found, 11, own);
    CHECK_FALSE(d.keeper_.may_act(d.now_));
    const lease_call renewal = d.wait_for(call_kind::replace, 300ms);
    CHECK(renewal.record_.holder_ == "a");
    d.answer(renewal, answer_kind::written, 12);
    CHECK(d.keeper_.may_act(d.now_));
}

TEST_CASE("recent holders are limited, and forgotten after the lifetime")
{
    driver d;
    lease_record record = held_by_b();
    record.recent_ = {"c", "d", "e", "f"};
    d.follow(record, 10, lifetime);
    const lease_call call = d.wait_for(call_kind::replace, 1s);
    CHECK(call.record_.recent_ == std::vector<std::string>{"d", "e", "f", "b"});
    d.answer(call, answer_kind::written, 11);
    // Kept names would delay the takeover of a record released much later.
    for (std::uint64_t revision = 12; revision < 16; ++revision)
    {
        const lease_call renewal = d.wait_for(call_kind::replace, 2s);
        CHECK(renewal.record_.recent_.empty() == (revision >= 14));
        d.answer(renewal, answer_kind::written, revision);
    }
}
