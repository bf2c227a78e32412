#include "usage/fleet_clock.hpp"

#include <algorithm>
#include <chrono>

namespace peridotspar
{
namespace
{

using namespace std::chrono_literals;

/// A peer that hasn't been heard for this long is dropped.
constexpr duration peer_lifetime = 15s;
/// The median of 350 offsets is not computed at each of the calls.
constexpr duration median_interval = 200ms;
/// Messages take up to 200 ms; a larger difference is a step of the clock.
constexpr duration max_delay = 250ms;
/// A step back looks like a message that was delayed in the socket's buffer
/// while this node was suspended. Such messages are read within a few
/// milliseconds, so a step is believed only if it is seen again later.
constexpr duration confirm_after = 300ms;
/// Clocks are slewed by up to 500 ppm, so an older offset may be wrong by some
/// milliseconds.
constexpr duration offset_interval = 10s;
/// The node is called every 20 ms; a longer gap means that it was suspended.
constexpr duration suspended_after = 1s;
constexpr std::size_t max_peers = 1000;
constexpr std::int64_t max_unix_ms = 100'000'000'000'000;

bool is_sane(std::int64_t p_unix_ms)
{
    return p_unix_ms >= 0 && p_unix_ms <= max_unix_ms;
}

duration offset_to_boot(std::int64_t p_unix_ms, time_point p_now)
{
    return std::chrono::milliseconds(p_unix_ms) - p_now.time_since_epoch();
}

duration distance(duration p_left, duration p_right)
{
    return std::chrono::abs(p_left - p_right);
}

/// The median. Of the two values in the middle of an even number, it is the one
/// that is nearer to `p_last`: when exactly half of the clocks step, the time
/// doesn't follow them.
duration median_of(std::vector<duration> p_offsets, duration p_last)
{
    const auto upper =
        p_offsets.begin() + static_cast<std::ptrdiff_t>(p_offsets.size() / 2);
    std::nth_element(p_offsets.begin(), upper, p_offsets.end());
    if (p_offsets.size() % 2 == 1)
    {
        return *upper;
    }
    const duration lower = *std::max_element(p_offsets.begin(), upper);
    return distance(lower, p_last) <= distance(*upper, p_last) ? lower : *upper;
}

} // namespace

duration fleet_clock::peer_clock::offset() const
{
    return std::max(highest_, previous_highest_);
}

void fleet_clock::peer_clock::restart(duration p_offset, time_point p_now)
{
    highest_ = p_offset;
    previous_highest_ = p_offset;
    since_ = p_now;
    suspected_.reset();
}

void fleet_clock::peer_clock::suspect(duration p_offset, time_point p_now)
{
    if (!suspected_ || distance(*suspected_, p_offset) > max_delay)
    {
        suspected_ = p_offset;
        suspected_at_ = p_now;
        return;
    }
    suspected_ = std::max(*suspected_, p_offset);
    if (p_now - suspected_at_ >= confirm_after)
    {
        restart(*suspected_, p_now);
    }
}

void fleet_clock::peer_clock::add(duration p_offset, time_point p_now)
{
    heard_ = p_now;
    if (p_offset > offset() + max_delay)
    {
        restart(p_offset, p_now);
        return;
    }
    if (p_offset < offset() - max_delay)
    {
        suspect(p_offset, p_now);
        return;
    }
    suspected_.reset();
    if (p_now - since_ >= offset_interval)
    {
        previous_highest_ = highest_;
        highest_ = p_offset;
        since_ = p_now;
    }
    highest_ = std::max(highest_, p_offset);
}

void fleet_clock::set_own(std::int64_t p_unix_ms, time_point p_now)
{
    if (!is_sane(p_unix_ms))
    {
        return;
    }
    const duration gap = p_now - own_set_at_;
    if (own_offset_ && gap > suspended_after)
    {
        // While this node was suspended, it couldn't hear anyone.
        for (auto& [name, peer] : peers_)
        {
            peer.heard_ = std::min(peer.heard_ + gap, p_now);
        }
    }
    own_offset_ = offset_to_boot(p_unix_ms, p_now);
    own_set_at_ = p_now;
    if (p_now - median_at_ < median_interval)
    {
        return;
    }
    std::erase_if(peers_, [&](const auto& p_entry)
                  { return p_now - p_entry.second.heard_ >= peer_lifetime; });
    update_median(p_now);
}

void fleet_clock::record_peer(const std::string& p_peer, std::int64_t p_unix_ms,
                              time_point p_now)
{
    if (!is_sane(p_unix_ms))
    {
        return;
    }
    const duration offset = offset_to_boot(p_unix_ms, p_now);
    const auto known = peers_.find(p_peer);
    if (known != peers_.end())
    {
        known->second.add(offset, p_now);
        return;
    }
    if (peers_.size() >= max_peers)
    {
        return;
    }
    peer_clock& added = peers_[p_peer];
    added.restart(offset, p_now);
    added.heard_ = p_now;
    peers_changed_ = true;
}

bool fleet_clock::needs_median(time_point p_now) const
{
    return !median_ || median_is_own_ || peers_changed_ ||
           p_now - median_at_ >= median_interval;
}

void fleet_clock::update_median(time_point p_now) const
{
    std::vector<duration> offsets;
    offsets.reserve(peers_.size() + 1);
    for (const auto& [name, peer] : peers_)
    {
        offsets.push_back(peer.offset());
    }
    if (own_offset_)
    {
        offsets.push_back(*own_offset_);
    }
    median_is_own_ = peers_.empty();
    peers_changed_ = false;
    median_at_ = p_now;
    if (offsets.empty())
    {
        median_.reset();
        return;
    }
    const duration last = median_.value_or(own_offset_.value_or(offsets[0]));
    median_ = median_of(std::move(offsets), last);
}

std::int64_t fleet_clock::unix_ms(time_point p_now) const
{
    if (needs_median(p_now))
    {
        update_median(p_now);
    }
    if (!median_)
    {
        return 0;
    }
    return std::chrono::floor<std::chrono::milliseconds>(
               p_now.time_since_epoch() + *median_)
        .count();
}

} // namespace peridotspar
