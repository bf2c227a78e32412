#include "dispatch/peer_loads.hpp"

#include <algorithm>

namespace peridotspar::dispatch
{

namespace
{

double weight_of(const running_count& p_count, time_point p_heard)
{
    return to_seconds(p_count.unread_) * to_seconds(p_heard.time_since_epoch());
}

} // namespace

void peer_loads::take_in(const load& p_load)
{
    total_ += p_load.count_;
    weighted_heard_s_ += weight_of(p_load.count_, p_load.heard_);
}

void peer_loads::take_out(const load& p_load)
{
    total_ -= p_load.count_;
    weighted_heard_s_ -= weight_of(p_load.count_, p_load.heard_);
    if (total_.unread_ == duration::zero())
    {
        weighted_heard_s_ = 0; // Sums of fractions leave a rest.
    }
}

void peer_loads::set(const node_id& p_peer, const running_count& p_count,
                     time_point p_now)
{
    erase(p_peer);
    const load told{p_count, p_now};
    take_in(told);
    peers_.emplace(p_peer, told);
}

void peer_loads::add(const node_id& p_peer, duration p_pause,
                     std::uint64_t p_tokens, duration p_reading,
                     time_point p_now)
{
    load told{{}, p_now};
    if (const auto known = peers_.find(p_peer); known != peers_.end())
    {
        told = known->second;
    }
    const double before = to_seconds(told.count_.unread_);
    told.count_.add(true, p_pause, p_tokens);
    told.count_.unread_ += p_reading;
    // The mean of both words' times, by what they tell of.
    const double after = to_seconds(told.count_.unread_);
    const double share = after > 0 ? before / after : 0;
    const duration age = p_now - told.heard_;
    told.heard_ = p_now - from_seconds(share * to_seconds(age));
    erase(p_peer);
    take_in(told);
    peers_.emplace(p_peer, told);
}

void peer_loads::erase(const node_id& p_peer)
{
    const auto known = peers_.find(p_peer);
    if (known != peers_.end())
    {
        take_out(known->second);
        peers_.erase(known);
    }
}

void peer_loads::forget_before(time_point p_oldest)
{
    for (auto each = peers_.begin(); each != peers_.end();)
    {
        if (each->second.heard_ >= p_oldest)
        {
            ++each;
            continue;
        }
        take_out(each->second);
        each = peers_.erase(each);
    }
}

duration peer_loads::unread(duration p_own, time_point p_now) const
{
    const double told = to_seconds(total_.unread_);
    if (told <= 0)
    {
        return {};
    }
    const double heard = weighted_heard_s_ / told;
    const double age =
        std::max(0.0, to_seconds(p_now.time_since_epoch()) - heard);
    const double all = told + to_seconds(p_own);
    return from_seconds(told * std::max(0.0, 1 - age / all));
}

} // namespace peridotspar::dispatch
