// The decider's order of service: what goes next, and its account of it.

#include "policy/decider.hpp"

#include <algorithm>

namespace peridotspar::policy
{

namespace
{

constexpr std::size_t short_lane = 0;
constexpr std::size_t long_lane = 1;
constexpr double most_minimum_credit = 2;

} // namespace

account_queue& decider::lane_of(const live_request& p_request)
{
    auto& lanes = pool(p_request.spec_.pool_).tiers_[p_request.tier_.value()];
    return lanes.lanes_[p_request.long_ ? long_lane : short_lane];
}

void decider::enqueue(live_request& r_request, bool p_front)
{
    r_request.queued_ = now_;
    const auto& spec = r_request.spec_;
    const double left =
        1 - std::min(1.0,
                     r_request.received_ / std::max(1.0, r_request.predicted_));
    r_request.queued_s_ =
        pool(spec.pool_).waits_.mean_service_s(spec.class_) * left;
    auto& lanes = pool(spec.pool_).tiers_[r_request.tier_.value()];
    lanes.waiting_s_[r_request.long_ ? long_lane : short_lane] +=
        r_request.queued_s_;
    auto& lane = lane_of(r_request);
    if (p_front)
    {
        lane.push_front(r_request.spec_.id_, r_request.spec_.account_);
    }
    else
    {
        lane.push_back(r_request.spec_.id_, r_request.spec_.account_);
    }
    caps_.adjust_waiting(r_request.spec_.account_, 1);
}

void decider::dequeue(live_request& r_request)
{
    lane_of(r_request).remove(r_request.spec_.id_, r_request.spec_.account_);
    auto& lanes = pool(r_request.spec_.pool_).tiers_[r_request.tier_.value()];
    double& waiting_s =
        lanes.waiting_s_[r_request.long_ ? long_lane : short_lane];
    waiting_s = lane_of(r_request).size() == 0
                    ? 0
                    : std::max(0.0, waiting_s - r_request.queued_s_);
    caps_.adjust_waiting(r_request.spec_.account_, -1);
}

void decider::schedule(pool_index p_pool)
{
    while (const auto next = choose_next(p_pool))
    {
        start(*next);
    }
}

std::optional<decider::choice> decider::choose_next(pool_index p_pool)
{
    if (auto due = choose_due(p_pool))
    {
        return due;
    }
    pool_state& state = pool(p_pool);
    bool someone_waits = false;
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
            // Lower tiers must not take what this tier waits for.
            return std::nullopt;
        }
        someone_waits = true;
    }
    return someone_waits ? choose_borrower(p_pool) : std::nullopt;
}

std::optional<decider::choice> decider::choose_due(pool_index p_pool)
{
    pool_state& state = pool(p_pool);
    if (state.minimum_credit_ < 1 ||
        state.reserved_running_ >= minimum_slots(state))
    {
        return std::nullopt;
    }
    live_request* oldest = nullptr;
    bool above_waits = false;
    for (std::size_t i = 0; i < tier_count; ++i)
    {
        for (const account_queue& lane : state.tiers_[i].lanes_)
        {
            if (!above_waits)
            {
                break;
            }
            lane.for_each_head(
                [&](request_id p_request)
                {
                    live_request& waiting = requests_.at(p_request);
                    const auto due = from_seconds(
                        to_seconds(waiting.wait_limit_) * tuning_.due_share_);
                    if (now_ - waiting.queued_ >= due &&
                        (oldest == nullptr ||
                         waiting.queued_ < oldest->queued_) &&
                        caps_.has_credit(waiting.spec_.account_, now_))
                    {
                        oldest = &waiting;
                    }
                });
        }
        above_waits = above_waits || state.tiers_[i].size() > 0;
    }
    if (oldest == nullptr)
    {
        return std::nullopt;
    }
    const auto backend = place(*oldest);
    if (!backend)
    {
        return std::nullopt;
    }
    state.minimum_credit_ -= 1;
    return choice{oldest, *backend, false, true};
}

std::optional<decider::choice>
decider::choose_in_tier(pool_index p_pool, std::size_t p_tier, bool& r_blocked)
{
    tier_lanes& lanes = pool(p_pool).tiers_[p_tier];
    const auto has_credit = [this](account_index p_account)
    { return caps_.has_credit(p_account, now_); };
    const bool long_first =
        lanes.served_[long_lane] < lanes.served_[short_lane];
    for (const std::size_t turn : {0U, 1U})
    {
        const std::size_t lane = long_first ? 1 - turn : turn;
        const auto head = lanes.lanes_[lane].peek(has_credit);
        if (!head)
        {
            continue;
        }
        live_request& waiting = requests_.at(*head);
        if (const auto backend = find_place(waiting))
        {
            return choice{&waiting, *backend, false, false};
        }
        r_blocked = true;
    }
    return std::nullopt;
}

std::optional<decider::choice> decider::choose_borrower(pool_index p_pool)
{
    // A node that is cut off can't see who waits elsewhere.
    const bool hears_most = 2 * live_.size() > listed_.size();
    const auto lowest = tier(static_cast<std::uint8_t>(tier_count - 1));
    if (!hears_most ||
        now_ - pool(p_pool).last_waiting_ < tuning_.lending_pause_ ||
        backends_.has_waiting_peer(p_pool, lowest, now_))
    {
        return std::nullopt;
    }
    const auto anyone = [](account_index) { return true; };
    for (auto& lanes : pool(p_pool).tiers_)
    {
        for (const account_queue& lane : lanes.lanes_)
        {
            const auto head = lane.peek(anyone);
            if (!head)
            {
                continue;
            }
            live_request& waiting = requests_.at(*head);
            if (const auto backend = place(waiting))
            {
                return choice{&waiting, *backend, true, false};
            }
            return std::nullopt;
        }
    }
    return std::nullopt;
}

void decider::start(const choice& p_choice)
{
    live_request& chosen = *p_choice.request_;
    const auto& spec = chosen.spec_;
    pool_state& state = pool(spec.pool_);
    dequeue(chosen);
    chosen.borrowed_ = p_choice.borrowed_;
    chosen.reserved_ = p_choice.reserved_;
    state.reserved_running_ += p_choice.reserved_ ? 1 : 0;
    state.minimum_credit_ = std::min(
        most_minimum_credit, state.minimum_credit_ + tuning_.minimum_share_);
    const double work = std::max(1.0, chosen.predicted_ - chosen.received_);
    lane_of(chosen).charge(
        spec.account_,
        work / catalogue_->accounts_[spec.account_.value()].weight_);
    auto& served = state.tiers_[chosen.tier_.value()].served_;
    served[chosen.long_ ? long_lane : short_lane] += work;
    // An idle lane must not save up turns.
    const double level = std::max(served[0], served[1]);
    served[0] = std::max(served[0], level - work);
    served[1] = std::max(served[1], level - work);
    if (!chosen.borrowed_ && chosen.reserved_tokens_ > chosen.charged_)
    {
        caps_.charge(spec.account_, chosen.reserved_tokens_ - chosen.charged_,
                     now_);
        chosen.charged_ = chosen.reserved_tokens_;
    }
    const attempt_id attempt(next_attempt_++);
    attempts_.emplace(attempt, live_attempt{spec.id_, p_choice.backend_, now_,
                                            now_, 0, false});
    running_[p_choice.backend_.value()].push_back(attempt);
    chosen.attempt_ = attempt;
    chosen.started_ = true;
    chosen.sent_ = true;
    if (backends_.is_slow(p_choice.backend_))
    {
        backends_.record_probe(p_choice.backend_, now_);
    }
    backends_.record_start(p_choice.backend_, chosen.tier_, chosen.long_, now_);
    caps_.adjust_running(spec.account_, 1);
    actions_->push_back(dispatch{spec.id_, attempt, p_choice.backend_,
                                 chosen.tier_, chosen.received_,
                                 chosen.reserved_, chosen.borrowed_});
}

} // namespace peridotspar::policy
