#include "membership/fetch_policy.hpp"

#include <doctest/doctest.h>

using namespace peridotspar;
using namespace std::chrono_literals;

namespace
{

const time_point start{1h};
const state_version old_version{23, 20};
const state_version new_version{24, 20};

} // namespace

TEST_CASE(
    "a node fetches from the one peer that is ahead among peers that aren't")
{
    // Between any two digests of the peer that is ahead, those of four peers
    // with the old version arrive. They must not put off the fetch.
    fetch_policy policy;
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
    fetch_policy policy;
    CHECK_FALSE(policy.should_fetch(old_version, new_version, true, start));
    CHECK_FALSE(
        policy.should_fetch(old_version, new_version, true, start + 300ms));
    CHECK(policy.should_fetch(old_version, new_version, true, start + 400ms));
    // The update arrived from the store meanwhile, so a newer version starts a
    // new wait.
    const state_version newest_version{25, 20};
    CHECK_FALSE(
        policy.should_fetch(new_version, newest_version, true, start + 1s));
}

TEST_CASE("fetches from peers keep a minimum interval")
{
    fetch_policy policy;
    CHECK(policy.should_fetch(old_version, new_version, false, start));
    CHECK_FALSE(
        policy.should_fetch(old_version, new_version, false, start + 50ms));
    CHECK(policy.should_fetch(old_version, new_version, false, start + 150ms));
}
