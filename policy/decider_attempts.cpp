#include "policy/decider.hpp"

#include "policy/hashing.hpp"

#include <algorithm>
#include <cmath>

namespace peridotspar::policy
{

namespace
{

/// An engine stream that was silent this long is tried elsewhere.
constexpr double stall_gaps = 30;
constexpr duration stall_floor = 1s;

} // namespace

void decider::release(live_request& r_request)
{
    const auto found = attempts_.find(*r_request.attempt_);
    const live_attempt& attempt = found->second;
    backends_.record_stop(attempt.backend_, r_request.tier_, r_request.long_,
                          now_);
    std::erase(running_[attempt.backend_.value()], *r_request.attempt_);
    r_request.slot_seconds_ += to_seconds(now_ - attempt.started_);
    if (r_request.reserved_)
    {
        --pool(r_request.spec_.pool_).reserved_running_;
        r_request.reserved_ = false;
    }
    caps_.adjust_running(r_request.spec_.account_, -1);
    attempts_.erase(found);
    r_request.attempt_.reset();
}

void decider::preempt(live_request& r_request, abandon_reason p_reason)
{
    actions_->push_back(
        abandon{r_request.spec_.id_, *r_request.attempt_, p_reason});
    release(r_request);
    if (r_request.borrowed_)
    {
        // It runs on as any other once its account has credit again.
        r_request.borrowed_ = false;
        r_request.charged_ = r_request.received_;
    }
    enqueue(r_request, true);
}

void decider::retry_or_refuse(live_request& r_request, bool p_repeatable)
{
    if (crashes_.is_quarantined(r_request.spec_.fingerprint_))
    {
        give_up(r_request, refusal::quarantined, duration(0));
        return;
    }
    if (!p_repeatable || ++r_request.failures_ >= tuning_.most_attempts_ ||
        !retries_.try_consume())
    {
        constexpr duration usual_restart = 2s;
        give_up(r_request, refusal::backend_failed, with_jitter(usual_restart));
        return;
    }
    enqueue(r_request, true);
}

void decider::finish(live_request& r_request)
{
    const auto& spec = r_request.spec_;
    if (catalogue_->pools_[spec.pool_.value()].engines_)
    {
        outputs_.record_output(spec.class_, r_request.received_);
    }
    retries_.record_success();
    crashes_.record_completion(spec.fingerprint_, now_);
    pool(spec.pool_)
        .waits_.record_service_time(spec.class_, r_request.slot_seconds_);
    settle_charge(r_request);
    actions_->push_back(complete{spec.id_});
    requests_.erase(spec.id_);
}

void decider::give_up(live_request& r_request, refusal p_reason,
                      duration p_retry_after)
{
    settle_charge(r_request);
    const auto happened =
        r_request.sent_ ? verdict::may_have_run : verdict::not_run;
    actions_->push_back(
        refuse{r_request.spec_.id_, p_reason, happened, p_retry_after});
    requests_.erase(r_request.spec_.id_);
}

void decider::settle_charge(live_request& r_request)
{
    const double unused = r_request.charged_ - r_request.received_;
    if (!r_request.borrowed_ && unused > 0)
    {
        caps_.charge(r_request.spec_.account_, -unused, now_);
    }
    r_request.charged_ = r_request.received_;
}

bool decider::is_overdue(const live_attempt& p_attempt) const
{
    const live_request& owner = requests_.at(p_attempt.request_);
    const pool_index used_pool = owner.spec_.pool_;
    const double usual = backends_.median_first_token_s(used_pool);
    if (!owner.spec_.idempotent_ || usual <= 0 ||
        owner.failures_ >= tuning_.most_attempts_)
    {
        return false;
    }
    if (p_attempt.answered_)
    {
        const double gap = backends_.median_token_gap_s(used_pool);
        const auto silence = now_ - p_attempt.last_output_;
        return gap > 0 &&
               silence > std::max(stall_floor, from_seconds(stall_gaps * gap));
    }
    const double mean_prompt =
        std::max(1.0, pools_[used_pool.value()].prompt_tokens_.value());
    const double size = std::max(1.0, owner.spec_.prompt_tokens_ / mean_prompt);
    const auto limit =
        std::max(from_seconds(usual * size * tuning_.overdue_ratio_),
                 from_seconds(usual * size) + tuning_.overdue_floor_);
    return now_ - p_attempt.started_ > limit;
}

void decider::leave_slow()
{
    // A few tokens are waited for, which tell whether it is still slow.
    constexpr std::uint32_t probe_tokens = 3;
    std::vector<attempt_id> movable;
    for (const backend_index slow : backends_.slow_backends())
    {
        for (const attempt_id running : running_[slow.value()])
        {
            const live_attempt& attempt = attempts_.at(running);
            if (requests_.at(attempt.request_).spec_.idempotent_ &&
                attempt.tokens_ >= probe_tokens)
            {
                movable.push_back(running);
            }
        }
    }
    for (const attempt_id id : movable)
    {
        // Moving one may have preempted another.
        const auto found = attempts_.find(id);
        if (found == attempts_.end())
        {
            continue;
        }
        live_request& owner = requests_.at(found->second.request_);
        owner.avoid_ = found->second.backend_;
        const auto better = place(owner);
        if (better && !backends_.is_slow(*better) && !is_risky(owner, *better))
        {
            preempt(owner, abandon_reason::overdue);
            schedule(owner.spec_.pool_);
        }
    }
}

void decider::check_overdue()
{
    std::vector<attempt_id> overdue;
    for (const auto& [id, attempt] : attempts_)
    {
        if (is_overdue(attempt))
        {
            overdue.push_back(id);
        }
    }
    std::sort(overdue.begin(), overdue.end());
    for (const attempt_id id : overdue)
    {
        const live_attempt attempt = attempts_.at(id);
        const time_point since =
            attempt.answered_ ? attempt.last_output_ : attempt.started_;
        const bool may_be_queued =
            !attempt.answered_ && backends_.load(attempt.backend_, now_) >=
                                      backends_.slots(attempt.backend_);
        if (!may_be_queued &&
            !backends_.had_output_since(attempt.backend_, since))
        {
            // Nothing came for anybody: it is stuck, not just busy.
            backends_.record_silence(attempt.backend_, now_ - since);
        }
        live_request& owner = requests_.at(attempt.request_);
        owner.avoid_ = attempt.backend_;
        if (place(owner) && retries_.try_consume())
        {
            ++owner.failures_;
            preempt(owner, abandon_reason::overdue);
        }
    }
}

// Periodic.

} // namespace peridotspar::policy
