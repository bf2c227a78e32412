// The end of attempts: retries, refusals, overdue and slow attempts.

#include "policy/decider.hpp"

#include "policy/hashing.hpp"

#include <algorithm>
#include <cmath>

namespace peridotspar::policy
{

namespace
{

/// An attempt is overdue when it has been silent for this many times the usual
/// time between tokens, and for at least `min_stall_time`.
constexpr double stall_gap_factor = 30;
constexpr duration min_stall_time = 1s;
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

std::optional<backend_index>
decider::choose_replacement(const request_state& p_request) const
{
    const pool_state& state = pools_[p_request.spec_.pool_.value()];
    const backend_index current = attempts_.at(*p_request.attempt_).backend_;
    std::optional<backend_index> best;
    for (std::size_t i = 0; i < state.subset_.size(); ++i)
    {
        const backend_index candidate = state.subset_[i];
        // Only a request with output has something to lose in an engine's
        // queue.
        const bool is_secured = p_request.received_tokens_ == 0 ||
                                !may_be_contended(p_request, candidate);
        if (candidate == current || backends_.is_slow(candidate) ||
            !has_room(p_request, i) || !is_secured)
        {
            continue;
        }
        if (!best || score(candidate) < score(*best))
        {
            best = candidate;
        }
    }
    return best;
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
        ++r_request.failed_attempts_ >= tuning_.max_attempts_ ||
        !retry_budget_.try_consume())
    {
        // Time that a backend server usually takes to restart.
        constexpr duration usual_restart_time = 2s;
        refuse_request(r_request, refusal::backend_failed,
                       with_jitter(usual_restart_time));
        return;
    }
    enqueue(r_request, true);
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

bool decider::is_overdue(const attempt_state& p_attempt) const
{
    const request_state& owner = requests_.at(p_attempt.request_);
    const pool_index request_pool = owner.spec_.pool_;
    const double median_first_token_s =
        backends_.median_first_token_s(request_pool);
    if (!owner.spec_.idempotent_ || median_first_token_s <= 0 ||
        owner.failed_attempts_ >= tuning_.max_attempts_)
    {
        return false;
    }
    if (p_attempt.has_output_)
    {
        const double median_gap_s = backends_.median_token_gap_s(request_pool);
        const auto silence = now_ - p_attempt.last_output_at_;
        return median_gap_s > 0 &&
               silence >
                   std::max(min_stall_time,
                            from_seconds(stall_gap_factor * median_gap_s));
    }
    const double mean_prompt_tokens =
        std::max(1.0, pools_[request_pool.value()].prompt_tokens_.value());
    const double prompt_ratio =
        std::max(1.0, owner.spec_.prompt_tokens_ / mean_prompt_tokens);
    const auto limit =
        std::max(from_seconds(median_first_token_s * prompt_ratio *
                              tuning_.overdue_ratio_),
                 from_seconds(median_first_token_s * prompt_ratio) +
                     tuning_.min_overdue_margin_);
    return now_ - p_attempt.started_at_ > limit;
}

void decider::move_off_slow_backends()
{
    // An attempt stays until it has produced this many tokens, as they show
    // whether the backend server is still slow.
    constexpr std::uint32_t probe_tokens = 3;
    std::vector<attempt_id> movable;
    for (const backend_index slow : backends_.slow_backends())
    {
        for (const attempt_id running : running_by_backend_[slow.value()])
        {
            const attempt_state& attempt = attempts_.at(running);
            if (requests_.at(attempt.request_).spec_.idempotent_ &&
                attempt.tokens_ >= probe_tokens)
            {
                movable.push_back(running);
            }
        }
    }
    for (const attempt_id id : movable)
    {
        // Moving an earlier attempt may have preempted this one.
        const auto found = attempts_.find(id);
        if (found == attempts_.end())
        {
            continue;
        }
        request_state& owner = requests_.at(found->second.request_);
        if (const auto better = choose_replacement(owner))
        {
            move_to(owner, *better);
            schedule(owner.spec_.pool_);
        }
    }
}

void decider::retry_overdue()
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
        const attempt_state attempt = attempts_.at(id);
        const time_point last_activity =
            attempt.has_output_ ? attempt.last_output_at_ : attempt.started_at_;
        const bool may_be_queued =
            !attempt.has_output_ && backends_.load(attempt.backend_, now_) >=
                                        backends_.slots(attempt.backend_);
        if (!may_be_queued &&
            !backends_.had_output_since(attempt.backend_, last_activity))
        {
            // The backend server has sent no output for any request, so it
            // is stalled rather than busy.
            backends_.record_silence(attempt.backend_, now_ - last_activity);
        }
        request_state& owner = requests_.at(attempt.request_);
        const auto replacement = choose_replacement(owner);
        if (replacement && retry_budget_.try_consume())
        {
            ++owner.failed_attempts_;
            move_to(owner, *replacement);
        }
    }
}

} // namespace peridotspar::policy
