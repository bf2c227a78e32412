#include "dispatch/wait_queue.hpp"

#include <algorithm>
#include <numeric>
#include <vector>

namespace peridotspar::dispatch
{

namespace
{

/// A request is blocked by one ahead of it whose prefill takes at most this
/// many times as long as its own.
constexpr int max_blocking_ratio = 2;

bool waits_for(duration p_prefill_time, duration p_ahead)
{
    return p_ahead <= p_prefill_time * max_blocking_ratio;
}

} // namespace

wait_queue::key wait_queue::make_key(const request_profile& p_request,
                                     queued_request_id p_id)
{
    return {p_request.priority_, p_request.answer_target_, p_request.arrived_,
            p_id};
}

void wait_queue::add(const request_profile& p_request, queued_request_id p_id,
                     duration p_prefill_time)
{
    const bool added =
        queues_[p_request.service_]
            .emplace(make_key(p_request, p_id),
                     queued_request{p_prefill_time, p_request.message_bytes_})
            .second;
    size_ += added ? 1 : 0;
}

void wait_queue::remove(const request_profile& p_request,
                        queued_request_id p_id)
{
    const auto found = queues_.find(p_request.service_);
    if (found != queues_.end())
    {
        size_ -= found->second.erase(make_key(p_request, p_id));
    }
}

duration wait_queue::prefill_ahead_of(const request_profile& p_request) const
{
    const auto found = queues_.find(p_request.service_);
    duration total{};
    if (found == queues_.end())
    {
        return total;
    }
    const auto end = found->second.lower_bound(make_key(p_request, 0));
    for (auto it = found->second.begin(); it != end; ++it)
    {
        total += it->second.prefill_time_;
    }
    return total;
}

std::size_t wait_queue::bytes_ahead_of(const request_profile& p_request) const
{
    const auto found = queues_.find(p_request.service_);
    if (found == queues_.end())
    {
        return 0;
    }
    const auto end = found->second.lower_bound(make_key(p_request, 0));
    return std::accumulate(found->second.begin(), end, std::size_t{0},
                           [](std::size_t p_sum, const auto& p_item)
                           { return p_sum + p_item.second.message_bytes_; });
}

bool wait_queue::is_blocked(const request_profile& p_request,
                            duration p_prefill_time) const
{
    const auto found = queues_.find(p_request.service_);
    if (found == queues_.end())
    {
        return false;
    }
    const auto end = found->second.lower_bound(make_key(p_request, 0));
    return std::any_of(
        found->second.begin(), end,
        [p_prefill_time](const auto& p_item)
        { return waits_for(p_prefill_time, p_item.second.prefill_time_); });
}

std::vector<queue_summary> wait_queue::summaries() const
{
    std::vector<queue_summary> summaries;
    for (const auto& [service, waiting] : queues_)
    {
        for (const auto& [position, entry] : waiting)
        {
            const bool same_group =
                !summaries.empty() && summaries.back().service_ == service &&
                summaries.back().priority_ == position.priority_ &&
                summaries.back().answer_target_ == position.answer_target_;
            if (!same_group)
            {
                summaries.push_back(
                    {service, position.priority_, position.answer_target_, {}});
            }
            summaries.back().prefill_time_ += entry.prefill_time_;
        }
    }
    return summaries;
}

void wait_queue::try_dispatch(
    const std::function<bool(queued_request_id)>& p_try_dispatch)
{
    for (auto& [service, waiting] : queues_)
    {
        try_dispatch_queue(waiting, p_try_dispatch);
    }
}

void wait_queue::try_dispatch_queue(
    service_queue& r_queue,
    const std::function<bool(queued_request_id)>& p_try_dispatch)
{
    // Dispatching a request may end others, which removes them from the queue,
    // so this iterates over a copy.
    const std::vector<std::pair<key, queued_request>> waiting(r_queue.begin(),
                                                              r_queue.end());
    duration smallest_blocked = duration::max();
    for (const auto& [position, entry] : waiting)
    {
        if (!r_queue.contains(position) ||
            waits_for(entry.prefill_time_, smallest_blocked))
        {
            continue;
        }
        if (p_try_dispatch(position.id_))
        {
            size_ -= r_queue.erase(position);
            continue;
        }
        smallest_blocked = std::min(smallest_blocked, entry.prefill_time_);
    }
}

} // namespace peridotspar::dispatch
