// The decider's admission of requests and shedding of those that wait.

#include "policy/decider.hpp"

#include <algorithm>
#include <cmath>

namespace peridotspar::policy
{

namespace
{

/// Longest queue estimate, as a multiple of the limit, before waiting requests
/// are shed. Above 1, so that a short swing doesn't shed what it just took.
constexpr double shed_slack = 1.25;
constexpr duration least_retry_after = 1s;

} // namespace

decider::live_request decider::describe(const request& p_request) const
{
    live_request described;
    described.spec_ = p_request;
    const auto& kind = catalogue_->classes_[p_request.class_.value()];
    described.tier_ = kind.tier_;
    described.wait_limit_ = std::min(kind.max_wait_, kind.first_token_target_);
    described.arrived_ = now_;
    described.queued_ = now_;
    if (!catalogue_->pools_[p_request.pool_.value()].engines_)
    {
        described.predicted_ = 1;
        described.reserved_tokens_ = 1;
        return described;
    }
    described.predicted_ = outputs_.median(p_request.class_);
    if (p_request.max_output_tokens_ > 0)
    {
        described.predicted_ =
            std::min(described.predicted_,
                     static_cast<double>(p_request.max_output_tokens_));
    }
    // More than is usual, so that long answers don't add up to more than
    // the cap; what isn't used is given back at the end.
    described.reserved_tokens_ = std::max(
        described.predicted_,
        outputs_.quantile(p_request.class_, tuning_.charged_quantile_));
    if (p_request.max_output_tokens_ > 0)
    {
        described.reserved_tokens_ =
            std::min(described.reserved_tokens_,
                     static_cast<double>(p_request.max_output_tokens_));
    }
    // What isn't known yet may be long.
    described.long_ = !outputs_.has_estimate(p_request.class_) ||
                      described.predicted_ >=
                          tuning_.long_ratio_ * outputs_.shortest_median();
    return described;
}

std::optional<refuse> decider::find_refusal(live_request& p_request)
{
    const auto& spec = p_request.spec_;
    const auto refused = [&](refusal p_reason, duration p_retry_after) {
        return refuse{spec.id_, p_reason, verdict::not_run, p_retry_after};
    };
    if (crashes_.is_quarantined(spec.fingerprint_))
    {
        return refused(refusal::quarantined, duration(0));
    }
    const pool_state& state = pool(spec.pool_);
    const bool served = std::any_of(state.subset_.begin(), state.subset_.end(),
                                    [this](backend_index p_backend) {
                                        return backends_.accepts_new(p_backend);
                                    });
    if (!served)
    {
        return refused(refusal::no_backend, with_jitter(least_retry_after * 5));
    }
    if (auto over_cap = find_cap_refusal(p_request))
    {
        return over_cap;
    }
    const duration wait =
        expected_wait(p_request, state.waits_.mean_service_s(spec.class_));
    if (spec.deadline_ &&
        now_ + wait + expected_service(p_request) > *spec.deadline_)
    {
        return refused(refusal::deadline, with_jitter(wait));
    }
    if (wait > p_request.wait_limit_ && !has_preemptible(p_request))
    {
        return refused(refusal::overloaded,
                       with_jitter(wait - p_request.wait_limit_));
    }
    return std::nullopt;
}

std::optional<refuse> decider::find_cap_refusal(const live_request& p_request)
{
    const auto& spec = p_request.spec_;
    if (caps_.has_credit(spec.account_, now_))
    {
        return std::nullopt;
    }
    const auto& tiers = pool(spec.pool_).tiers_;
    const bool others_wait = std::any_of(tiers.begin(), tiers.end(),
                                         [](const tier_lanes& p_lanes)
                                         { return p_lanes.size() > 0; });
    if (!others_wait && place(p_request))
    {
        return std::nullopt;
    }
    const duration wait = caps_.admission_wait(
        spec.account_, p_request.predicted_,
        pool(spec.pool_).waits_.mean_service_s(spec.class_), now_);
    if (wait <= p_request.wait_limit_)
    {
        return std::nullopt;
    }
    return refuse{spec.id_, refusal::over_cap, verdict::not_run,
                  with_jitter(wait - p_request.wait_limit_)};
}

duration decider::expected_wait(const live_request& p_request,
                                double p_own_s) const
{
    const pool_state& state = pools_[p_request.spec_.pool_.value()];
    wait_estimator::queue_snapshot view;
    view.tier_ = p_request.tier_;
    view.lane_ = p_request.long_ ? lane::long_work : lane::short_work;
    view.minimum_share_ = tuning_.minimum_share_;
    view.minimum_share_slots_ = minimum_slots(state);
    view.minimum_share_running_ = state.reserved_running_;
    view.slots_ = state.slots_;
    double all = 0;
    double for_long = 0;
    for (const auto& share : state.shares_)
    {
        all += share.slots_;
        for_long += share.long_slots_;
    }
    view.long_slots_ = all <= 0 ? 0 : state.slots_ * for_long / all;
    const std::size_t at = p_request.long_ ? 1 : 0;
    view.own_tier_work_s_ =
        p_own_s + state.tiers_[p_request.tier_.value()].waiting_s_[at];
    for (std::size_t i = 0; i <= p_request.tier_.value(); ++i)
    {
        view.work_ahead_s_ += state.tiers_[i].waiting_s_[at];
    }
    if (view.work_ahead_s_ <= 0 && place(p_request))
    {
        return duration(0);
    }
    view.work_ahead_s_ += p_own_s;
    return state.waits_.estimate(view);
}

double decider::minimum_slots(const pool_state& p_pool) const
{
    return std::max(1.0, std::floor(p_pool.slots_ * tuning_.minimum_share_));
}

duration decider::expected_service(const live_request& p_request) const
{
    const pool_index used_pool = p_request.spec_.pool_;
    const double left =
        std::max(0.0, p_request.predicted_ - p_request.received_);
    return from_seconds(backends_.median_first_token_s(used_pool) +
                        left * backends_.median_token_gap_s(used_pool));
}

bool decider::has_preemptible(const live_request& p_request) const
{
    const pool_state& state = pools_[p_request.spec_.pool_.value()];
    for (const backend_index member : state.subset_)
    {
        if (!backends_.is_available(member, now_))
        {
            continue;
        }
        for (const attempt_id running : running_[member.value()])
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
    // Spread, so that the end of a burst isn't the start of a second one.
    std::uniform_real_distribution<double> spread(1.0, 1.5);
    const auto wait = std::max<duration>(p_wait, least_retry_after);
    return from_seconds(to_seconds(wait) * spread(random_));
}

void decider::shed_excess(pool_index p_pool)
{
    for (std::size_t i = tier_count; i > 0; --i)
    {
        shed_tier(p_pool, i - 1);
    }
}

void decider::shed_late()
{
    std::vector<request_id> late;
    std::vector<request_id> over_cap;
    for (const auto& [id, waiting] : requests_)
    {
        const duration age = now_ - waiting.arrived_;
        if (!waiting.attempt_ && !waiting.started_ &&
            !caps_.has_credit(waiting.spec_.account_, now_) &&
            age + caps_.time_until_credit(waiting.spec_.account_, 0, now_) >
                waiting.wait_limit_)
        {
            over_cap.push_back(id);
            continue;
        }
        if (!waiting.attempt_ && !waiting.started_ &&
            age > from_seconds(to_seconds(waiting.wait_limit_) * shed_slack))
        {
            late.push_back(id);
        }
    }
    std::sort(over_cap.begin(), over_cap.end());
    for (const request_id id : over_cap)
    {
        live_request& last = requests_.at(id);
        dequeue(last);
        give_up(
            last, refusal::over_cap,
            with_jitter(caps_.time_until_credit(last.spec_.account_, 0, now_)));
    }
    std::sort(late.begin(), late.end());
    for (const request_id id : late)
    {
        live_request& last = requests_.at(id);
        if (has_preemptible(last))
        {
            continue;
        }
        dequeue(last);
        give_up(last, refusal::overloaded, with_jitter(last.wait_limit_));
    }
}

void decider::shed_tier(pool_index p_pool, std::size_t p_tier)
{
    tier_lanes& lanes = pool(p_pool).tiers_[p_tier];
    for (account_queue& lane : lanes.lanes_)
    {
        while (const auto newest = lane.newest_of_longest_queue())
        {
            live_request& last = requests_.at(*newest);
            if (last.started_ || has_preemptible(last))
            {
                break;
            }
            const duration wait = expected_wait(last, 0);
            const auto limit =
                from_seconds(to_seconds(last.wait_limit_) * shed_slack);
            const bool too_late =
                now_ - last.arrived_ + wait > limit ||
                (last.spec_.deadline_ &&
                 now_ + wait + expected_service(last) > *last.spec_.deadline_);
            if (!too_late)
            {
                break;
            }
            dequeue(last);
            give_up(last, refusal::overloaded, with_jitter(wait));
        }
    }
}

} // namespace peridotspar::policy
