#include "membership/store_followers.hpp"

#include <algorithm>

#include <doctest/doctest.h>

using namespace peridotspar;

namespace
{

constexpr std::size_t nodes = 72;
constexpr std::size_t followers = 5;

std::vector<peer_state> fleet()
{
    std::vector<peer_state> all;
    for (std::size_t i = 0; i < nodes; ++i)
    {
        peer_state peer;
        peer.peers_ = "10.0.0." + std::to_string(i) + ":8229";
        peer.in_contact_ = true;
        all.push_back(peer);
    }
    return all;
}

/// The nodes of a fleet that follow, by their places in it.
std::vector<std::size_t> following(const std::vector<peer_state>& p_fleet)
{
    std::vector<std::size_t> found;
    for (std::size_t i = 0; i < p_fleet.size(); ++i)
    {
        std::vector<peer_state> others = p_fleet;
        others.erase(others.begin() + static_cast<std::ptrdiff_t>(i));
        if (follows_store(p_fleet[i].peers_, others))
        {
            found.push_back(i);
        }
    }
    return found;
}

} // namespace

TEST_CASE("a few of many nodes follow the store")
{
    CHECK(following(fleet()).size() == followers);
}

TEST_CASE("nodes that lose the store or leave are replaced")
{
    auto all = fleet();
    const auto first = following(all);
    all[first[0]].in_contact_ = false;
    all[first[1]].leaving_ = true;
    const auto then = following(all);
    // Those two still follow: only they know whether they reach it again.
    CHECK(then.size() == followers + 2);
    for (const std::size_t node : first)
    {
        CHECK(std::count(then.begin(), then.end(), node) == 1);
    }
}

TEST_CASE("where nobody reaches the store all try")
{
    auto all = fleet();
    for (auto& peer : all)
    {
        peer.in_contact_ = false;
    }
    CHECK(following(all).size() == nodes);
}
