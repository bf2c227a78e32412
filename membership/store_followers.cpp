#include "membership/store_followers.hpp"

#include <algorithm>

#include <xxhash.h>

namespace peridotspar
{

namespace
{

/// Number of nodes that follow the store for all.
constexpr std::ptrdiff_t follower_count = 5;

std::uint64_t rank_of(const std::string& p_address)
{
    return XXH64(p_address.data(), p_address.size(), 0);
}

} // namespace

bool follows_store(const std::string& p_own_address,
                   const std::vector<peer_state>& p_live)
{
    const std::uint64_t own_rank = rank_of(p_own_address);
    const auto is_preferred = [own_rank](const peer_state& p_peer)
    {
        return p_peer.in_contact_ && !p_peer.leaving_ &&
               rank_of(p_peer.peer_address_) < own_rank;
    };
    return std::count_if(p_live.begin(), p_live.end(), is_preferred) <
           follower_count;
}

} // namespace peridotspar
