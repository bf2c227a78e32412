#include "dispatch/peer_loads.hpp"

#include <algorithm>

namespace peridotspar::dispatch
{

namespace
{

double weighted_report_time(const server_load& p_load, time_point p_reported_at)
{
    return to_seconds(p_load.pending_prefill_) *
           to_seconds(p_reported_at.time_since_epoch());
}

} // namespace

void peer_loads::add_to_total(const peer_load& p_load)
{
    total_ += p_load.load_;
    weighted_report_time_s_ +=
        weighted_report_time(p_load.load_, p_load.reported_at_);
}

void peer_loads::subtract_from_total(const peer_load& p_load)
{
    total_ -= p_load.load_;
    weighted_report_time_s_ -=
        weighted_report_time(p_load.load_, p_load.reported_at_);
    if (total_.pending_prefill_ == duration::zero())
    {
        weighted_report_time_s_ = 0; // Sums of fractions leave a rest.
    }
}

void peer_loads::set(const node_id& p_peer, const server_load& p_load,
                     time_point p_now)
{
    erase(p_peer);
    const peer_load load{p_load, p_now};
    add_to_total(load);
    loads_.emplace(p_peer, load);
}

void peer_loads::add(const node_id& p_peer, duration p_pause,
                     std::uint64_t p_tokens, duration p_prefill_time,
                     time_point p_now)
{
    peer_load load{{}, p_now};
    if (const auto known = loads_.find(p_peer); known != loads_.end())
    {
        load = known->second;
    }
    const double before = to_seconds(load.load_.pending_prefill_);
    load.load_.add(true, p_pause, p_tokens);
    load.load_.pending_prefill_ += p_prefill_time;
    // The mean of both words' times, by what they tell of.
    const double after = to_seconds(load.load_.pending_prefill_);
    const double share = after > 0 ? before / after : 0;
    const duration age = p_now - load.reported_at_;
    load.reported_at_ = p_now - from_seconds(share * to_seconds(age));
    erase(p_peer);
    add_to_total(load);
    loads_.emplace(p_peer, load);
}

void peer_loads::erase(const node_id& p_peer)
{
    const auto known = loads_.find(p_peer);
    if (known != loads_.end())
    {
        subtract_from_total(known->second);
        loads_.erase(known);
    }
}

void peer_loads::erase_older_than(time_point p_oldest)
{
    for (auto it = loads_.begin(); it != loads_.end();)
    {
        if (it->second.reported_at_ >= p_oldest)
        {
            ++it;
            continue;
        }
        subtract_from_total(it->second);
        it = loads_.erase(it);
    }
}

duration peer_loads::pending_prefill(duration p_own, time_point p_now) const
{
    const double reported = to_seconds(total_.pending_prefill_);
    if (reported <= 0)
    {
        return {};
    }
    const double mean_report_time_s = weighted_report_time_s_ / reported;
    const double age = std::max(0.0, to_seconds(p_now.time_since_epoch()) -
                                         mean_report_time_s);
    const double total = reported + to_seconds(p_own);
    return from_seconds(reported * std::max(0.0, 1 - age / total));
}

} // namespace peridotspar::dispatch
