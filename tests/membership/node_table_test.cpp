#include "membership/node_table.hpp"

#include <doctest/doctest.h>

using namespace peridotspar;
using namespace std::chrono_literals;

namespace
{

node_state state(const std::string& p_name, const std::string& p_domain,
                 std::int64_t p_counter = 1)
{
    node_state made;
    made.name_ = node_id(p_name);
    made.incarnation_ = 1;
    made.counter_ = p_counter;
    made.failure_domain_ = failure_domain_id(p_domain);
    return made;
}

const time_point start{1h};

} // namespace

TEST_CASE("heartbeats, not the VM list, decide which nodes are live")
{
    node_table table(state("n1", "a"));
    table.set_listed({node_id("n1"), node_id("n2"), node_id("n3")}, start);
    table.apply_heartbeat(state("n2", "b"), start);
    CHECK(table.is_live(node_id("n2"), start + 1s));
    CHECK_FALSE(table.is_live(node_id("n3"), start + 1s));
    CHECK_FALSE(table.is_live(node_id("n2"), start + 3s));
    // The caps are still divided among all listed nodes.
    CHECK(table.listed(start + 3s).size() == 3);
}

TEST_CASE("an old heartbeat that arrives late is ignored")
{
    node_table table(state("n1", "a"));
    table.apply_heartbeat(state("n2", "b", 7), start);
    table.apply_heartbeat(state("n2", "b", 6), start + 2s);
    CHECK_FALSE(table.is_live(node_id("n2"), start + 3s));
    auto restarted = state("n2", "b", 1);
    restarted.incarnation_ = 2;
    table.apply_heartbeat(restarted, start + 3s);
    CHECK(table.is_live(node_id("n2"), start + 3s));
}

TEST_CASE("the entry list alternates failure domains and leaves out nodes "
          "that are dead, leaving or overloaded")
{
    node_table table(state("n1", "a"));
    table.apply_heartbeat(state("n2", "a"), start);
    table.apply_heartbeat(state("n3", "b"), start);
    auto leaving = state("n4", "b");
    leaving.leaving_ = true;
    table.apply_heartbeat(leaving, start);
    auto busy = state("n5", "c");
    busy.load_percent_ = 99;
    table.apply_heartbeat(busy, start);
    const auto list = table.entry_list(start);
    REQUIRE(list.size() == 3);
    CHECK(list[0].failure_domain_ != list[1].failure_domain_);
    for (const auto& item : list)
    {
        CHECK(item.name_ != node_id("n4"));
        CHECK(item.name_ != node_id("n5"));
    }
    CHECK(table.entry_list(start + 10s).size() == 1);
}

TEST_CASE("gossip goes to all peers of a small fleet, to some of a large one")
{
    node_table table(state("n0", "a"));
    for (int i = 1; i <= 20; ++i)
    {
        table.apply_heartbeat(state("n" + std::to_string(i), "a"), start);
    }
    std::mt19937_64 random(1);
    CHECK(table.pick_peers(50, random, start).size() == 20);
    CHECK(table.pick_peers(3, random, start).size() == 3);
}
