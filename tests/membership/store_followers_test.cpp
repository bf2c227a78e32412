#include "membership/store_followers.hpp"

#include <algorithm>

#include <doctest/doctest.h>

using namespace peridotspar;

namespace
{

constexpr std::size_t node_count = 72;
constexpr std::size_t follower_count = 5;

std::vector<peer_state> fleet()
{
    std::vector<peer_state> all;
    for (std::size_t i = 0; i < node_count; ++i)
    {
        peer_state peer;
        peer.peer_address_ = "10.0.0." + std::to_string(i) + ":8229";
        peer.in_contact_ = true;
        all.push_back(peer);
    }
    return all;
}

/// The indices of the nodes that follow the store.
std::vector<std::size_t>
follower_indices(const std::vector<peer_state>& p_fleet)
{
    std::vector<std::size_t> indices;
    for (std::size_t i = 0; i < p_fleet.size(); ++i)
    {
        std::vector<peer_state> others = p_fleet;
        others.erase(others.begin() + static_cast<std::ptrdiff_t>(i));
        if (follows_store(p_fleet[i].peer_address_, others))
        {
            indices.push_back(i);
        }
    }
    return indices;
}

} // namespace

TEST_CASE("a few of many nodes follow the store")
{
    CHECK(follower_indices(fleet()).size() == follower_count);
}

TEST_CASE("followers that lose contact with the store or leave are replaced")
{
    auto all = fleet();
    const auto first = follower_indices(all);
    all[first[0]].in_contact_ = false;
    all[first[1]].leaving_ = true;
    const auto replaced = follower_indices(all);
    // Those two still follow the store, because only they can notice that they
    // reach it again.
    CHECK(replaced.size() == follower_count + 2);
    for (const std::size_t node : first)
    {
        CHECK(std::count(replaced.begin(), replaced.end(), node) == 1);
    }
}

TEST_CASE("all nodes follow the store if none is in contact with it")
{
    auto all = fleet();
    for (auto& peer : all)
    {
        peer.in_contact_ = false;
    }
    CHECK(follower_indices(all).size() == node_count);
}
