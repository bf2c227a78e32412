// Order of service: the choice of the next request and its dispatch.

#include "policy/decider.hpp"

#include <algorithm>

namespace peridotspar::policy
{

namespace
{

constexpr std::size_t short_lane = 0;
constexpr std::size_t long_lane = 1;
/// Dispatches that the minimum share may accumulate.
constexpr double max_minimum_share_credit = 2;

} // namespace

account_queue& decider::queue_of(const request_state& p_request)
{
    auto& lanes = pool(p_request.spec_.pool_).tiers_[p_request.tier_.value()];
    return lanes.lanes_[p_request.is_long_ ? long_lane : short_lane];
}

void decider::enqueue(request_state& r_request, bool p_front)
{
    r_request.queued_at_ = now_;
    const auto& spec = r_request.spec_;
    const double remaining_fraction =
        1 - std::min(1.0, r_request.received_tokens_ /
                              std::max(1.0, r_request.predicted_tokens_));
    r_request.queued_service_s_ =
        pool(spec.pool_).wait_estimator_.mean_service_s(spec.class_) *
        remaining_fraction;
    auto& lanes = pool(spec.pool_).tiers_[r_request.tier_.value()];
    lanes.waiting_service_s_[r_request.is_long_ ? long_lane : short_lane] +=
        r_request.queued_service_s_;
    auto& lane = queue_of(r_request);
    if (p_front)
    {
        lane.push_front(r_request.spec_.id_, r_request.spec_.account_);
    }
    else
    {
        lane.push_back(r_request.spec_.id_, r_request.spec_.account_);
    }
    cap_limiter_.adjust_waiting(r_request.spec_.account_, 1);
}

void decider::dequeue(request_state& r_request)
{
    if (r_request.awaits_retry_)
    {
        r_request.awaits_retry_ = false;
        return;
    }
    queue_of(r_request).remove(r_request.spec_.id_, r_request.spec_.account_);
    auto& lanes = pool(r_request.spec_.pool_).tiers_[r_request.tier_.value()];
    double& waiting_s =
        lanes.waiting_service_s_[r_request.is_long_ ? long_lane : short_lane];
    waiting_s = queue_of(r_request).size() == 0
                    ? 0
                    : std::max(0.0, waiting_s - r_request.queued_service_s_);
    cap_limiter_.adjust_waiting(r_request.spec_.account_, -1);
}

void decider::schedule(pool_index p_pool)
{
    while (const auto next = choose_next(p_pool))
    {
        start(*next);
    }
}

std::optional<decider::dispatch_choice> decider::choose_next(pool_index p_pool)
{
    if (auto due = choose_due(p_pool))
    {
        return due;
    }
    pool_state& state = pool(p_pool);
    bool any_waiting = false;
    for (std::size_t i = 0; i < tier_count; ++i)
    {
        if (state.tiers_[i].size() == 0)
        {
            continue;
        }
        bool blocked = false;
        if (auto found = choose_in_tier(p_pool, i, blocked))
        {
            return found;
        }
        if (blocked)
        {
            // Lower tiers must not take slots that this tier is waiting for.
            return std::nullopt;
        }
        any_waiting = true;
    }
    return any_waiting ? choose_borrower(p_pool) : std::nullopt;
}

std::optional<decider::dispatch_choice> decider::choose_due(pool_index p_pool)
{
    pool_state& state = pool(p_pool);
    if (state.minimum_share_credit_ < 1 ||
        state.minimum_share_running_ >= minimum_share_slots(state))
    {
        return std::nullopt;
    }
    request_state* oldest = nullptr;
    bool higher_tier_waits = false;
    for (std::size_t i = 0; i < tier_count; ++i)
    {
        for (const account_queue& lane : state.tiers_[i].lanes_)
        {
            if (!higher_tier_waits)
            {
                break;
            }
            lane.for_each_head(
                [&](request_id p_request)
                {
                    request_state& waiting = requests_.at(p_request);
                    const auto due =
                        from_seconds(to_seconds(waiting.wait_limit_) *
                                     tuning_.due_wait_fraction_);
                    if (now_ - waiting.queued_at_ >= due &&
                        (oldest == nullptr ||
                         waiting.queued_at_ < oldest->queued_at_) &&
                        cap_limiter_.has_credit(waiting.spec_.account_, now_))
                    {
                        oldest = &waiting;
                    }
                });
        }
        higher_tier_waits = higher_tier_waits || state.tiers_[i].size() > 0;
    }
    if (oldest == nullptr)
    {
        return std::nullopt;
    }
    const auto backend = choose_backend(*oldest);
    if (!backend)
    {
        return std::nullopt;
    }
    state.minimum_share_credit_ -= 1;
    return dispatch_choice{oldest, *backend, false, true};
}

std::optional<decider::dispatch_choice>
decider::choose_in_tier(pool_index p_pool, std::size_t p_tier, bool& r_blocked)
{
    tier_queues& lanes = pool(p_pool).tiers_[p_tier];
    const auto has_credit = [this](account_index p_account)
    { return cap_limiter_.has_credit(p_account, now_); };
    const bool long_first =
        lanes.served_tokens_[long_lane] < lanes.served_tokens_[short_lane];
    for (const std::size_t turn : {0U, 1U})
    {
        const std::size_t lane = long_first ? 1 - turn : turn;
        const auto head = lanes.lanes_[lane].peek(has_credit);
        if (!head)
        {
            continue;
        }
        request_state& waiting = requests_.at(*head);
        if (const auto backend = choose_backend_or_preempt(waiting))
        {
            return dispatch_choice{&waiting, *backend, false, false};
        }
        r_blocked = true;
    }
    return std::nullopt;
}

std::optional<decider::dispatch_choice>
decider::choose_borrower(pool_index p_pool)
{
    // A node in a minority partition does not see the requests that wait at
    // most other nodes, so it does not lend.
    const bool hears_majority = 2 * live_.size() > listed_.size();
    const auto lowest = tier(static_cast<std::uint8_t>(tier_count - 1));
    if (!hears_majority ||
        now_ - pool(p_pool).last_waiting_at_ < tuning_.lending_idle_time_ ||
        backends_.has_waiting_peer(p_pool, lowest, now_))
    {
        return std::nullopt;
    }
    const auto any_account = [](account_index) { return true; };
    for (auto& lanes : pool(p_pool).tiers_)
    {
        for (const account_queue& lane : lanes.lanes_)
        {
            const auto head = lane.peek(any_account);
            if (!head)
            {
                continue;
            }
            request_state& waiting = requests_.at(*head);
            if (const auto backend = choose_backend(waiting))
            {
                return dispatch_choice{&waiting, *backend, true, false};
            }
            return std::nullopt;
        }
    }
    return std::nullopt;
}

void decider::start(const dispatch_choice& p_choice)
{
    request_state& chosen = *p_choice.request_;
    const auto& spec = chosen.spec_;
    pool_state& state = pool(spec.pool_);
    dequeue(chosen);
    chosen.borrowed_ = p_choice.borrowed_;
    chosen.on_minimum_share_ = p_choice.on_minimum_share_;
    state.minimum_share_running_ += p_choice.on_minimum_share_ ? 1 : 0;
    state.minimum_share_credit_ =
        std::min(max_minimum_share_credit,
                 state.minimum_share_credit_ + tuning_.minimum_share_);
    const double work_tokens =
        std::max(1.0, chosen.predicted_tokens_ - chosen.received_tokens_);
    queue_of(chosen).charge(
        spec.account_,
        work_tokens / catalogue_->accounts_[spec.account_.value()].weight_);
    auto& served = state.tiers_[chosen.tier_.value()].served_tokens_;
    served[chosen.is_long_ ? long_lane : short_lane] += work_tokens;
    // A lane that was idle must not accumulate precedence over the other one.
    const double most_served = std::max(served[0], served[1]);
    served[0] = std::max(served[0], most_served - work_tokens);
    served[1] = std::max(served[1], most_served - work_tokens);
    if (!chosen.borrowed_ &&
        chosen.initial_charge_tokens_ > chosen.charged_tokens_)
    {
        cap_limiter_.charge(
            spec.account_,
            chosen.initial_charge_tokens_ - chosen.charged_tokens_, now_);
        chosen.charged_tokens_ = chosen.initial_charge_tokens_;
    }
    const attempt_id attempt(next_attempt_++);
    attempts_.emplace(attempt, attempt_state{spec.id_, p_choice.backend_, now_,
                                             now_, 0, false});
    running_by_backend_[p_choice.backend_.value()].push_back(attempt);
    chosen.attempt_ = attempt;
    chosen.dispatched_ = true;
    chosen.possibly_sent_ = true;
    if (backends_.is_slow(p_choice.backend_))
    {
        backends_.record_probe(p_choice.backend_, now_);
    }
    backends_.record_start(p_choice.backend_, chosen.tier_, chosen.is_long_,
                           now_);
    cap_limiter_.adjust_running(spec.account_, 1);
    actions_->push_back(dispatch{spec.id_, attempt, p_choice.backend_,
                                 chosen.tier_, chosen.received_tokens_,
                                 chosen.on_minimum_share_, chosen.borrowed_});
}

} // namespace peridotspar::policy
