// Admission of requests and shedding of waiting requests.

#include "policy/decider.hpp"

#include <algorithm>
#include <cmath>

namespace peridotspar::policy
{

namespace
{

/// A waiting request is shed when its wait exceeds this multiple of its limit.
/// It is above 1 so that a brief change of the estimate does not shed requests
/// that were just admitted.
constexpr double shed_limit_factor = 1.25;
/// Shortest delay that a refused caller is told to wait.
constexpr duration min_retry_after = 1s;

/// Longest wait of a request that was started and lost its backend server,
/// until another one takes it on.
constexpr duration max_interruption = std::chrono::seconds(30);

} // namespace

decider::request_state
decider::make_request_state(const request& p_request) const
{
    request_state new_request;
    new_request.spec_ = p_request;
    const auto& class_settings = catalogue_->classes_[p_request.class_.value()];
    new_request.tier_ = class_settings.tier_;
    new_request.wait_limit_ =
        std::min(class_settings.max_wait_, class_settings.first_token_target_);
    new_request.arrived_at_ = now_;
    new_request.queued_at_ = now_;
    if (!catalogue_->pools_[p_request.pool_.value()].serves_model_)
    {
        new_request.predicted_tokens_ = 1;
        new_request.initial_charge_tokens_ = 1;
        return new_request;
    }
    new_request.predicted_tokens_ = output_predictor_.median(p_request.class_);
    if (p_request.max_output_tokens_ > 0)
    {
        new_request.predicted_tokens_ =
            std::min(new_request.predicted_tokens_,
                     static_cast<double>(p_request.max_output_tokens_));
    }
    // The charge is above the usual output so that long answers do not
    // together exceed the cap. The unused part is refunded at the end.
    new_request.initial_charge_tokens_ = std::max(
        new_request.predicted_tokens_,
        output_predictor_.quantile(p_request.class_, tuning_.charge_quantile_));
    if (p_request.max_output_tokens_ > 0)
    {
        new_request.initial_charge_tokens_ =
            std::min(new_request.initial_charge_tokens_,
                     static_cast<double>(p_request.max_output_tokens_));
    }
    // A class without completed requests may have long output.
    new_request.is_long_ =
        !output_predictor_.has_estimate(p_request.class_) ||
        new_request.predicted_tokens_ >=
            tuning_.long_output_ratio_ * output_predictor_.shortest_median();
    return new_request;
}

std::optional<refuse> decider::check_admission(request_state& p_request)
{
    const auto& spec = p_request.spec_;
    const auto refused = [&](refusal p_reason, duration p_retry_after) {
        return refuse{spec.id_, p_reason, verdict::not_run, p_retry_after};
    };
    if (crash_tracker_.is_quarantined(spec.fingerprint_))
    {
        return refused(refusal::quarantined, duration(0));
    }
    if (const auto delay =
            crash_attribution_.find_refusal(spec.suspects_, now_))
    {
        return refused(refusal::quarantined, *delay);
    }
    const pool_state& state = pool(spec.pool_);
    const bool has_backend =
        std::any_of(state.subset_.begin(), state.subset_.end(),
                    [this](backend_index p_backend)
                    { return backends_.accepts_new(p_backend); });
    if (!has_backend)
    {
        return refused(refusal::no_backend, with_jitter(min_retry_after * 5));
    }
    if (auto over_cap = check_account_cap(p_request))
    {
        return over_cap;
    }
    const duration wait = expected_wait(
        p_request, state.wait_estimator_.mean_service_s(spec.class_));
    if (spec.deadline_ &&
        now_ + wait + expected_service(p_request) > *spec.deadline_)
    {
        return refused(refusal::deadline, with_jitter(wait));
    }
    if (wait > p_request.wait_limit_ && !has_preemptible_work(p_request))
    {
        return refused(refusal::overloaded,
                       with_jitter(wait - p_request.wait_limit_));
    }
    return std::nullopt;
}

std::optional<refuse> decider::check_account_cap(const request_state& p_request)
{
    const auto& spec = p_request.spec_;
    if (cap_limiter_.has_credit(spec.account_, now_))
    {
        return std::nullopt;
    }
    const auto& tiers = pool(spec.pool_).tiers_;
    const bool others_wait = std::any_of(tiers.begin(), tiers.end(),
                                         [](const tier_queues& p_lanes)
                                         { return p_lanes.size() > 0; });
    if (!others_wait && choose_backend(p_request))
    {
        return std::nullopt;
    }
    const duration wait = cap_limiter_.admission_wait(
        spec.account_, p_request.predicted_tokens_,
        pool(spec.pool_).wait_estimator_.mean_service_s(spec.class_), now_);
    if (wait <= p_request.wait_limit_)
    {
        return std::nullopt;
    }
    return refuse{spec.id_, refusal::over_cap, verdict::not_run,
                  with_jitter(wait - p_request.wait_limit_)};
}

duration decider::expected_wait(const request_state& p_request,
                                double p_own_service_s) const
{
    const pool_state& state = pools_[p_request.spec_.pool_.value()];
    wait_estimator::queue_snapshot snapshot;
    snapshot.tier_ = p_request.tier_;
    snapshot.lane_ = p_request.is_long_ ? lane::long_work : lane::short_work;
    snapshot.minimum_share_ = tuning_.minimum_share_;
    snapshot.minimum_share_slots_ = minimum_share_slots(state);
    snapshot.minimum_share_running_ = state.minimum_share_running_;
    snapshot.slots_ = state.usable_slots_;
    double total_slots = 0;
    double long_slots = 0;
    for (const auto& share : state.shares_)
    {
        total_slots += share.slots_;
        long_slots += share.long_slots_;
    }
    snapshot.long_slots_ =
        total_slots <= 0 ? 0 : state.usable_slots_ * long_slots / total_slots;
    const std::size_t lane_index = p_request.is_long_ ? 1 : 0;
    snapshot.own_tier_work_s_ =
        p_own_service_s +
        state.tiers_[p_request.tier_.value()].waiting_service_s_[lane_index];
    for (std::size_t i = 0; i <= p_request.tier_.value(); ++i)
    {
        snapshot.work_ahead_s_ +=
            state.tiers_[i].waiting_service_s_[lane_index];
    }
    if (snapshot.work_ahead_s_ <= 0 && choose_backend(p_request))
    {
        return duration(0);
    }
    snapshot.work_ahead_s_ += p_own_service_s;
    return state.wait_estimator_.estimate(snapshot);
}

double decider::minimum_share_slots(const pool_state& p_pool) const
{
    return std::max(1.0,
                    std::floor(p_pool.usable_slots_ * tuning_.minimum_share_));
}

duration decider::expected_service(const request_state& p_request) const
{
    const pool_index request_pool = p_request.spec_.pool_;
    const double remaining_tokens =
        std::max(0.0, p_request.predicted_tokens_ - p_request.received_tokens_);
    return from_seconds(backends_.median_first_token_s(request_pool) +
                        remaining_tokens *
                            backends_.median_token_gap_s(request_pool));
}

bool decider::has_preemptible_work(const request_state& p_request) const
{
    const pool_state& state = pools_[p_request.spec_.pool_.value()];
    for (const backend_index member : state.subset_)
    {
        if (!backends_.is_available(member, now_))
        {
            continue;
        }
        for (const attempt_id running : running_by_backend_[member.value()])
        {
            const auto& owner = requests_.at(attempts_.at(running).request_);
            if (may_preempt(owner, p_request))
            {
                return true;
            }
        }
        if (backends_.has_preemptible_peer(member, p_request.tier_, now_))
        {
            return true;
        }
    }
    return false;
}

duration decider::with_jitter(duration p_wait)
{
    // The delays are spread so that callers refused in a burst do not all
    // retry at the same time.
    std::uniform_real_distribution<double> spread(1.0, 1.5);
    const auto wait = std::max<duration>(p_wait, min_retry_after);
    return from_seconds(to_seconds(wait) * spread(random_));
}

void decider::shed_overload(pool_index p_pool)
{
    for (std::size_t i = tier_count; i > 0; --i)
    {
        shed_tier(p_pool, i - 1);
    }
}

void decider::shed_expired()
{
    std::vector<request_id> expired;
    std::vector<request_id> over_cap;
    for (const auto& [id, waiting] : requests_)
    {
        const duration age = now_ - waiting.arrived_at_;
        if (!waiting.attempt_ && !waiting.dispatched_ &&
            !cap_limiter_.has_credit(waiting.spec_.account_, now_) &&
            age + cap_limiter_.time_until_credit(waiting.spec_.account_, 0,
                                                 now_) >
                waiting.wait_limit_)
        {
            over_cap.push_back(id);
            continue;
        }
        if (!waiting.attempt_ && !waiting.dispatched_ &&
            age > from_seconds(to_seconds(waiting.wait_limit_) *
                               shed_limit_factor))
        {
            expired.push_back(id);
        }
    }
    std::sort(over_cap.begin(), over_cap.end());
    for (const request_id id : over_cap)
    {
        request_state& candidate = requests_.at(id);
        dequeue(candidate);
        refuse_request(candidate, refusal::over_cap,
                       with_jitter(cap_limiter_.time_until_credit(
                           candidate.spec_.account_, 0, now_)));
    }
    std::sort(expired.begin(), expired.end());
    for (const request_id id : expired)
    {
        request_state& candidate = requests_.at(id);
        if (has_preemptible_work(candidate))
        {
            continue;
        }
        dequeue(candidate);
        refuse_request(candidate, refusal::overloaded,
                       with_jitter(candidate.wait_limit_));
    }
}

void decider::end_interrupted()
{
    std::vector<std::pair<request_id, refusal>> ended;
    for (const auto& [id, waiting] : requests_)
    {
        if (waiting.attempt_ || !waiting.dispatched_)
        {
            continue;
        }
        if (waiting.spec_.deadline_ && now_ >= *waiting.spec_.deadline_)
        {
            ended.emplace_back(id, refusal::deadline);
        }
        else if (now_ - waiting.queued_at_ >= max_interruption)
        {
            ended.emplace_back(id, refusal::backend_failed);
        }
    }
    std::sort(ended.begin(), ended.end());
    for (const auto& [id, reason] : ended)
    {
        request_state& candidate = requests_.at(id);
        candidate.possibly_sent_ = true;
        dequeue(candidate);
        refuse_request(candidate, reason, with_jitter(candidate.wait_limit_));
    }
}

void decider::shed_tier(pool_index p_pool, std::size_t p_tier)
{
    tier_queues& lanes = pool(p_pool).tiers_[p_tier];
    for (account_queue& lane : lanes.lanes_)
    {
        while (const auto newest = lane.newest_of_longest_queue())
        {
            request_state& candidate = requests_.at(*newest);
            if (candidate.dispatched_ || has_preemptible_work(candidate))
            {
                break;
            }
            const duration wait = expected_wait(candidate, 0);
            const auto limit = from_seconds(to_seconds(candidate.wait_limit_) *
                                            shed_limit_factor);
            const bool too_late = now_ - candidate.arrived_at_ + wait > limit ||
                                  (candidate.spec_.deadline_ &&
                                   now_ + wait + expected_service(candidate) >
                                       *candidate.spec_.deadline_);
            if (!too_late)
            {
                break;
            }
            dequeue(candidate);
            refuse_request(candidate, refusal::overloaded, with_jitter(wait));
        }
    }
}

} // namespace peridotspar::policy
