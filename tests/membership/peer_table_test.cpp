#include "membership/peer_table.hpp"

#include <doctest/doctest.h>

using namespace peridotspar;
using namespace std::chrono_literals;

namespace
{

const time_point start{1h};

peer_state peer(const std::string& p_address, std::int64_t p_started,
                std::int64_t p_sequence, time_point p_received_at = start)
{
    peer_state state;
    state.peer_address_ = p_address;
    state.started_ms_ = p_started;
    state.sequence_ = p_sequence;
    state.received_at_ = p_received_at;
    return state;
}

} // namespace

TEST_CASE("an old digest of a peer, or one from before its restart, is ignored")
{
    peer_table table("me");
    CHECK(table.update(peer("a", 5, 2)));
    CHECK_FALSE(table.update(peer("a", 5, 2)));
    CHECK_FALSE(table.update(peer("a", 5, 1)));
    CHECK_FALSE(table.update(peer("a", 4, 9)));
    CHECK(table.update(peer("a", 6, 1)));
    CHECK_FALSE(table.update(peer("me", 1, 1)));
}

TEST_CASE("live peers that reported requests recently are loaded")
{
    peer_table table("me");
    CHECK(table.update(peer("a", 1, 1, start + 9s)));
    CHECK(table.update(peer("b", 1, 1, start + 9s)));
    table.record_load("a", start);
    table.record_load("unknown", start);
    CHECK(table.loaded_peers(start + 9s) == std::vector<std::string>{"a"});
    CHECK(table.update(peer("a", 1, 2, start + 11s)));
    CHECK(table.loaded_peers(start + 11s).empty());
    table.record_load("b", start + 11s);
    // A silent peer needs no reports.
    CHECK(table.loaded_peers(start + 11s).empty());
}

TEST_CASE("a peer is judged by the interval that it gives itself")
{
    peer_table table("me");
    table.set_digest_interval(400ms);
    auto slow = peer("slow", 1, 1);
    slow.digest_interval_ = 1s;
    const auto silent_about_it = peer("old", 1, 1);
    CHECK(table.is_prompt(slow, start + 2200ms));
    CHECK_FALSE(table.is_prompt(slow, start + 2400ms));
    CHECK(table.is_live(slow, start + 4400ms));
    CHECK_FALSE(table.is_live(slow, start + 4600ms));
    CHECK(table.is_prompt(silent_about_it, start + 800ms));
    CHECK_FALSE(table.is_live(silent_about_it, start + 2s));
}

TEST_CASE("a silent peer isn't live, but is sent digests until it expires")
{
    peer_table table("me");
    table.add_candidate("b", start);
    table.add_candidate("me", start);
    CHECK(table.update(peer("a", 1, 1)));
    CHECK(table.live(start).size() == 1);
    CHECK(table.live(start + 2s).empty());
    CHECK(table.targets(start + 2s).size() == 2);
    table.remove_expired(start + 2min);
    CHECK(table.targets(start + 2min).empty());
}
