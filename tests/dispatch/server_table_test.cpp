#include "dispatch/server_table.hpp"
#include "tests/dispatch/engine_fixture.hpp"

using namespace peridotspar;
using namespace peridotspar::dispatch;
using namespace std::chrono_literals;

namespace
{

const node_id peer("p");

const server_state& engine(engine_fixture& r_fixture, std::size_t p_number)
{
    return *r_fixture.placement_.servers().servers_of(engines).at(p_number);
}

} // namespace

TEST_CASE(
    "an engine's backlog is the reported prefill time less the time since then")
{
    engine_fixture r;
    auto& servers = r.placement_.servers();
    servers.record_peer_sent(peer, {"i-0", {}, 400ms, 800ms, 17000}, start);
    servers.record_peer_sent(node_id("q"), {"i-0", {}, 400ms, 800ms, 17000},
                             start);
    CHECK(engine(r, 0).backlog(start) == 800ms);
    CHECK(engine(r, 0).backlog(start + 200ms) == 600ms);
    CHECK(engine(r, 0).backlog(start + 2s) == 0ms);
    CHECK(engine(r, 0).running_requests() == 2);
}

TEST_CASE("a peer's full report replaces its earlier sent reports")
{
    engine_fixture r;
    auto& servers = r.placement_.servers();
    // The engine was faster than the peer expected.
    servers.record_peer_sent(peer, {"i-0", {}, 5s, 800ms, 17000}, start);
    server_load load;
    load.add(true, 800ms, 17000);
    servers.record_peer_running(peer, {{"i-0", load}}, start + 1s);
    CHECK(engine(r, 0).backlog(start + 1s) == 0ms);
    CHECK(engine(r, 0).running_requests() == 1);
    // The engine was slower than expected.
    load.pending_prefill_ = 3s;
    servers.record_peer_running(peer, {{"i-0", load}}, start + 6s);
    CHECK(engine(r, 0).backlog(start + 6s) == 3s);
}

TEST_CASE("sent reports between a peer's full reports add to its load")
{
    engine_fixture r;
    auto& servers = r.placement_.servers();
    server_load load;
    load.add(true, 800ms, 17000);
    load.pending_prefill_ = 300ms;
    servers.record_peer_running(peer, {{"i-0", load}}, start);
    servers.record_peer_sent(peer, {"i-0", {}, 300ms, 800ms, 1000},
                             start + 100ms);
    CHECK(engine(r, 0).running_requests() == 2);
    CHECK(engine(r, 0).memory_tokens_in_use() == 18000);
    CHECK(engine(r, 0).backlog(start + 100ms) > 500ms);
    CHECK(engine(r, 0).backlog(start + 100ms) < 600ms);
}

TEST_CASE("the load of a silent peer expires")
{
    engine_fixture r;
    auto& servers = r.placement_.servers();
    server_load load;
    load.add(true, 800ms, 500000);
    servers.record_peer_running(peer, {{"i-0", load}}, start);
    servers.expire_peer_loads(start + 1s);
    CHECK(engine(r, 0).running_requests() == 1);
    servers.expire_peer_loads(start + 10s);
    CHECK(engine(r, 0).running_requests() == 0);
    CHECK(engine(r, 0).memory_tokens_in_use() == 0);
}

TEST_CASE("a prefill counts as pending until the answer begins")
{
    engine_fixture r;
    auto sent = r.send(engine_fixture::long_request(1), start);
    auto& servers = r.placement_.servers();
    const std::string id = sent.server_.instance_.id_;
    CHECK(servers.own_loads().at(id).pending_prefill_ == sent.prefill_time_);
    // An overdue prefill still counts: it waits behind more urgent ones there.
    CHECK(r.placement_.servers().servers_of(engines).size() == 10);
    for (const auto* server : servers.servers_of(engines))
    {
        const bool there = server->entry_.instance_.id_ == id;
        CHECK((server->backlog(start + 1min) > 200ms) == there);
    }
    servers.record_first_answer(engine_fixture::long_request(1), sent,
                                start + 1min);
    CHECK(servers.own_loads().at(id).pending_prefill_ == 0ms);
    servers.record_end(sent, send_result::answered, start + 1min);
    CHECK(servers.own_loads().empty());
}

TEST_CASE("an engine's slowdown decays over time")
{
    engine_fixture r;
    auto& servers = r.placement_.servers();
    auto now = start;
    std::string id;
    for (std::uint64_t i = 0; i < 40; ++i)
    {
        auto sent = r.send(engine_fixture::long_request(1), now);
        id = sent.server_.instance_.id_;
        sent.expected_answer_at_ = now + 100ms;
        now += 500ms;
        servers.record_first_answer(engine_fixture::long_request(1), sent, now);
        servers.record_end(sent, send_result::answered, now);
    }
    const auto& all = servers.servers_of(engines);
    double most = 0;
    for (const auto* server : all)
    {
        most = std::max(most, server->model_.slowdown(now));
    }
    CHECK(most > 1.5);
    for (const auto* server : all)
    {
        CHECK(server->model_.slowdown(now + 30s) < 1.05);
    }
}

TEST_CASE("a server that fails some of its requests gets few requests")
{
    engine_fixture r;
    r.servers_.clear();
    for (const char* id : {"i-1", "i-2", "i-3"})
    {
        r.add_server(id);
    }
    r.set();
    auto& servers = r.placement_.servers();
    int failing = 0;
    auto now = start;
    constexpr int requests = 90;
    for (int i = 0; i < requests; ++i)
    {
        const auto question = engine_fixture::short_request(1000U + i);
        auto sent = r.send(question, now);
        now += 100ms;
        servers.record_first_answer(question, sent, now);
        const bool of_failing = sent.server_.instance_.id_ == "i-2";
        failing += of_failing ? 1 : 0;
        // Every second request fails there, so there are never two consecutive
        // failures.
        const bool fails = of_failing && failing % 2 == 1;
        servers.record_end(
            sent, fails ? send_result::failed : send_result::answered, now);
    }
    CHECK(failing < requests / 9);
}
