#include "dispatch/peer_queues.hpp"

namespace peridotspar::dispatch
{

namespace
{

/// A line that was told of longer ago counts as empty.
constexpr duration report_lifetime = std::chrono::seconds(2);

bool is_ahead(const queue_summary& p_summary, const request_profile& p_request)
{
    return p_summary.service_ == p_request.service_ &&
           (p_summary.priority_ < p_request.priority_ ||
            (p_summary.priority_ == p_request.priority_ &&
             p_summary.answer_target_ <= p_request.answer_target_));
}

} // namespace

void peer_queues::update(const node_id& p_peer,
                         std::vector<queue_summary> p_summaries,
                         time_point p_now)
{
    if (p_summaries.empty())
    {
        reports_.erase(p_peer);
        return;
    }
    reports_[p_peer] = {std::move(p_summaries), p_now};
}

duration peer_queues::prefill_ahead_of(const request_profile& p_request,
                                       time_point p_now) const
{
    duration total{};
    for (const auto& [peer, report] : reports_)
    {
        if (p_now - report.reported_at_ > report_lifetime)
        {
            continue;
        }
        for (const auto& summary : report.queued_)
        {
            total += is_ahead(summary, p_request) ? summary.prefill_time_
                                                  : duration::zero();
        }
    }
    return total;
}

} // namespace peridotspar::dispatch
