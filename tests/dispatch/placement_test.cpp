#include "dispatch/admission_controller.hpp"
#include "dispatch/placement.hpp"
#include "dispatch/wait_queue.hpp"
#include "tests/dispatch/engine_fixture.hpp"

#include <doctest/doctest.h>

using namespace peridotspar;
using namespace peridotspar::dispatch;
using namespace std::chrono_literals;

namespace
{

/// Four engines that are known, and one that starts 3 s later. All times are
/// from `start` on.
struct start_fixture : engine_fixture
{
    explicit start_fixture(bool p_is_scaled)
    {
        routing::service service;
        service.name_ = engines;
        service.engine_ = routing::engine_traits{600000};
        if (p_is_scaled)
        {
            service.scaling_ = routing::engine_scaling{};
        }
        table_.add(service);
        servers_.clear();
        for (const auto* id : {"a", "b", "c", "d"})
        {
            add_server(id);
        }
        update(start);
        pace().set_self("n-1");
        pace().set_nodes({"n-1", "n-2", "n-3", "n-4", "n-5", "n-6"});
    }
    void update(time_point p_now)
    {
        placement_.servers().update(servers_, table_, p_now);
    }
    void start_server(const std::string& p_id, time_point p_now)
    {
        add_server(p_id);
        servers_.at(p_id).instance_.started_ms_ = 77;
        update(p_now);
    }
    server_pace& pace() { return placement_.servers().starts().pace(); }
    std::string key(const std::string& p_id) const
    {
        return servers_.at(p_id).instance_.key();
    }
    /// Whether a request may go to the server if there's no other one.
    bool may_use(const std::string& p_id, time_point p_now)
    {
        std::set<std::string> others;
        for (const auto& [id, entry] : servers_)
        {
            if (id != p_id)
            {
                others.insert(id);
            }
        }
        return placement_.choose(short_request(1), others, p_now, true)
            .has_value();
    }
    /// The server answers some requests of this node after a time.
    void answer(const std::string& p_id, duration p_time, send_result p_result,
                time_point p_now)
    {
        const auto request = short_request(2);
        assignment sent;
        sent.server_ = servers_.at(p_id);
        sent.sent_at_ = p_now - p_time;
        sent.expected_answer_at_ = sent.sent_at_ + 200ms;
        auto& servers = placement_.servers();
        servers.record_sent(request, sent, sent.sent_at_);
        if (p_result == send_result::answered)
        {
            servers.record_first_answer(request, sent, p_now);
        }
        servers.record_end(sent, p_result, p_now);
    }
};

/// Makes `p_id` unhealthy.
void fail(start_fixture& r_fixture, const std::string& p_id, time_point p_now)
{
    r_fixture.answer(p_id, 10ms, send_result::failed, p_now);
    r_fixture.answer(p_id, 10ms, send_result::failed, p_now);
}

} // namespace

// Guards against a new server that gets requests of all nodes at once, or none.
TEST_CASE("a server that just started is avoided, and used as it answers well")
{
    start_fixture r(true);
    const auto now = start + 3s;
    r.start_server("new", now);
    REQUIRE(r.pace().is_paced(r.key("new"), now));
    CHECK(r.pace().level(r.key("new"), now) == 2);
    // Whether this node is one of the first two is a matter of the hash.
    const bool may_send = r.pace().may_send(r.key("new"), 0, now);
    CHECK(r.may_use("new", now) == may_send);
    CHECK(r.may_use("a", now));
    r.pace().record_peer("n-2", {r.key("new"), 0, 1}, now);
    REQUIRE(r.pace().level(r.key("new"), now) == 1);
    std::size_t using_nodes = 0;
    for (int i = 1; i <= 6; ++i)
    {
        r.pace().set_self("n-" + std::to_string(i));
        using_nodes += r.may_use("new", now) ? 1 : 0;
    }
    CHECK(using_nodes == 1);
    // With 8 requests of all nodes each of the 6 may send one.
    r.pace().record_peer("n-2", {r.key("new"), 7, 1}, now);
    CHECK(r.pace().level(r.key("new"), now) == 8);
    CHECK(r.may_use("new", now));
    r.pace().record_peer("n-2", {r.key("new"), 80, 1}, now);
    CHECK_FALSE(r.pace().is_paced(r.key("new"), now));
    r.placement_.servers().starts().tick(now);
    CHECK(r.pace().count() == 0);
}

TEST_CASE("the wait for servers counts that one is held back")
{
    start_fixture r(true);
    const auto now = start + 3s;
    r.start_server("new", now);
    r.pace().record_peer("n-2", {r.key("new"), 0, 3}, now);
    for (int i = 1; r.pace().may_send(r.key("new"), 0, now); ++i)
    {
        r.pace().set_self("n-" + std::to_string(i));
    }
    const auto request = engine_fixture::short_request(1);
    const duration usual = r.placement_.expected_wait(request, now);
    for (const auto* id : {"a", "b", "c", "d"})
    {
        r.servers_.at(id).leaving_ = true;
    }
    r.update(now);
    CHECK(r.placement_.expected_wait(request, now) >= usual + 1s);
}

// Guards against pacing where nobody asked for it.
TEST_CASE("services whose engines aren't ordered start as before")
{
    start_fixture r(false);
    const auto now = start + 3s;
    r.start_server("new", now);
    CHECK(r.pace().count() == 0);
    CHECK_FALSE(r.placement_.servers().starts().is_enabled());
    CHECK(r.may_use("new", now));
    fail(r, "a", now);
    r.answer("a", 10ms, send_result::answered, now + 1s);
    CHECK(r.pace().count() == 0);
    CHECK(r.pace().take_reports(now + 1s).empty());
}

TEST_CASE("the switch paces servers of all services")
{
    start_fixture r(false);
    r.placement_.set_paced_services(paced_services::all);
    r.update(start);
    const auto now = start + 3s;
    r.start_server("new", now);
    CHECK(r.pace().is_paced(r.key("new"), now));
    r.placement_.set_paced_services(paced_services::ordered);
    r.update(now);
    CHECK_FALSE(r.pace().is_paced(r.key("new"), now));
    CHECK(r.pace().count() == 0);
}

// Guards against a node that joins and holds back a running service.
TEST_CASE("servers of the first lists aren't paced, nor one that is back")
{
    start_fixture r(true);
    r.start_server("second-list", start + 1900ms);
    CHECK(r.pace().count() == 0);
    const auto entry = r.servers_.at("a");
    r.servers_.erase("a");
    r.update(start + 5s);
    r.servers_["a"] = entry;
    r.update(start + 9s);
    CHECK(r.pace().count() == 0);
}

TEST_CASE("a restarted server is paced, and forgotten when it is gone")
{
    start_fixture r(true);
    const auto now = start + 3s;
    r.servers_.at("a").instance_.started_ms_ = 5;
    r.update(now);
    CHECK(r.pace().is_paced(r.key("a"), now));
    r.servers_.erase("a");
    r.update(now + 1s);
    CHECK(r.pace().count() == 0);
}

TEST_CASE("an unhealthy server that answers again is paced")
{
    start_fixture r(true);
    const auto now = start + 3s;
    fail(r, "a", now);
    CHECK(r.pace().count() == 0);
    r.answer("a", 100ms, send_result::answered, now + 1s);
    CHECK(r.pace().is_paced(r.key("a"), now + 1s));
    // The answer counts.
    const auto reports = r.pace().take_reports(now + 1s);
    REQUIRE(reports.size() == 1);
    CHECK(reports[0].good_ == 1);
    r.answer("a", 299ms, send_result::answered, now + 2s);
    r.answer("a", 301ms, send_result::answered, now + 2s);
    r.answer("a", 10ms, send_result::refused, now + 2s);
    r.answer("a", 10ms, send_result::dropped, now + 2s);
    const auto later = r.pace().take_reports(now + 2s);
    CHECK(later[0].good_ == 2);
    CHECK(later[0].bad_ == 2);
}

// Guards against a node that was cut off and then hardly uses any server.
TEST_CASE("servers aren't paced after this node was cut off from them")
{
    start_fixture r(true);
    const auto now = start + 3s;
    for (const auto* id : {"a", "b", "c"})
    {
        fail(r, id, now);
    }
    for (const auto* id : {"a", "b", "c"})
    {
        r.answer(id, 100ms, send_result::answered, now + 1s);
    }
    CHECK(r.pace().count() == 0);
    fail(r, "d", now + 2s);
    r.placement_.servers().reset_health(engines);
    r.answer("d", 100ms, send_result::answered, now + 3s);
    CHECK(r.pace().count() == 0);
    // One that fails after that is.
    fail(r, "d", now + 4s);
    r.answer("d", 100ms, send_result::answered, now + 5s);
    CHECK(r.pace().count() == 1);
}

// Guards against the overload of the servers that aren't paced.
TEST_CASE("pacing ends if more than half of a service's servers were paced")
{
    start_fixture r(true);
    const auto now = start + 3s;
    for (const auto* id : {"e", "f", "g", "h"})
    {
        r.start_server(id, now);
    }
    CHECK(r.pace().count() == 4);
    r.start_server("i", now);
    CHECK(r.pace().count() == 0);
    CHECK(r.may_use("i", now));
}

// Guards against a server that is slow all along: its slowdown is learned, so
// that its answers would seem to come as expected.
TEST_CASE("a paced server is compared with the others of its service")
{
    start_fixture r(true);
    const auto now = start + 3s;
    r.start_server("new", now);
    r.pace().set_nodes({});
    auto at = now;
    for (int i = 0; i < 20; ++i)
    {
        const auto request =
            engine_fixture::long_request(100 + static_cast<unsigned>(i));
        auto chosen =
            r.placement_.choose(request, {"a", "b", "c", "d"}, at, false);
        REQUIRE(chosen);
        REQUIRE(chosen->usual_answer_delay_);
        auto& servers = r.placement_.servers();
        servers.record_sent(request, *chosen, at);
        at += 250ms;
        servers.record_first_answer(request, *chosen,
                                    chosen->sent_at_ +
                                        *chosen->usual_answer_delay_ * 4);
        servers.record_end(*chosen, send_result::answered, at);
    }
    const auto reports = r.pace().take_reports(at);
    REQUIRE(reports.size() == 1);
    CHECK(reports[0].good_ == 0);
    CHECK(reports[0].bad_ == 20);
}

TEST_CASE(
    "a request goes to the engine that has its document cached, or fetches it")
{
    engine_fixture r;
    auto first = r.send(engine_fixture::long_request(1), start);
    const auto read_at = start + 1s;
    r.placement_.servers().record_first_answer(engine_fixture::long_request(1),
                                               first, read_at);
    auto again = engine_fixture::long_request(1);
    again.parts_[1].id_ = 77;
    const auto second = r.placement_.choose(again, {}, read_at, false);
    REQUIRE(second);
    CHECK(second->prefill_time_ < first.prefill_time_ / 2);
    // If the engine that has it cached is excluded, the document is fetched
    // from that engine.
    const auto third = r.placement_.choose(again, {first.server_.instance_.id_},
                                           read_at, false);
    REQUIRE(third);
    CHECK(third->fetch_from_ == first.server_.address_);
    CHECK(third->prefill_time_ < first.prefill_time_ / 2);
}

TEST_CASE("a document whose prefill is running is neither fetched nor "
          "prefilled twice")
{
    engine_fixture r;
    const auto first = r.send(engine_fixture::long_request(1), start);
    auto again = engine_fixture::long_request(1);
    again.parts_[1].id_ = 77;
    const auto second = r.placement_.choose(again, {}, start + 10ms, false);
    REQUIRE(second);
    CHECK(second->server_.instance_.id_ == first.server_.instance_.id_);
    CHECK(second->fetch_from_.empty());
}

TEST_CASE("short and long prompts run at separate engines")
{
    engine_fixture r;
    std::set<std::string> with_short;
    std::set<std::string> with_long;
    for (std::uint64_t i = 0; i < 40; ++i)
    {
        const auto now = start + i * 60ms;
        with_short.insert(r.send(engine_fixture::short_request(5000 + i), now)
                              .server_.instance_.id_);
        with_long.insert(r.send(engine_fixture::long_request(100 + i), now)
                             .server_.instance_.id_);
    }
    for (const auto& id : with_short)
    {
        CHECK_FALSE(with_long.contains(id));
    }
    CHECK(with_long.size() >= 6);
}

TEST_CASE("a long prompt queues rather than delay running short streams")
{
    engine_fixture r;
    for (std::uint64_t i = 0; i < 40; ++i)
    {
        r.send(engine_fixture::short_request(5000 + i), start);
    }
    // Fills all engines except those with short streams.
    std::uint64_t document = 100;
    while (r.placement_.choose(engine_fixture::long_request(document), {},
                               start, true))
    {
        r.send(engine_fixture::long_request(document), start);
        ++document;
        REQUIRE(document < 200);
    }
    CHECK(r.placement_.choose(engine_fixture::short_request(9999), {}, start,
                              true));
}

TEST_CASE(
    "requests of low priority leave capacity at each engine for urgent ones")
{
    engine_fixture r;
    std::uint64_t document = 100;
    while (const auto chosen = r.placement_.choose(
               engine_fixture::long_request(document), {}, start, true))
    {
        r.placement_.servers().record_sent(
            engine_fixture::long_request(document), *chosen, start);
        ++document;
    }
    auto urgent = engine_fixture::long_request(document);
    urgent.priority_ = 0;
    const auto chosen = r.placement_.choose(urgent, {}, start, true);
    REQUIRE(chosen);
    CHECK(chosen->expected_answer_at_ - start < 2s);
}

TEST_CASE("a server with consecutive failures is avoided, then probed")
{
    engine_fixture r;
    r.servers_.clear();
    r.add_server("good");
    r.add_server("bad");
    r.set();
    assignment bad;
    bad.server_ = r.servers_.at("bad");
    r.placement_.servers().record_end(bad, send_result::failed, start);
    r.placement_.servers().record_end(bad, send_result::failed, start);
    for (std::uint64_t i = 0; i < 20; ++i)
    {
        CHECK(r.placement_
                  .choose(engine_fixture::short_request(i), {}, start, false)
                  ->server_.instance_.id_ == "good");
    }
    // An unhealthy server is chosen if no other one is left.
    const auto later = start + 10s;
    CHECK(r.placement_.choose(engine_fixture::short_request(1), {"good"}, later,
                              false));
}

TEST_CASE("a leaving server gets no requests")
{
    engine_fixture r;
    for (auto& [id, entry] : r.servers_)
    {
        entry.leaving_ = true;
    }
    r.set();
    CHECK_FALSE(r.placement_.choose(engine_fixture::short_request(1), {}, start,
                                    false));
    CHECK(r.placement_.expected_wait(engine_fixture::short_request(1), start) ==
          duration::max());
}

TEST_CASE("a restarted server starts with an empty cache and no load")
{
    engine_fixture r;
    r.servers_.clear();
    r.add_server("only");
    r.set();
    r.send(engine_fixture::long_request(1), start);
    CHECK(r.placement_.min_prefill_time(engine_fixture::long_request(1),
                                        start) < std::chrono::milliseconds(10));
    r.servers_.at("only").instance_.started_ms_ = 5;
    r.set();
    CHECK(
        r.placement_.min_prefill_time(engine_fixture::long_request(1), start) >
        std::chrono::milliseconds(100));
    CHECK(r.placement_.servers().own_loads().empty());
}

TEST_CASE("requests that peers run and send count like own ones")
{
    engine_fixture r;
    r.servers_.clear();
    r.add_server("a");
    r.add_server("b");
    r.set();
    r.placement_.servers().record_peer_sent(
        node_id("p"), {"a", {{1, 30000}}, 900ms, 200ms, 30000}, start);
    CHECK(
        r.placement_.choose(engine_fixture::long_request(5), {}, start, false)
            ->server_.instance_.id_ == "b");
    r.placement_.servers().record_peer_running(node_id("p"),
                                               {{"b", {64, 0, {}, {}}}}, start);
    CHECK_FALSE(r.placement_.choose(engine_fixture::long_request(5), {"a"},
                                    start, true));
    r.placement_.servers().record_peer_running(node_id("p"), {}, start);
    CHECK(r.placement_.choose(engine_fixture::long_request(5), {"a"}, start,
                              true));
}

TEST_CASE("a request that can't be answered in time gets a retry delay")
{
    engine_fixture r;
    admission_controller admission(1);
    wait_queue queue;
    const auto request = engine_fixture::short_request(1);
    CHECK_FALSE(
        admission.find_refusal(request, r.placement_, queue, 0ms, start));
    for (const auto& [id, entry] : r.servers_)
    {
        r.placement_.servers().record_peer_sent(node_id("p"),
                                                {id, {}, 6s, 200ms, 0}, start);
    }
    const auto back =
        admission.find_refusal(request, r.placement_, queue, 0ms, start);
    REQUIRE(back);
    CHECK(*back >= 200ms);
    CHECK(*back <= 5s);
}

TEST_CASE("a restarted node uses the cached parts that engines report")
{
    engine_fixture r;
    auto request = engine_fixture::long_request(1);
    request.parts_ = with_cache_keys({{7, 13300}, {8, 3700}}, "m");
    auto& servers = r.placement_.servers();
    servers.record_cached({"i-3", {{cache_key(7, "m"), 13300}}}, start);
    servers.record_cached({"i-4", {{cache_key(7, "other"), 13300}}}, start);
    const auto chosen = r.placement_.choose(request, {}, start, true);
    REQUIRE(chosen);
    CHECK((chosen->server_.instance_.id_ == "i-3" ||
           chosen->fetch_from_ == "i-3:1"));
}

TEST_CASE("requests don't fill an engine's memory up to preemption")
{
    engine_fixture r;
    r.servers_.clear();
    r.add_server("only");
    r.set();
    std::uint64_t tokens = 0;
    for (std::uint64_t i = 0; i < 60; ++i)
    {
        auto request = engine_fixture::long_request(100 + i);
        request.output_tokens_ = 300;
        // The earlier prompts have long been prefilled, but their requests
        // still run.
        const auto now = start + i * 10s;
        auto chosen = r.placement_.choose(request, {}, now, true);
        if (!chosen)
        {
            break;
        }
        r.placement_.servers().record_sent(request, *chosen, now);
        r.placement_.servers().record_first_answer(request, *chosen,
                                                   chosen->expected_answer_at_);
        tokens += 3700 + 300 + 13300 / 2;
    }
    CHECK(tokens > 400000);
    CHECK(tokens < 600000);
}

TEST_CASE("many nodes with the same view don't all choose the same engine")
{
    std::map<std::string, int> request_counts;
    constexpr int nodes = 70;
    for (int node = 0; node < nodes; ++node)
    {
        engine_fixture r;
        for (int i = 10; i < 90; ++i)
        {
            r.add_server("i-" + std::to_string(i));
        }
        r.placement_ =
            placement(failure_domain_id("d"), static_cast<std::uint64_t>(node));
        r.set();
        // To all nodes, i-7 is the best engine.
        for (const auto& [id, entry] : r.servers_)
        {
            if (id != "i-7")
            {
                r.placement_.servers().record_peer_sent(
                    node_id("p"), {id, {}, 50ms, 200ms, 0}, start);
            }
        }
        const auto chosen =
            r.placement_.choose(engine_fixture::long_request(
                                    1000 + static_cast<std::uint64_t>(node)),
                                {}, start, true);
        REQUIRE(chosen);
        ++request_counts[chosen->server_.instance_.id_];
    }
    for (const auto& [id, count] : request_counts)
    {
        CHECK(count <= nodes / 3);
    }
}

TEST_CASE("many nodes send the same shared part to the same few engines")
{
    std::set<std::string> chosen_ids;
    for (std::uint64_t node = 0; node < 70; ++node)
    {
        engine_fixture r;
        for (int i = 10; i < 90; ++i)
        {
            r.add_server("i-" + std::to_string(i));
        }
        r.placement_ = placement(failure_domain_id("d"), node);
        r.set();
        const auto chosen = r.placement_.choose(engine_fixture::long_request(1),
                                                {}, start, true);
        REQUIRE(chosen);
        chosen_ids.insert(chosen->server_.instance_.id_);
    }
    CHECK(chosen_ids.size() <= 2);
}

TEST_CASE("different shared parts have different preferred engines")
{
    std::map<std::string, int> request_counts;
    engine_fixture r;
    for (int i = 10; i < 90; ++i)
    {
        r.add_server("i-" + std::to_string(i));
    }
    r.set();
    constexpr int documents = 200;
    for (std::uint64_t i = 0; i < documents; ++i)
    {
        const auto chosen = r.placement_.choose(
            engine_fixture::long_request(1000 + i), {}, start, true);
        REQUIRE(chosen);
        ++request_counts[chosen->server_.instance_.id_];
    }
    CHECK(request_counts.size() > 50);
}

TEST_CASE("nodes with outdated peer reports spread short plain requests")
{
    std::map<std::string, int> request_counts;
    constexpr int nodes = 80;
    for (int node = 0; node < nodes; ++node)
    {
        engine_fixture r;
        const auto plain = r.add_plain({"p-1", "p-2", "p-3", "p-4"}, 64);
        placement node_placement(failure_domain_id("d"),
                                 static_cast<unsigned>(node));
        node_placement.servers().update(r.servers_, r.table_);
        // The report is outdated: the reported requests have ended long ago.
        node_placement.servers().record_peer_running(node_id("p"),
                                                     {{"p-1", {3, 0, {}, {}}},
                                                      {"p-2", {2, 0, {}, {}}},
                                                      {"p-3", {3, 0, {}, {}}}},
                                                     start);
        request_profile order;
        order.service_ = plain;
        order.answer_target_ = 300ms;
        order.arrived_ = start;
        order.deadline_ = start + 3s;
        order.give_up_at_ = order.deadline_;
        const auto found =
            node_placement.choose(order, {}, start + 500ms, true);
        REQUIRE(found);
        ++request_counts[found->server_.instance_.id_];
    }
    CHECK(request_counts.size() == 4);
    for (const auto& [id, count] : request_counts)
    {
        CHECK(count <= nodes / 2);
    }
}

TEST_CASE("a slow plain server gets fewer requests")
{
    engine_fixture r;
    const auto plain = r.add_plain({"p-1", "p-2"}, 64);
    request_profile order;
    order.service_ = plain;
    order.answer_target_ = 300ms;
    order.deadline_ = start + 30s;
    int slow = 0;
    auto now = start;
    constexpr int orders = 60;
    for (int i = 0; i < orders; ++i)
    {
        auto chosen = r.placement_.choose(order, {}, now, true);
        REQUIRE(chosen);
        auto& servers = r.placement_.servers();
        servers.record_sent(order, *chosen, now);
        const bool is_slow = chosen->server_.instance_.id_ == "p-2";
        slow += is_slow ? 1 : 0;
        const auto answered = now + (is_slow ? 200ms : 40ms);
        servers.record_first_answer(order, *chosen, answered);
        servers.record_end(*chosen, send_result::answered, answered);
        now += 50ms;
    }
    CHECK(slow < orders / 4);
}

TEST_CASE("among equal servers the one with an open connection is chosen")
{
    engine_fixture r;
    r.placement_.set_connection_check(
        [](const routing::server_entry& p_server)
        { return p_server.instance_.id_ == "i-7"; });
    const auto document = engine_fixture::long_request(1);
    const auto chosen = r.placement_.choose(document, {}, start, true);
    REQUIRE(chosen);
    const bool short_engine =
        r.placement_.servers().servers_of(engines)[7]->for_short_prompts_;
    CHECK((chosen->server_.instance_.id_ == "i-7") == !short_engine);
    // A connection doesn't outweigh a much later answer.
    r.placement_.servers().record_peer_sent(
        node_id("p"), {"i-7", {}, 200ms, 800ms, 17000}, start);
    CHECK(
        r.placement_.choose(document, {}, start, true)->server_.instance_.id_ !=
        "i-7");
}

TEST_CASE("of many equal servers one with an open connection is chosen")
{
    engine_fixture r;
    for (int i = 10; i < 117; ++i)
    {
        r.add_server("i-" + std::to_string(i));
    }
    r.set();
    std::string connected;
    for (const auto* server : r.placement_.servers().servers_of(engines))
    {
        connected = server->for_short_prompts_ ? server->entry_.instance_.id_
                                               : connected;
    }
    r.placement_.set_connection_check(
        [&](const routing::server_entry& p_server)
        { return p_server.instance_.id_ == connected; });
    for (std::uint64_t i = 0; i < 20; ++i)
    {
        const auto question = engine_fixture::short_request(i);
        CHECK(r.placement_.choose(question, {}, start, true)
                  ->server_.instance_.id_ == connected);
    }
    // A connection doesn't outweigh a much later answer.
    r.placement_.servers().record_peer_sent(
        node_id("p"), {connected, {}, 200ms, 800ms, 17000}, start);
    CHECK(
        r.placement_.choose(engine_fixture::short_request(99), {}, start, true)
            ->server_.instance_.id_ != connected);
}

TEST_CASE(
    "a node uses its share of a plain server despite outdated peer reports")
{
    engine_fixture r;
    const auto plain = r.add_plain({"p-1"}, 6);
    r.placement_.set_node_count(6);
    auto& servers = r.placement_.servers();
    servers.record_peer_running(node_id("p"), {{"p-1", {6, 0, {}, {}}}}, start);
    request_profile order;
    order.service_ = plain;
    order.deadline_ = start + 3s;
    int sent = 0;
    while (const auto chosen = r.placement_.choose(order, {}, start, true))
    {
        servers.record_sent(order, *chosen, start);
        ++sent;
        REQUIRE(sent < 10);
    }
    CHECK(sent == 3);
}

TEST_CASE(
    "other engines take short prompts of a large service if its own are full")
{
    engine_fixture r;
    for (int i = 10; i < 90; ++i)
    {
        r.add_server("i-" + std::to_string(i));
    }
    r.set();
    const node_id peer("p");
    server_loads full;
    for (const auto* server : r.placement_.servers().servers_of(engines))
    {
        if (server->for_short_prompts_)
        {
            full[server->entry_.instance_.id_] = {64, 0, {}, {}};
        }
    }
    r.placement_.servers().record_peer_running(peer, full, start);
    CHECK(
        r.placement_.choose(engine_fixture::short_request(1), {}, start, true));
}
