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
constexpr duration resume_time = 18s;

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
    return {{{pool, {p_main, 7}}}, {}};
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
    versions.set_servers(servers(3, 1));
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
    versions.set_servers(servers(4, 0));
    begin(versions, "nothing listed", "v1");
    CHECK_FALSE(versions.is_durable("nothing listed"));
    versions.learn(stored(""), start, start);
    begin(versions, "no main version", "v1");
    CHECK_FALSE(versions.is_durable("no main version"));
    versions.learn(stored("v1"), start, start);
    begin(versions, "several services", "v1", false);
    CHECK_FALSE(versions.is_durable("several services"));
    versions.set_servers(servers(1, 3));
    begin(versions, "minority", "v1");
    CHECK_FALSE(versions.is_durable("minority"));
}

TEST_CASE("a resend to another version replaces the record")
{
    stream_versions versions;
    versions.set_servers(servers(3, 1));
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
    main_version state{"v1", 7};
    const auto decide = [&](const auto& p_counts, duration p_at) {
        return policy.decide(pool, p_counts, &state, resume_time, start + p_at);
    };
    CHECK_FALSE(decide(before, 0s));
    CHECK_FALSE(decide(mixed, 1s));
    CHECK(decide(after, 2s) == "");
    state = {"", 8};
    CHECK_FALSE(decide(after, 2s));
    CHECK_FALSE(decide(after, 2s + resume_time - 1ms));
    CHECK(decide(after, 2s + resume_time) == "v2");
    // Another node began the time anew.
    state = {"", 9};
    CHECK_FALSE(decide(after, 2s + resume_time));
    CHECK_FALSE(decide(mixed, 60s));
    CHECK_FALSE(decide(stream_versions::version_counts{}, 60s));
}

TEST_CASE("only on the first start a main version comes without a wait")
{
    const stream_versions::version_counts counts{{"v1", 4}};
    main_version_policy first(true);
    main_version_policy later(false);
    CHECK(first.decide(pool, counts, nullptr, resume_time, start) == "v1");
    CHECK(later.decide(pool, counts, nullptr, resume_time, start) == "");
}
