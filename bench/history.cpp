#include "bench/history.hpp"

namespace peridotspar::bench
{

namespace
{

std::string request_name(const request_history& p_request)
{
    return "request " + std::to_string(p_request.plan_.content_id_);
}

} // namespace

void check_load_shedding(history& r_history, const planned_request& p_request,
                         tier p_tier,
                         const std::vector<attempt_properties>& p_running,
                         time_point p_now)
{
    for (const auto& attempt : p_running)
    {
        if (attempt.pool_ == p_request.pool_ && attempt.tier_ > p_tier &&
            attempt.idempotent_ && !attempt.on_minimum_share_)
        {
            r_history.violations_.push_back(
                {p_now,
                 "request " + std::to_string(p_request.content_id_) +
                     " of tier " + std::to_string(p_tier.value()) +
                     " was refused as overloaded while preemptible tier " +
                     std::to_string(attempt.tier_.value()) + " was running"});
            return;
        }
    }
}

void check_preemption(history& r_history, const attempt_properties& p_victim,
                      const attempt_properties& p_preemptor, time_point p_now)
{
    if (p_victim.tier_ > p_preemptor.tier_ || p_victim.borrowed_)
    {
        return;
    }
    r_history.violations_.push_back(
        {p_now, "tier " + std::to_string(p_victim.tier_.value()) +
                    " was preempted by tier " +
                    std::to_string(p_preemptor.tier_.value())});
}

void check_final_state(history& r_history)
{
    for (const auto& request : r_history.requests_)
    {
        if (!request.plan_.idempotent_ && request.executions_ > 1)
        {
            r_history.violations_.push_back(
                {request.ended_,
                 request_name(request) +
                     " is not idempotent and ran more than once"});
        }
        if (request.completed_ &&
            request.delivered_tokens_ != request.plan_.output_tokens_)
        {
            r_history.violations_.push_back(
                {request.ended_,
                 request_name(request) + " completed with missing tokens"});
        }
        if (!request.completed_ && !request.refused_ && !request.node_lost_)
        {
            r_history.violations_.push_back(
                {request.ended_, request_name(request) + " was not answered"});
        }
    }
}

} // namespace peridotspar::bench
