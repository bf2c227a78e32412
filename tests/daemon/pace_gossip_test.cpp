#include "daemon/entry_gossip.hpp"
#include "daemon/routing_state.hpp"
#include "ingress/router.hpp"
#include "tests/fakes/loopback.hpp"
#include "tests/fakes/store_text.hpp"

#include <doctest/doctest.h>

using namespace peridotspar;
using namespace std::chrono_literals;

namespace
{

const std::string paced_server = "i-0@1";
constexpr unsigned slots = 16;

routing::server_list::entries four_servers()
{
    routing::server_list::entries servers;
    for (int i = 0; i < 4; ++i)
    {
        routing::server_entry entry;
        entry.instance_ = {"i-" + std::to_string(i), 1};
        entry.service_ = routing::service_name("s");
        entry.address_ = "127.0.0.1:" + std::to_string(i + 1);
        entry.slots_ = slots;
        servers[entry.instance_.id_] = entry;
    }
    return servers;
}

/// The parts of a node that exchange messages with its peers.
struct gossip_node
{
    gossip_node(boost::asio::io_context& p_context, const std::string& p_name,
                std::uint16_t p_port, bool p_is_scaled)
        : router_(p_context, {}),
          state_({[](auto) {}, [](const auto&) {}}, 2s, 1s),
          client_(p_context),
          gossip_(p_context,
                  {node_id(p_name), "127.0.0.1:1", local(p_port),
                   failure_domain_id("d")},
                  state_, router_, client_, false, 1)
    {
        auto table = std::make_shared<routing::route_table>();
        routing::service service;
        service.name_ = routing::service_name("s");
        if (p_is_scaled)
        {
            service.scaling_ = routing::engine_scaling{};
        }
        table->add(service);
        router_.set_route_table(table);
        router_.set_servers(four_servers());
    }
    dispatch::server_pace& pace()
    {
        return router_.placement().servers().starts().pace();
    }
    void begin()
    {
        pace().begin(paced_server, slots, dispatch::pace_cause::started,
                     clock_.now());
    }
    void tick()
    {
        (void)gossip_.should_follow_store({}, clock_.now());
        gossip_.tick(clock_.now());
    }

    boot_clock clock_;
    ingress::router router_;
    routing_state state_;
    backend::buffered_client client_;
    entry_gossip gossip_;
};

struct two_nodes
{
    explicit two_nodes(bool p_is_scaled)
        : ports_{free_port(context_), free_port(context_)},
          first_(context_, "n0", ports_[0], p_is_scaled),
          second_(context_, "n1", ports_[1], p_is_scaled)
    {
        first_.gossip_.add_candidate(local(ports_[1]));
        second_.gossip_.add_candidate(local(ports_[0]));
        REQUIRE(wait(
            [&]
            {
                return first_.gossip_.live_nodes() == 2 &&
                       second_.gossip_.live_nodes() == 2;
            }));
    }
    bool wait(const std::function<bool()>& p_condition)
    {
        return run_until(
            context_, p_condition,
            [this]
            {
                first_.tick();
                second_.tick();
            },
            3s);
    }

    boost::asio::io_context context_;
    std::array<std::uint16_t, 2> ports_;
    gossip_node first_;
    gossip_node second_;
};

} // namespace

// Guards against nodes that each count only their own answers.
TEST_CASE("a node's answers raise the level of a paced server at its peers")
{
    two_nodes r(true);
    r.first_.begin();
    r.second_.begin();
    const auto second_level = [&]
    { return r.second_.pace().level(paced_server, r.second_.clock_.now()); };
    CHECK(second_level() == 2);
    for (int i = 0; i < 6; ++i)
    {
        r.first_.pace().record_answer(paced_server, true,
                                      r.first_.clock_.now());
    }
    CHECK(r.wait([&] { return second_level() == 8; }));
    r.first_.pace().record_answer(paced_server, false, r.first_.clock_.now());
    CHECK(r.wait([&] { return second_level() == 4; }));
    // Both nodes share the level between them.
    const auto may_send = [&](gossip_node& r_node, unsigned p_own) {
        return r_node.pace().may_send(paced_server, p_own, r_node.clock_.now());
    };
    CHECK(r.wait([&]
                 { return may_send(r.first_, 1) && may_send(r.second_, 1); }));
    CHECK_FALSE(may_send(r.first_, 2));
    CHECK_FALSE(may_send(r.second_, 2));
}

// Guards against a report that is lost with the datagram that had it: full
// digests repeat it for a node that begins later.
TEST_CASE("a node that paces a server later learns of earlier answers")
{
    two_nodes r(true);
    r.first_.begin();
    for (int i = 0; i < 6; ++i)
    {
        r.first_.pace().record_answer(paced_server, true,
                                      r.first_.clock_.now());
    }
    r.second_.begin();
    CHECK(r.wait(
        [&] {
            return r.second_.pace().level(paced_server,
                                          r.second_.clock_.now()) == 8;
        }));
}

// Guards against a node whose peers' settings differ: it keeps nothing.
TEST_CASE("a node ignores peers' counts if none of its services start slowly")
{
    two_nodes r(false);
    r.first_.begin();
    r.first_.pace().record_answer(paced_server, true, r.first_.clock_.now());
    // Counts of a node without slow starts aren't sent either.
    const auto until = r.first_.clock_.now() + 600ms;
    (void)r.wait([&] { return r.first_.clock_.now() > until; });
    r.second_.begin();
    CHECK(r.second_.pace().level(paced_server, r.second_.clock_.now()) == 2);
}
