#include "routing/main_version_policy.hpp"
#include "routing/stream_versions.hpp"

#include <doctest/doctest.h>

using namespace peridotspar;
using namespace peridotspar::routing;
using namespace std::chrono_literals;

namespace
{

const time_point start = time_point{} + 100s;
const service_name pool("s");
using decision = main_version_policy::decision;
constexpr duration unrecorded_time = 18s;
constexpr duration pause_time = unrecorded_time + 2s;

server_list::entries servers(std::size_t p_old, std::size_t p_new)
{
    server_list::entries entries;
    for (std::size_t i = 0; i < p_old + p_new; ++i)
    {
        server_entry entry;
        entry.instance_.id_ = "i-" + std::to_string(i);
        entry.service_ = pool;
        entry.version_ = i < p_old ? "v1" : "v2";
        entries[entry.instance_.id_] = entry;
    }
    return entries;
}

stream_origins stored(const std::string& p_main)
{
    return {{{pool, {p_main, 7, unrecorded_time}}}, {}};
}

void begin(stream_versions& r_versions, const std::string& p_attempt,
           const std::string& p_version, bool p_single_service = true)
{
    r_versions.record_begin(p_attempt, {pool, p_version}, p_single_service,
                            start + 10s, start);
}

} // namespace

TEST_CASE("a stream at the main version needs no record and others do")
{
    stream_versions versions;
    versions.set_servers(servers(3, 1), start);
    versions.learn(stored("v1"), start, start);
    begin(versions, "a", "v1");
    CHECK(versions.is_durable("a"));
    CHECK_FALSE(versions.has_unsaved());
    begin(versions, "b", "v2");
    CHECK_FALSE(versions.is_durable("b"));
    CHECK(versions.records().size() == 1);
    CHECK(versions.records().at("b").version_ == "v2");
    versions.set_saved(versions.last_record());
    CHECK(versions.is_durable("b"));
}

TEST_CASE("each stream needs a record while the main version isn't certain")
{
    stream_versions versions;
    versions.set_servers(servers(4, 0), start);
    begin(versions, "nothing listed", "v1");
    CHECK_FALSE(versions.is_durable("nothing listed"));
    versions.learn(stored(""), start, start);
    begin(versions, "no main version", "v1");
    CHECK_FALSE(versions.is_durable("no main version"));
    versions.learn(stored("v1"), start, start);
    begin(versions, "several services", "v1", false);
    CHECK_FALSE(versions.is_durable("several services"));
    versions.set_servers(servers(1, 3), start);
    begin(versions, "minority", "v1");
    CHECK_FALSE(versions.is_durable("minority"));
}

TEST_CASE("a resend to another version replaces the record")
{
    stream_versions versions;
    versions.set_servers(servers(3, 1), start);
    versions.learn(stored("v1"), start, start);
    begin(versions, "a", "v2");
    versions.set_saved(versions.last_record());
    begin(versions, "a", "v1");
    CHECK_FALSE(versions.is_durable("a"));
    CHECK(versions.records().at("a").version_ == "v1");
}

TEST_CASE("a node learns what others recorded and forgets it in time")
{
    stream_versions versions;
    stream_origins listed = stored("v1");
    listed.streams_["x"] = {pool, "v2"};
    CHECK_FALSE(versions.is_listed_since(start));
    versions.learn(listed, start, start);
    CHECK(versions.is_listed_since(start));
    CHECK_FALSE(versions.is_listed_since(start + 1ms));
    CHECK(versions.find("x")->origin_.version_ == "v2");
    CHECK(versions.records().empty());
    begin(versions, "own", "v1");
    versions.expire(start + 11s);
    CHECK_FALSE(versions.find("own"));
    CHECK(versions.find("x"));
    versions.expire(start + 61s);
    CHECK_FALSE(versions.find("x"));
}

TEST_CASE("an origin that its node replaced before the first event is learnt")
{
    stream_versions versions;
    for (const std::string version : {"v2", "v1"})
    {
        stream_origins listed = stored("v1");
        listed.streams_["x"] = {pool, version};
        listed.streams_["own"] = {pool, version};
        begin(versions, "own", "v3");
        versions.learn(listed, start, start);
        CHECK(versions.find("x")->origin_.version_ == version);
        CHECK(versions.find("own")->origin_.version_ == "v3");
    }
}

TEST_CASE("records are unsaved again when the store has lost them")
{
    stream_versions versions;
    begin(versions, "a", "v1");
    versions.set_saved(versions.last_record());
    versions.set_unsaved();
    CHECK(versions.has_unsaved());
}

TEST_CASE("the main version changes only after a time without one")
{
    main_version_policy policy(false);
    const stream_versions::version_counts before{{"v1", 4}};
    const stream_versions::version_counts mixed{{"v1", 2}, {"v2", 2}};
    const stream_versions::version_counts after{{"v1", 1}, {"v2", 3}};
    main_version state{"v1", 7, unrecorded_time};
    const auto decide = [&](const auto& p_counts, duration p_at)
    {
        return policy.decide(pool, p_counts, &state, unrecorded_time,
                             start + p_at);
    };
    const decision none{"", unrecorded_time};
    CHECK_FALSE(decide(before, 0s));
    CHECK_FALSE(decide(mixed, 1s));
    CHECK(decide(after, 2s) == none);
    state = {"", 8, unrecorded_time};
    CHECK_FALSE(decide(after, 2s));
    CHECK_FALSE(decide(after, 2s + pause_time - 1ms));
    CHECK(decide(after, 2s + pause_time) == decision{"v2", unrecorded_time});
    // Another node began the time anew.
    state = {"", 9, unrecorded_time};
    CHECK_FALSE(decide(after, 2s + pause_time));
    CHECK_FALSE(decide(mixed, 60s));
    CHECK_FALSE(decide(stream_versions::version_counts{}, 60s));
}

TEST_CASE("only on the first start a main version comes without a wait")
{
    const stream_versions::version_counts counts{{"v1", 4}};
    main_version_policy first(true);
    main_version_policy later(false);
    CHECK(first.decide(pool, counts, nullptr, unrecorded_time, start) ==
          decision{"v1", unrecorded_time});
    CHECK(later.decide(pool, counts, nullptr, unrecorded_time, start) ==
          decision{"", unrecorded_time});
    // No stream of the service can be taken up.
    CHECK_FALSE(first.decide(pool, counts, nullptr, 0s, start));
}

// Guards against streams that go on at another version (ORDER): a route's
// timeout was shortened during a release, and with it the running pause.
TEST_CASE("a later configuration doesn't shorten the time without a version")
{
    const stream_versions::version_counts after{{"v1", 1}, {"v2", 3}};
    main_version state{"v1", 7, unrecorded_time};
    main_version_policy policy(false);
    // What began may be taken up for as long as the store says, whatever the
    // configuration says now; 0: its last route was removed or moved.
    for (const duration now_in_force : {duration(3s), duration(0s)})
    {
        CHECK(policy.decide(pool, after, &state, now_in_force, start) ==
              decision{"", unrecorded_time});
    }
    state = {"", 8, unrecorded_time};
    CHECK_FALSE(policy.decide(pool, after, &state, 3s, start + 1s));
    // The node that saw the longer timeout is gone; this one knows the store
    // alone, and counts from when it saw it.
    main_version_policy other(false);
    CHECK_FALSE(other.decide(pool, after, &state, 0s, start + 5s));
    CHECK_FALSE(
        other.decide(pool, after, &state, 3s, start + 5s + pause_time - 1ms));
    CHECK_FALSE(other.decide(pool, after, &state, 0s, start + 60s));
    CHECK(other.decide(pool, after, &state, 3s, start + 5s + pause_time) ==
          decision{"v2", 3s});
}

TEST_CASE("a longer timeout is stored before streams rely on it")
{
    const stream_versions::version_counts counts{{"v1", 4}};
    main_version_policy policy(false);
    main_version state{"v1", 7, unrecorded_time};
    CHECK(policy.decide(pool, counts, &state, 30s, start) ==
          decision{"v1", 30s});
    state.unrecorded_time_ = 30s;
    CHECK_FALSE(policy.decide(pool, counts, &state, 30s, start));
    CHECK_FALSE(policy.decide(pool, counts, &state, 3s, start));
    // An older build wrote it, which names no time.
    state.unrecorded_time_ = {};
    CHECK(policy.decide(pool, counts, &state, 3s, start) == decision{"v1", 3s});
    const stream_versions::version_counts after{{"v1", 1}, {"v2", 3}};
    state = {"", 8, {}};
    CHECK_FALSE(policy.decide(pool, after, &state, 3s, start));
    CHECK_FALSE(policy.decide(pool, after, &state, 3s, start + 31s));
    CHECK(policy.decide(pool, after, &state, 3s, start + 32s));
}

TEST_CASE("a pause begins anew when the store comes back from a copy")
{
    const stream_versions::version_counts after{{"v2", 3}};
    const main_version state{"", 8, unrecorded_time};
    main_version_policy policy(false);
    CHECK_FALSE(policy.decide(pool, after, &state, 3s, start));
    policy.restart_pauses();
    CHECK_FALSE(policy.decide(pool, after, &state, 3s, start + pause_time));
    CHECK(policy.decide(pool, after, &state, 3s, start + 2 * pause_time));
}

// The same fault without any change of the configuration: a caller that waits
// for longer than the pause allows.
TEST_CASE("a stream that may be taken up for long needs a record")
{
    stream_versions versions;
    versions.set_servers(servers(4, 0), start);
    versions.learn(stored("v1"), start, start);
    const auto begin_for = [&](const std::string& p_attempt, duration p_time)
    {
        versions.record_begin(p_attempt, {pool, "v1"}, true, start + p_time,
                              start);
        return versions.is_durable(p_attempt);
    };
    CHECK(begin_for("a", unrecorded_time));
    CHECK_FALSE(begin_for("b", unrecorded_time + 1ms));
    // An older build's main version doesn't limit the time.
    stream_origins unlimited = stored("v1");
    unlimited.main_versions_.at(pool).unrecorded_time_ = {};
    versions.learn(unlimited, start, start);
    CHECK(begin_for("c", 60s));
}

// And by a release that is taken back: a node that didn't learn of the main
// version in between would begin streams without records.
TEST_CASE("a main version that lost its majority is looked up before its use")
{
    stream_versions versions;
    versions.set_servers(servers(4, 0), start);
    versions.learn(stored("v1"), start, start);
    CHECK(versions.is_main_version_certain(pool));
    versions.set_servers(servers(1, 3), start + 1s);
    CHECK_FALSE(versions.is_main_version_certain(pool));
    versions.learn(stored("v1"), start + 2s, start + 2s);
    CHECK(versions.is_main_version_certain(pool));
    begin(versions, "minority", "v1");
    CHECK_FALSE(versions.is_durable("minority"));
    versions.set_servers(servers(4, 0), start + 3s);
    begin(versions, "not listed since", "v1");
    CHECK_FALSE(versions.is_durable("not listed since"));
    versions.learn(stored("v1"), start + 4s, start + 4s);
    begin(versions, "listed", "v1");
    CHECK(versions.is_durable("listed"));
}
