#include "membership/divergence_policy.hpp"

#include <doctest/doctest.h>

using namespace peridotspar;
using namespace std::chrono_literals;

namespace
{

using action = divergence_policy::action;

const time_point start{1h};

peer_state peer_with(std::int64_t p_revision, std::uint64_t p_hash)
{
    peer_state peer;
    peer.servers_revision_ = p_revision;
    peer.servers_hash_ = p_hash;
    peer.in_contact_ = true;
    return peer;
}

} // namespace

TEST_CASE("a list is repaired if a follower has another one at its revision")
{
    divergence_policy policy;
    CHECK(policy.decide({7, 1, false}, peer_with(7, 1), start) == action::none);
    CHECK(policy.decide({7, 1, false}, peer_with(8, 2), start) == action::none);
    peer_state older_build = peer_with(7, 2);
    older_build.servers_hash_.reset();
    CHECK(policy.decide({7, 1, false}, older_build, start) == action::none);
    peer_state not_following = peer_with(7, 2);
    not_following.in_contact_ = false;
    CHECK(policy.decide({7, 1, false}, not_following, start) == action::none);
    CHECK(policy.decide({7, 1, false}, peer_with(7, 2), start) ==
          action::fetch_list);
}

TEST_CASE("two followers with other lists ask the store, not each other")
{
    divergence_policy policy;
    CHECK(policy.decide({7, 1, true}, peer_with(7, 2), start) ==
          action::list_store);
}

TEST_CASE("a difference that remains doesn't cause a repair each time")
{
    divergence_policy policy;
    CHECK(policy.decide({7, 1, false}, peer_with(7, 2), start) ==
          action::fetch_list);
    CHECK(policy.decide({7, 1, false}, peer_with(7, 2), start + 4999ms) ==
          action::none);
    CHECK(policy.decide({7, 1, false}, peer_with(7, 2), start + 5s) ==
          action::fetch_list);
}
