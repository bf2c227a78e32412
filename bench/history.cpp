#include "bench/history.hpp"

namespace peridotspar::bench
{

namespace
{

std::string name_of(const request_history& p_request)
{
    return "request " + std::to_string(p_request.plan_.content_);
}

} // namespace

void check_shed(history& r_history, const planned_request& p_request,
                tier p_tier, const std::vector<running_work>& p_running,
                time_point p_now)
{
    for (const auto& work : p_running)
    {
        if (work.pool_ == p_request.pool_ && work.tier_ > p_tier &&
            work.idempotent_ && !work.reserved_)
        {
            r_history.violations_.push_back(
                {p_now, "request " + std::to_string(p_request.content_) +
                            " of tier " + std::to_string(p_tier.value()) +
                            " was shed while tier " +
                            std::to_string(work.tier_.value()) + " ran"});
            return;
        }
    }
}

void check_preemption(history& r_history, const running_work& p_victim,
                      const running_work& p_winner, time_point p_now)
{
    if (p_victim.tier_ > p_winner.tier_ || p_victim.borrowed_)
    {
        return;
    }
    r_history.violations_.push_back(
        {p_now, "tier " + std::to_string(p_victim.tier_.value()) +
                    " was preempted for tier " +
                    std::to_string(p_winner.tier_.value())});
}

void check_end(history& r_history)
{
    for (const auto& request : r_history.requests_)
    {
        if (!request.plan_.idempotent_ && request.starts_ > 1)
        {
            r_history.violations_.push_back(
                {request.ended_, name_of(request) + " ran twice"});
        }
        if (request.whole_ &&
            request.delivered_ != request.plan_.output_tokens_)
        {
            r_history.violations_.push_back(
                {request.ended_, name_of(request) + " isn't whole"});
        }
        if (!request.whole_ && !request.refused_ && !request.lost_)
        {
            r_history.violations_.push_back(
                {request.ended_, name_of(request) + " got no answer"});
        }
    }
}

} // namespace peridotspar::bench
