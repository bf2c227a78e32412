#include "policy/baselines.hpp"

#include <algorithm>

namespace peridotspar::policy
{

namespace
{

constexpr std::uint32_t max_attempts = 4;

} // namespace

void baseline_policy::handle(const event& p_event, time_point,
                             std::vector<action>& r_actions)
{
    actions_ = &r_actions;
    if (const auto* changed = std::get_if<catalogue_changed>(&p_event))
    {
        catalogue_ = changed->catalogue_;
        backends_.resize(catalogue_->backends_.size());
        members_.assign(catalogue_->pools_.size(), {});
        for (std::uint32_t i = 0; i < catalogue_->backends_.size(); ++i)
        {
            for (const pool_index member_of : catalogue_->backends_[i].pools_)
            {
                members_[member_of.value()].push_back(backend_index(i));
            }
        }
    }
    else if (const auto* arrived = std::get_if<request_arrived>(&p_event))
    {
        on_arrival(arrived->request_);
    }
    else if (const auto* ended = std::get_if<attempt_ended>(&p_event))
    {
        on_attempt_ended(*ended);
    }
    else if (const auto* output = std::get_if<output_received>(&p_event))
    {
        if (const auto found = attempts_.find(output->attempt_);
            found != attempts_.end())
        {
            found->second.received_ += output->tokens_;
        }
    }
    else if (const auto* report = std::get_if<load_reported>(&p_event))
    {
        backends_[report->backend_.value()].reported_load_ =
            report->running_ + report->waiting_;
    }
    dispatch_queued();
    actions_ = nullptr;
}

void baseline_policy::on_arrival(const request& p_request)
{
    queue_.push_back({p_request, backend_index(0), 0, 0});
}

void baseline_policy::on_attempt_ended(const attempt_ended& p_event)
{
    const auto found = attempts_.find(p_event.attempt_);
    if (found == attempts_.end())
    {
        return;
    }
    attempt_state ended = found->second;
    attempts_.erase(found);
    --backends_[ended.backend_.value()].running_count_;
    if (p_event.result_ == attempt_result::completed)
    {
        actions_->push_back(complete{ended.request_.id_});
    }
    else if (ended.request_.idempotent_ && ++ended.failures_ < max_attempts)
    {
        queue_.push_front(ended);
    }
    else
    {
        actions_->push_back(refuse{ended.request_.id_, refusal::backend_failed,
                                   verdict::may_have_run, duration(0)});
    }
}

bool baseline_policy::is_full(backend_index p_backend) const
{
    return backends_[p_backend.value()].running_count_ >=
           catalogue_->backends_[p_backend.value()].slots_;
}

backend_index baseline_policy::choose_backend(pool_index p_pool)
{
    const auto& members = members_[p_pool.value()];
    if (strategy_ == strategy::round_robin)
    {
        return members[next_member_++ % members.size()];
    }
    return *std::min_element(
        members.begin(), members.end(),
        [this](backend_index p_left, backend_index p_right)
        {
            return backends_[p_left.value()].reported_load_ <
                   backends_[p_right.value()].reported_load_;
        });
}

void baseline_policy::dispatch_queued()
{
    while (!queue_.empty())
    {
        const auto pool = queue_.front().request_.pool_;
        const auto& members = members_[pool.value()];
        const bool all_full = std::all_of(members.begin(), members.end(),
                                          [this](backend_index p_backend)
                                          { return is_full(p_backend); });
        if (all_full)
        {
            return;
        }
        backend_index chosen = choose_backend(pool);
        while (strategy_ == strategy::round_robin && is_full(chosen))
        {
            chosen = choose_backend(pool);
        }
        attempt_state next = queue_.front();
        queue_.pop_front();
        next.backend_ = chosen;
        start_attempt(next);
    }
}

void baseline_policy::start_attempt(const attempt_state& p_attempt)
{
    const attempt_id id(next_attempt_++);
    ++backends_[p_attempt.backend_.value()].running_count_;
    actions_->push_back(dispatch{p_attempt.request_.id_, id, p_attempt.backend_,
                                 tier(0), p_attempt.received_, false, false});
    attempts_.emplace(id, p_attempt);
}

} // namespace peridotspar::policy
