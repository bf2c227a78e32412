// The end of attempts: retries and refusals.

#include "policy/decider.hpp"

#include "policy/hashing.hpp"

#include <algorithm>

namespace peridotspar::policy
{

namespace
{

/// A backend server that is sound this long after its first output wasn't made
/// to crash by a part of the prompt.
constexpr duration min_output_time = std::chrono::milliseconds(100);

} // namespace

void decider::check_output_continues(attempt_state& r_attempt)
{
    const auto& suspects = requests_.at(r_attempt.request_).spec_.suspects_;
    if (r_attempt.output_continued_ || suspects.empty() ||
        now_ - r_attempt.first_output_at_ < min_output_time)
    {
        return;
    }
    r_attempt.output_continued_ = true;
    crash_attribution_.record_answer({suspects.begin(), suspects.end() - 1},
                                     r_attempt.first_output_at_, now_);
}

void decider::record_crash(const attempt_state& p_attempt)
{
    const auto& suspects = requests_.at(p_attempt.request_).spec_.suspects_;
    if (suspects.empty())
    {
        return;
    }
    const auto& name = catalogue_->backends_[p_attempt.backend_.value()].name_;
    const auto first =
        p_attempt.output_continued_ ? suspects.end() - 1 : suspects.begin();
    crash_attribution_.record_crash(quarantine::server_key(hash_text(name)),
                                    {first, suspects.end()}, now_);
}

void decider::refuse_quarantined()
{
    if (crash_attribution_.take_changes().empty())
    {
        return;
    }
    std::vector<request_id> quarantined;
    for (const auto& [id, waiting] : requests_)
    {
        if (!waiting.attempt_ &&
            crash_attribution_.is_quarantined(waiting.spec_.suspects_))
        {
            quarantined.push_back(id);
        }
    }
    std::sort(quarantined.begin(), quarantined.end());
    for (const request_id id : quarantined)
    {
        request_state& candidate = requests_.at(id);
        dequeue(candidate);
        refuse_request(candidate, refusal::quarantined, duration(0));
    }
}

void decider::release_attempt(request_state& r_request)
{
    const auto found = attempts_.find(*r_request.attempt_);
    const attempt_state& attempt = found->second;
    backends_.record_stop(attempt.backend_, r_request.tier_, r_request.is_long_,
                          now_);
    std::erase(running_by_backend_[attempt.backend_.value()],
               *r_request.attempt_);
    r_request.slot_seconds_ += to_seconds(now_ - attempt.started_at_);
    if (r_request.on_minimum_share_)
    {
        --pool(r_request.spec_.pool_).minimum_share_running_;
        r_request.on_minimum_share_ = false;
    }
    cap_limiter_.adjust_running(r_request.spec_.account_, -1);
    attempts_.erase(found);
    r_request.attempt_.reset();
}

void decider::cancel_and_requeue(request_state& r_request,
                                 cancel_reason p_reason)
{
    actions_->push_back(
        cancel_attempt{r_request.spec_.id_, *r_request.attempt_, p_reason});
    release_attempt(r_request);
    if (r_request.borrowed_)
    {
        // It continues once its account has credit and is charged only for
        // its further output.
        r_request.borrowed_ = false;
        r_request.charged_tokens_ = r_request.received_tokens_;
    }
    enqueue(r_request, true);
}

void decider::move_to(request_state& r_request, backend_index p_backend)
{
    const dispatch_choice choice{&r_request, p_backend, r_request.borrowed_,
                                 r_request.on_minimum_share_};
    r_request.avoided_backend_ = attempts_.at(*r_request.attempt_).backend_;
    actions_->push_back(cancel_attempt{r_request.spec_.id_, *r_request.attempt_,
                                       cancel_reason::overdue});
    release_attempt(r_request);
    enqueue(r_request, true);
    start(choice);
}

bool decider::has_matching_backend(const request_state& p_request) const
{
    bool has_match = false;
    bool has_other_version = false;
    for (const auto backend : pools_[p_request.spec_.pool_.value()].subset_)
    {
        const bool matches = may_go_on_at(p_request, backend);
        has_other_version |= !matches;
        has_match |= matches && p_request.avoided_backend_ != backend;
    }
    return has_match || !has_other_version;
}

void decider::retry_or_refuse(request_state& r_request, bool p_may_retry)
{
    if (crash_tracker_.is_quarantined(r_request.spec_.fingerprint_) ||
        crash_attribution_.is_quarantined(r_request.spec_.suspects_))
    {
        refuse_request(r_request, refusal::quarantined, duration(0));
        return;
    }
    if (!p_may_retry || !has_matching_backend(r_request) ||
        ++r_request.failed_attempts_ >= tuning_.max_attempts_)
    {
        refuse_failed(r_request);
        return;
    }
    if (retry_budget_.try_consume())
    {
        enqueue(r_request, true);
        return;
    }
    if (r_request.received_tokens_ == 0)
    {
        refuse_failed(r_request);
        return;
    }
    // Its caller can't repeat what it already has, so it waits for the budget.
    r_request.awaits_retry_ = true;
    r_request.queued_at_ = now_;
    awaiting_retry_.push_back(r_request.spec_.id_);
}

void decider::resume_interrupted()
{
    while (!awaiting_retry_.empty())
    {
        const auto found = requests_.find(awaiting_retry_.front());
        if (found == requests_.end() || !found->second.awaits_retry_)
        {
            awaiting_retry_.pop_front();
            continue;
        }
        if (!retry_budget_.try_consume())
        {
            return;
        }
        awaiting_retry_.pop_front();
        request_state& resumed = found->second;
        resumed.awaits_retry_ = false;
        // Its longest wait counts from the loss of its server.
        const time_point interrupted_at = resumed.queued_at_;
        enqueue(resumed, true);
        resumed.queued_at_ = interrupted_at;
    }
}

void decider::refuse_failed(request_state& r_request)
{
    // Time that a backend server usually takes to restart.
    constexpr duration usual_restart_time = 2s;
    refuse_request(r_request, refusal::backend_failed,
                   with_jitter(usual_restart_time));
}

void decider::complete_request(request_state& r_request)
{
    const auto& spec = r_request.spec_;
    if (catalogue_->pools_[spec.pool_.value()].serves_model_)
    {
        output_predictor_.record_output(spec.class_,
                                        r_request.received_tokens_);
    }
    retry_budget_.record_success();
    crash_tracker_.record_completion(spec.fingerprint_, now_);
    pool(spec.pool_)
        .wait_estimator_.record_service_time(spec.class_,
                                             r_request.slot_seconds_);
    refund_unused_tokens(r_request);
    actions_->push_back(complete{spec.id_});
    requests_.erase(spec.id_);
}

void decider::refuse_request(request_state& r_request, refusal p_reason,
                             duration p_retry_after)
{
    refund_unused_tokens(r_request);
    const auto outcome =
        r_request.possibly_sent_ ? verdict::may_have_run : verdict::not_run;
    actions_->push_back(
        refuse{r_request.spec_.id_, p_reason, outcome, p_retry_after});
    requests_.erase(r_request.spec_.id_);
}

void decider::refund_unused_tokens(request_state& r_request)
{
    const double unused =
        r_request.charged_tokens_ - r_request.received_tokens_;
    if (!r_request.borrowed_ && unused > 0)
    {
        cap_limiter_.charge(r_request.spec_.account_, -unused, now_);
    }
    r_request.charged_tokens_ = r_request.received_tokens_;
}

} // namespace peridotspar::policy
