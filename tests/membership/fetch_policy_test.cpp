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

TEST_CASE("a node asks a peer that is ahead, however many others are not")
{
    // Four peers that are behind too are heard between any two words of the
    // one that is ahead.
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

TEST_CASE("a node that follows the store waits for its own news, not for ever")
{
    fetch_policy policy;
    CHECK_FALSE(policy.should_fetch(old_version, new_version, true, start));
    CHECK_FALSE(
        policy.should_fetch(old_version, new_version, true, start + 300ms));
    CHECK(policy.should_fetch(old_version, new_version, true, start + 400ms));
    // Its own news came meanwhile: the wait begins anew.
    const state_version newest_version{25, 20};
    CHECK_FALSE(
        policy.should_fetch(new_version, newest_version, true, start + 1s));
}

TEST_CASE("questions to peers keep a distance")
{
    fetch_policy policy;
    CHECK(policy.should_fetch(old_version, new_version, false, start));
    CHECK_FALSE(
        policy.should_fetch(old_version, new_version, false, start + 50ms));
    CHECK(policy.should_fetch(old_version, new_version, false, start + 150ms));
}
