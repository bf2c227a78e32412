#include "daemon/routing_state.hpp"

#include <algorithm>

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

namespace
{

object_change put(const std::string& p_id, std::uint64_t p_revision,
                  const std::string& p_document = ready)
{
    return {{p_id, p_revision, false, p_document}, false};
}

object_change removal(const std::string& p_id, std::uint64_t p_revision)
{
    return {{p_id, p_revision, false, ready}, true};
}

/// A node that a peer told at revision 20 that i-1 was removed, and a node that
/// takes over all of its list a minute later.
struct late_answer : fixture
{
    late_answer()
    {
        state_.update_servers({10, {{"i-1", ready}, {"i-2", ready}}, {}, true});
        state_.update_servers({20, {{"i-3", ready}}, {"i-1"}, false});
    }
    /// Takes over the next news from a peer, as nothing is seen before.
    void go_on()
    {
        state_.update_servers({30, {{"i-4", ready}}, {}, false});
        state_.tick(boot_clock().now() + 1min);
        asking_.state_.update_servers(state_.changes_since(0));
    }
    [[nodiscard]] static std::string ids_of(const fixture& p_node)
    {
        std::string ids;
        for (const auto& [id, entry] : p_node.servers_)
        {
            ids += id + " ";
        }
        return ids;
    }
    fixture asking_;
};

} // namespace

// Guards against requests to a server that was removed (DRAIN): a list that the
// node asked for came after newer news from a peer.
TEST_CASE("a list that comes late brings no removed server back")
{
    late_answer r;
    r.state_.on_list(
        "servers",
        {{{"i-1", 1, false, ready}, {"i-2", 2, false, ready}}, 15, {}});
    CHECK(r.state_.servers_revision() == 20);
    r.go_on();
    CHECK(late_answer::ids_of(r) == "i-2 i-3 i-4 ");
    CHECK(late_answer::ids_of(r.asking_) == "i-2 i-3 i-4 ");
}

// Guards against the same by the answer to a watch that a node still had when
// it ceased to follow the store.
TEST_CASE("a watch's answer that comes late brings no removed server back")
{
    late_answer r;
    r.state_.on_changes("servers", {{put("i-1", 15)}, 16});
    r.go_on();
    CHECK(late_answer::ids_of(r) == "i-2 i-3 i-4 ");
    CHECK(late_answer::ids_of(r.asking_) == "i-2 i-3 i-4 ");
}

// Guards against nodes that refuse all requests: the answer to a watch, held up
// on its way, said that the servers' entries had lapsed, and they were back.
TEST_CASE("a watch's answer that comes late removes no server that is back")
{
    late_answer r;
    r.state_.on_changes("servers",
                        {{removal("i-2", 14), removal("i-3", 15)}, 15});
    r.go_on();
    CHECK(late_answer::ids_of(r) == "i-2 i-3 i-4 ");
    CHECK(late_answer::ids_of(r.asking_) == "i-2 i-3 i-4 ");
}

// A watch's answer may begin before the newest news and end after it.
TEST_CASE("of a watch's answer that overlaps known news only its end holds")
{
    late_answer r;
    r.state_.record_store_contact(boot_clock().now(), 20, "peer");
    r.state_.on_changes("servers",
                        {{put("i-1", 12), put("i-5", 13), removal("i-1", 18),
                          removal("i-5", 19), put("i-3", 20), put("i-6", 25),
                          removal("i-2", 26)},
                         27});
    // The removal of i-1 was known: it is not kept once more.
    CHECK(late_answer::ids_of(r) == "i-2 i-3 i-6 ");
    CHECK(r.state_.servers_revision() == 27);
    // A peer that had i-5 is told that it is gone.
    const auto removed = r.state_.changes_since(14).removed_;
    CHECK(std::count(removed.begin(), removed.end(), "i-5") == 1);
    r.go_on();
    CHECK(late_answer::ids_of(r) == "i-3 i-4 i-6 ");
    CHECK(late_answer::ids_of(r.asking_) == "i-3 i-4 i-6 ");
}

TEST_CASE(
    "a server that leaves and is removed in one answer is dropped at once")
{
    late_answer r;
    r.state_.record_store_contact(boot_clock().now(), 20, "peer");
    std::string leaving = ready;
    leaving.replace(leaving.find("\"ready\""), 7, "\"draining\"");
    r.state_.on_changes("servers",
                        {{put("i-2", 21, leaving), removal("i-2", 22)}, 22});
    CHECK_FALSE(r.servers_.contains("i-2"));
}

// A list's later pages are younger than its revision: a peer with that revision
// may lack what they had.
TEST_CASE("news that a list had before its watch is passed on to peers")
{
    fixture listing;
    fixture peer;
    peer.state_.update_servers({10, {{"i-1", ready}}, {}, true});
    listing.state_.on_list(
        "servers",
        {{{"i-1", 1, false, ready}, {"i-2", 11, false, ready}}, 10, {}});
    listing.state_.on_changes("servers", {{put("i-2", 11)}, 12});
    peer.state_.update_servers(listing.state_.changes_since(10));
    CHECK(peer.servers_.contains("i-2"));
    CHECK(peer.state_.servers_hash() == listing.state_.servers_hash());
}

// Guards against a wrong list that stays until the next change of that server.
TEST_CASE("a node with another list at the same revision can be repaired")
{
    fixture right;
    fixture wrong;
    right.state_.update_servers({10, {{"i-1", ready}}, {}, true});
    wrong.state_.update_servers({10, {{"i-2", ready}}, {}, true});
    CHECK(right.state_.servers_hash() != wrong.state_.servers_hash());
    wrong.state_.update_servers(right.state_.changes_since(0));
    CHECK(wrong.servers_.contains("i-2"));
    wrong.state_.repair_servers(right.state_.changes_since(0));
    wrong.state_.tick(boot_clock().now() + 1min);
    CHECK(late_answer::ids_of(wrong) == "i-1 ");
    CHECK(right.state_.servers_hash() == wrong.state_.servers_hash());
    // A list that is older than what is known repairs nothing.
    wrong.state_.update_servers({12, {{"i-3", ready}}, {}, false});
    wrong.state_.repair_servers(right.state_.changes_since(0));
    CHECK(late_answer::ids_of(wrong) == "i-1 i-3 ");
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
