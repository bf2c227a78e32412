#include "membership/peer_table.hpp"

namespace peridotspar
{

namespace
{

using namespace std::chrono_literals;

/// A peer is live until this many digest intervals after its last digest.
constexpr double liveness_intervals = 4.5;
/// A peer is prompt until this many; a single digest may be lost.
constexpr double promptness_intervals = 2.3;
/// An address without digests is kept, and sent digests, for this long.
constexpr duration silent_peer_retention = 60s;
/// A peer without requests for longer than this isn't loaded.
constexpr duration load_retention = 10s;

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
        found->second.added_at_ = p_now;
    }
}

bool peer_table::update(const peer_state& p_state)
{
    if (p_state.peer_address_ == own_address_)
    {
        return false;
    }
    auto& known = entries_[p_state.peer_address_];
    const bool is_stale =
        known.has_state_ && (p_state.started_ms_ < known.state_.started_ms_ ||
                             (p_state.started_ms_ == known.state_.started_ms_ &&
                              p_state.sequence_ <= known.state_.sequence_));
    if (is_stale)
    {
        return false;
    }
    known.state_ = p_state;
    known.has_state_ = true;
    return true;
}

const peer_state* peer_table::find(const std::string& p_address) const
{
    const auto found = entries_.find(p_address);
    const bool known = found != entries_.end() && found->second.has_state_;
    return known ? &found->second.state_ : nullptr;
}

bool peer_table::is_within(const peer_state& p_peer, double p_intervals,
                           time_point p_now) const
{
    const duration interval = p_peer.digest_interval_ > duration::zero()
                                  ? p_peer.digest_interval_
                                  : digest_interval_;
    return to_seconds(p_now - p_peer.received_at_) <
           p_intervals * to_seconds(interval);
}

bool peer_table::is_live(const peer_state& p_peer, time_point p_now) const
{
    return is_within(p_peer, liveness_intervals, p_now);
}

bool peer_table::is_prompt(const peer_state& p_peer, time_point p_now) const
{
    return is_within(p_peer, promptness_intervals, p_now);
}

void peer_table::record_load(const std::string& p_address, time_point p_now)
{
    const auto found = entries_.find(p_address);
    if (found != entries_.end())
    {
        found->second.last_load_at_ = p_now;
    }
}

std::vector<std::string> peer_table::loaded_peers(time_point p_now) const
{
    std::vector<std::string> addresses;
    for (const auto& [address, known] : entries_)
    {
        if (known.has_state_ && is_live(known.state_, p_now) &&
            p_now - known.last_load_at_ < load_retention)
        {
            addresses.push_back(address);
        }
    }
    return addresses;
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
        if (known.has_state_ && is_live(known.state_, p_now))
        {
            live.push_back(known.state_);
        }
    }
    return live;
}

void peer_table::remove_expired(time_point p_now)
{
    std::erase_if(entries_,
                  [&](const auto& p_item)
                  {
                      const auto& known = p_item.second;
                      const time_point last_active =
                          known.has_state_ ? known.state_.received_at_
                                           : known.added_at_;
                      return p_now - last_active > silent_peer_retention;
                  });
}

} // namespace peridotspar
