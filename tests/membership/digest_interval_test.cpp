#include "membership/digest_interval.hpp"

#include <doctest/doctest.h>

using namespace peridotspar;
using namespace std::chrono_literals;

namespace
{

/// Digests a second that a node gets, if a third of its peers are loaded.
double digests_per_s(std::size_t p_peers)
{
    constexpr std::size_t followers = 5;
    const std::size_t loaded = p_peers / 3;
    const auto rate = [&](node_activity p_activity, std::size_t p_nodes)
    {
        return static_cast<double>(p_nodes) /
               to_seconds(digest_interval(p_activity, p_peers));
    };
    return rate(node_activity::follower, followers) +
           rate(node_activity::loaded, loaded) +
           rate(node_activity::idle, p_peers - loaded - followers);
}

} // namespace

TEST_CASE("in a small fleet all nodes send digests at the full rate")
{
    for (const auto activity :
         {node_activity::idle, node_activity::loaded, node_activity::follower})
    {
        CHECK(digest_interval(activity, 8) == 200ms);
        CHECK(digest_interval(activity, 24) == 200ms);
    }
}

TEST_CASE("followers that die are missed soon, whatever else nodes do")
{
    // A peer is live for 4.5 of its intervals.
    for (const std::size_t peers : {71U, 194U})
    {
        CAPTURE(peers);
        CHECK(4.5 *
                  to_seconds(digest_interval(node_activity::follower, peers)) <=
              2);
    }
}

TEST_CASE("the rate of digests that a node gets stays bounded")
{
    for (const std::size_t peers : {24U, 71U, 194U, 349U, 999U})
    {
        CAPTURE(peers);
        // 24 nodes at the full rate send 120 a second.
        CHECK(digests_per_s(peers) <= 150);
    }
}
