#include "membership/peer_table.hpp"

namespace peridotspar
{

namespace
{

using namespace std::chrono_literals;

/// A node is live for so many gaps between digests after its last one.
constexpr double gaps_of_life = 4.5;
/// Silent addresses are still written to for that long.
constexpr duration tried_for = 60s;

} // namespace

void peer_table::add_candidate(const std::string& p_address, time_point p_now)
{
    if (p_address.empty() || p_address == own_address_)
    {
        return;
    }
    auto [found, added] = entries_.try_emplace(p_address);
    if (added)
    {
        found->second.added_ = p_now;
    }
}

bool peer_table::note(const peer_state& p_state)
{
    if (p_state.peers_ == own_address_)
    {
        return false;
    }
    auto& known = entries_[p_state.peers_];
    const bool old =
        known.heard_ && (p_state.started_ms_ < known.state_.started_ms_ ||
                         (p_state.started_ms_ == known.state_.started_ms_ &&
                          p_state.sequence_ <= known.state_.sequence_));
    if (old)
    {
        return false;
    }
    known.state_ = p_state;
    known.heard_ = true;
    return true;
}

bool peer_table::is_live(const peer_state& p_peer, time_point p_now) const
{
    return to_seconds(p_now - p_peer.heard_) <
           gaps_of_life * to_seconds(digest_gap_);
}

std::vector<std::string> peer_table::targets(time_point) const
{
    std::vector<std::string> addresses;
    addresses.reserve(entries_.size());
    for (const auto& [address, known] : entries_)
    {
        addresses.push_back(address);
    }
    return addresses;
}

std::vector<peer_state> peer_table::live(time_point p_now) const
{
    std::vector<peer_state> live;
    for (const auto& [address, known] : entries_)
    {
        if (known.heard_ && is_live(known.state_, p_now))
        {
            live.push_back(known.state_);
        }
    }
    return live;
}

void peer_table::forget_old(time_point p_now)
{
    std::erase_if(entries_,
                  [&](const auto& p_item)
                  {
                      const auto& known = p_item.second;
                      const time_point last =
                          known.heard_ ? known.state_.heard_ : known.added_;
                      return p_now - last > tried_for;
                  });
}

} // namespace peridotspar
