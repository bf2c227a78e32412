#include "daemon/routing_state.hpp"

#include <doctest/doctest.h>

using namespace peridotspar;
using namespace std::chrono_literals;

namespace
{

object_record config(int p_version)
{
    return {"main", 1, false,
            R"({"version":)" + std::to_string(p_version) +
                R"(,"routes":[],"services":[]})"};
}

const std::string ready =
    R"({"service":"s","addr":"1.2.3.4:5","zone":"z","version":"v1","slots":4,"state":"ready"})";

struct fixture
{
    fixture()
        : state_({[this](auto p_table) { tables_.push_back(p_table); },
                  [this](const auto& p_servers) { servers_ = p_servers; }},
                 2s, 1200ms)
    {
    }
    std::vector<std::shared_ptr<const routing::route_table>> tables_;
    routing::server_list::entries servers_;
    routing_state state_;
};

} // namespace

TEST_CASE(
    "a configuration is replaced only by a newer version, from any source")
{
    fixture r;
    r.state_.on_list("config", {{config(5)}, 10, {}});
    r.state_.update_config(config(4).document_);
    r.state_.on_changes("config", {{{config(5), false}}, 11});
    r.state_.update_config(config(9).document_);
    r.state_.on_list("config", {{config(7)}, 12, {}});
    REQUIRE(r.tables_.size() == 2);
    CHECK(r.state_.config_version() == 9);
}

TEST_CASE("an invalid or removed configuration leaves the current one in force")
{
    fixture r;
    r.state_.update_config(config(5).document_);
    r.state_.update_config("{\"version\":6}");
    r.state_.on_changes("config", {{{config(5), true}}, 11});
    CHECK(r.state_.config_version() == 5);
}

TEST_CASE("an invalid server entry is ignored and the others are used")
{
    fixture r;
    CHECK_FALSE(r.state_.is_complete());
    r.state_.update_config(config(1).document_);
    r.state_.on_list(
        "servers",
        {{{"i-1", 1, false, ready}, {"odd", 2, false, "7"}}, 10, {}});
    CHECK(r.state_.is_complete());
    CHECK(r.servers_.size() == 1);
    r.state_.on_changes("servers", {{{{"i-2", 3, false, ready}, false}}, 11});
    CHECK(r.servers_.size() == 2);
}

TEST_CASE("a peer's server list is applied only if it is newer")
{
    fixture r;
    r.state_.update_servers({20, {{"i-1", ready}}, {}, true});
    CHECK(r.servers_.size() == 1);
    r.state_.update_servers({19, {}, {"i-1"}, false});
    CHECK(r.servers_.size() == 1);
    CHECK(r.state_.servers_revision() == 20);
}

TEST_CASE("a peer with an older revision gets only the changes since then")
{
    fixture ahead;
    fixture behind;
    const object_record one{"i-1", 1, false, ready};
    const object_record two{"i-2", 2, false, ready};
    ahead.state_.on_list("servers", {{one, two}, 10, {}});
    behind.state_.update_servers(ahead.state_.changes_since(0));
    CHECK(behind.servers_.size() == 2);
    ahead.state_.on_changes(
        "servers", {{{{"i-3", 3, false, ready}, false}, {one, true}}, 14});
    const auto changes = ahead.state_.changes_since(10);
    CHECK_FALSE(changes.is_full_);
    CHECK(changes.documents_.size() == 1);
    CHECK(changes.removed_ == std::vector<std::string>{"i-1"});
    behind.state_.update_servers(changes);
    CHECK(behind.state_.changes_since(0).documents_.size() == 2);
    CHECK(behind.state_.servers_revision() == 14);
    CHECK(behind.state_.changes_since(14).documents_.empty());
}

TEST_CASE(
    "a node and its peer follow a store that came back from an older copy")
{
    const auto first = [](std::uint64_t p_revision)
    { return revision_in_era(1, p_revision); };
    const auto second = [](std::uint64_t p_revision)
    { return revision_in_era(2, p_revision); };
    fixture node;
    fixture peer;
    node.state_.update_config(config(9).document_);
    node.state_.on_list(
        "servers",
        {{{"i-1", 1, false, ready}, {"i-2", 2, false, ready}}, first(50), {}});
    peer.state_.update_servers(node.state_.changes_since(0));
    // Only the peer knows this server, which the copy lacks.
    peer.state_.on_changes("servers",
                           {{{{"i-3", 51, false, ready}, false}}, first(51)});
    node.state_.on_era_changed("servers");
    node.state_.on_list("config", {{config(8)}, second(40), {}});
    node.state_.on_list("servers",
                        {{{"i-1", 1, false, ready}}, second(40), {}});
    CHECK(node.state_.config_version() == 9);
    // Its entry may come back, as the server may live.
    CHECK(node.servers_.size() == 2);
    CHECK(node.state_.servers_revision() > peer.state_.servers_revision());
    const auto changes =
        node.state_.changes_since(peer.state_.servers_revision());
    CHECK(changes.is_full_);
    peer.state_.update_servers(changes);
    CHECK(peer.state_.servers_revision() == node.state_.servers_revision());
    node.state_.tick(boot_clock().now() + 10s);
    peer.state_.tick(boot_clock().now() + 10s);
    CHECK(node.servers_.size() == 1);
    CHECK(peer.servers_.size() == 1);
}

namespace
{

/// Two servers, and what the node knows of the store since.
struct two_servers : fixture
{
    explicit two_servers(duration p_confirmed_ago) : now_(boot_clock().now())
    {
        state_.update_servers({10, {{"i-1", ready}, {"i-2", ready}}, {}, true});
        state_.record_store_contact(now_ - p_confirmed_ago, 10, "peer");
    }
    void list_without_first()
    {
        state_.on_list("servers", {{{"i-2", 2, false, ready}}, 20, {}});
    }
    time_point now_;
};

} // namespace

// Guards against requests to a removed server (DRAIN): nobody had followed the
// store, or a watch that waited was cut off, and the entry was kept as after an
// outage.
TEST_CASE("a server that is missing after a time without an outage is dropped")
{
    two_servers unasked(5s);
    unasked.list_without_first();
    CHECK(unasked.servers_.size() == 1);
    two_servers cut_off(400ms);
    cut_off.state_.on_contact_changed("servers", false);
    cut_off.state_.on_contact_changed("servers", true);
    cut_off.state_.on_changes("servers",
                              {{{{"i-1", 20, false, ready}, true}}, 20});
    CHECK(cut_off.servers_.size() == 2);
    cut_off.state_.tick(cut_off.now_ + 1349ms);
    CHECK(cut_off.servers_.size() == 2);
    cut_off.state_.tick(cut_off.now_ + 1351ms);
    CHECK(cut_off.servers_.size() == 1);
}

TEST_CASE("a server that is missing after an outage is kept for a while")
{
    two_servers away(5s);
    away.state_.record_store_failure(away.now_ - 1s);
    away.list_without_first();
    CHECK(away.servers_.size() == 2);
    away.state_.tick(away.now_ + 1900ms);
    CHECK(away.servers_.size() == 2);
    away.state_.tick(away.now_ + 3s);
    CHECK(away.servers_.size() == 1);
}

TEST_CASE("a node learns from its peers that the store was away")
{
    two_servers away(5s);
    away.state_.record_store_failure(away.now_ - 1s);
    // A peer that follows the store had an answer, and this node asks it.
    away.state_.record_store_contact(away.now_, 20, "peer");
    away.state_.update_servers({20, {}, {"i-1"}, false});
    CHECK(away.servers_.size() == 2);
    away.state_.tick(away.now_ + 3s);
    CHECK(away.servers_.size() == 1);
}

TEST_CASE("a peer's contact confirms only the list that this node has")
{
    two_servers behind(1s);
    // The peer had news at once, which this node gets later.
    behind.state_.record_store_contact(behind.now_, 20, "peer");
    behind.state_.update_servers({20, {}, {"i-1"}, false});
    behind.state_.tick(behind.now_ + 749ms);
    CHECK(behind.servers_.size() == 2);
    behind.state_.tick(behind.now_ + 751ms);
    CHECK(behind.servers_.size() == 1);
}

// Guards against servers that are forgotten because a list couldn't be read to
// its end, and against removed ones that stay because of it.
TEST_CASE("a list with gaps says nothing about the servers in a gap")
{
    fixture r;
    r.state_.on_list("servers", {{{"a-1", 1, false, ready},
                                  {"i-1", 1, false, ready},
                                  {"i-2", 1, false, ready}},
                                 10,
                                 {}});
    r.state_.on_list("servers",
                     {{{"a-2", 2, false, ready}}, 20, {{"i-1", {}}}});
    CHECK(r.servers_.contains("a-2"));
    CHECK(r.servers_.contains("i-2"));
    CHECK(r.state_.changes_since(10).removed_ ==
          std::vector<std::string>{"a-1", "i-1"});
}

// Guards against entries of other writers that fill the memory of each node, as
// they were kept for peers.
TEST_CASE("only documents that name a server are kept and passed on")
{
    fixture r;
    const std::string odd(16'000, '7');
    r.state_.on_list(
        "servers",
        {{{"i-1", 1, false, ready}, {"odd-1", 2, false, odd}}, 10, {}});
    for (std::uint64_t i = 0; i < 100; ++i)
    {
        r.state_.on_changes(
            "servers",
            {{{{"odd-" + std::to_string(i), i, false, odd}, false}}, 11 + i});
    }
    CHECK(r.state_.changes_since(0).documents_.size() == 1);
    // An overwritten entry names no server.
    r.state_.on_changes("servers", {{{{"i-1", 200, false, odd}, false}}, 200});
    CHECK(r.state_.changes_since(150).documents_.empty());
    CHECK(r.state_.changes_since(150).removed_ ==
          std::vector<std::string>{"i-1"});
}

// A list with gaps says nothing of the names in them, whoever passes it on.
TEST_CASE("a list with gaps takes no server from a peer that knows it")
{
    fixture knowing;
    knowing.state_.on_list("servers", {{{"i-1", 1, false, ready}}, 5, {}});
    fixture started;
    started.state_.on_list("servers", {{}, 10, {{"", std::nullopt}}});
    knowing.state_.update_servers(
        started.state_.changes_since(knowing.state_.servers_revision()));
    knowing.state_.tick(boot_clock().now() + 1min);
    CHECK(knowing.servers_.contains("i-1"));
}
