#include "membership/fetch_policy.hpp"

#include <algorithm>
#include <numeric>
#include <vector>

#include <doctest/doctest.h>

using namespace peridotspar;
using namespace std::chrono_literals;

namespace
{

const time_point start{1h};
constexpr std::uint64_t old_version = 23;
constexpr std::uint64_t new_version = 24;

} // namespace

TEST_CASE(
    "a node fetches from the one peer that is ahead among peers that aren't")
{
    // Between any two digests of the peer that is ahead, those of four peers
    // with the old version arrive. They must not put off the fetch.
    fetch_policy policy(1);
    bool fetched = false;
    for (int i = 0; i < 10 && !fetched; ++i)
    {
        const auto now = start + i * 50ms;
        for (int peer = 0; peer < 4; ++peer)
        {
            CHECK_FALSE(
                policy.should_fetch(old_version, old_version, false, now));
        }
        fetched = policy.should_fetch(old_version, new_version, false, now);
    }
    CHECK(fetched);
}

TEST_CASE(
    "a node that follows the store fetches only after a wait for its update")
{
    fetch_policy policy(1);
    CHECK_FALSE(policy.should_fetch(old_version, new_version, true, start));
    CHECK_FALSE(
        policy.should_fetch(old_version, new_version, true, start + 300ms));
    CHECK(policy.should_fetch(old_version, new_version, true, start + 400ms));
    // The update arrived from the store meanwhile, so a newer version starts a
    // new wait.
    constexpr std::uint64_t newest_version = 25;
    CHECK_FALSE(
        policy.should_fetch(new_version, newest_version, true, start + 1s));
}

TEST_CASE("fetches from peers keep a minimum interval")
{
    fetch_policy policy(1);
    CHECK(policy.should_fetch(old_version, new_version, false, start));
    CHECK_FALSE(
        policy.should_fetch(old_version, new_version, false, start + 50ms));
    CHECK(policy.should_fetch(old_version, new_version, false, start + 150ms));
}

TEST_CASE("in a large fleet the nodes fetch an update at different times")
{
    constexpr std::size_t nodes = 195;
    std::vector<int> fetches_by_10ms(100);
    for (std::size_t node = 0; node < nodes; ++node)
    {
        fetch_policy policy(node + 1);
        policy.set_node_count(nodes);
        std::size_t tick = 0;
        while (!policy.should_fetch(old_version, new_version, false,
                                    start + tick * 10ms))
        {
            ++tick;
            REQUIRE(tick < fetches_by_10ms.size());
        }
        ++fetches_by_10ms[tick];
    }
    // 20 slots of 10 ms for 195 nodes, and a margin for chance.
    CHECK(*std::max_element(fetches_by_10ms.begin(), fetches_by_10ms.end()) <=
          25);
    CHECK(std::accumulate(fetches_by_10ms.begin(), fetches_by_10ms.begin() + 21,
                          0) == static_cast<int>(nodes));
}

TEST_CASE("a node that has none fetches from a peer that has one")
{
    fetch_policy policy(1);
    CHECK_FALSE(policy.should_fetch(0, 0, false, start));
    CHECK(policy.should_fetch(0, 20, false, start));
}
