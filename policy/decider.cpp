#include "policy/decider.hpp"

#include "policy/hashing.hpp"

#include <algorithm>
#include <cmath>

namespace peridotspar::policy
{

namespace
{

constexpr duration check_interval = 100ms;
/// An engine stream that was silent this long is tried elsewhere.
constexpr double stall_gaps = 30;
constexpr duration stall_floor = 1s;

std::uint64_t hash_view(std::vector<node_id> p_nodes)
{
    std::sort(p_nodes.begin(), p_nodes.end());
    std::uint64_t hash = 0;
    for (const auto& node : p_nodes)
    {
        hash = hash_text(node.value(), hash);
    }
    return hash;
}

} // namespace

decider::decider(node_id p_self, failure_domain_id p_domain,
                 std::uint64_t p_seed, tuning p_tuning)
    : self_(std::move(p_self)),
      own_domain_(std::move(p_domain)),
      tuning_(p_tuning),
      random_(p_seed),
      catalogue_(std::make_shared<catalogue>()),
      backends_(tuning_),
      caps_(tuning_),
      home_(tuning_),
      retries_(tuning_.retry_ratio_, tuning_.retry_reserve_),
      crashes_(tuning_.crash_memory_),
      listed_{self_},
      live_{self_},
      view_(hash_view(live_))
{
}

void decider::handle(const event& p_event, time_point p_now,
                     std::vector<action>& r_actions)
{
    now_ = std::max(now_, p_now);
    actions_ = &r_actions;
    std::visit([this](const auto& p_kind) { on(p_kind); }, p_event);
    actions_ = nullptr;
}

// Events.

void decider::on(const catalogue_changed& p_event)
{
    catalogue_ = p_event.catalogue_;
    caps_.configure(*catalogue_);
    backends_.configure(*catalogue_);
    home_.reset();
    output_predictor learned(catalogue_->classes_.size());
    learned.take(outputs_);
    outputs_ = std::move(learned);
    running_.resize(catalogue_->backends_.size());
    while (pools_.size() < catalogue_->pools_.size())
    {
        pools_.emplace_back();
    }
    for (auto& state : pools_)
    {
        state.subset_.clear();
    }
    for (std::uint32_t i = 0; i < catalogue_->backends_.size(); ++i)
    {
        for (const pool_index member_of : catalogue_->backends_[i].pools_)
        {
            pool(member_of).subset_.push_back(backend_index(i));
        }
    }
    for (auto& state : pools_)
    {
        if (state.subset_.size() <= tuning_.subset_size_)
        {
            continue;
        }
        const auto weight = [this](backend_index p_backend)
        {
            return rendezvous_weight(
                self_.value(), catalogue_->backends_[p_backend.value()].name_);
        };
        std::sort(state.subset_.begin(), state.subset_.end(),
                  [&](backend_index p_left, backend_index p_right)
                  { return weight(p_left) > weight(p_right); });
        state.subset_.resize(tuning_.subset_size_);
    }
    refresh_slots();
}

void decider::on(const request_arrived& p_event)
{
    live_request described = describe(p_event.request_);
    const auto& spec = described.spec_;
    pool_state& state = pool(spec.pool_);
    caps_.note_demand(spec.account_, described.predicted_, now_);
    state.prompt_tokens_.note(spec.prompt_tokens_);
    state.tier_seen_[described.tier_.value()] = now_;
    state.top_tier_ = std::min(state.top_tier_, described.tier_);
    if (!described.long_)
    {
        state.short_seen_ = now_;
    }
    if (auto refused = find_refusal(described))
    {
        actions_->push_back(*refused);
        return;
    }
    const auto [place_of, added] = requests_.emplace(spec.id_, described);
    enqueue(place_of->second, false);
    schedule(place_of->second.spec_.pool_);
}

void decider::on(const output_received& p_event)
{
    const auto found = attempts_.find(p_event.attempt_);
    if (found == attempts_.end())
    {
        return;
    }
    live_attempt& attempt = found->second;
    live_request& owner = requests_.at(attempt.request_);
    if (!attempt.answered_)
    {
        attempt.answered_ = true;
        backends_.note_first_token(attempt.backend_, now_ - attempt.started_,
                                   now_);
    }
    else if (p_event.tokens_ > 0)
    {
        backends_.note_token_gap(
            attempt.backend_,
            to_seconds(now_ - attempt.last_output_) / p_event.tokens_, now_);
    }
    attempt.last_output_ = now_;
    attempt.tokens_ += p_event.tokens_;
    owner.received_ += p_event.tokens_;
    if (!owner.borrowed_ && owner.received_ > owner.charged_)
    {
        const double more = owner.received_ - owner.charged_;
        caps_.charge(owner.spec_.account_, more, now_);
        owner.charged_ += more;
    }
}

void decider::on(const attempt_ended& p_event)
{
    const auto found = attempts_.find(p_event.attempt_);
    if (found == attempts_.end())
    {
        return;
    }
    live_request& owner = requests_.at(found->second.request_);
    const backend_index backend = found->second.backend_;
    const pool_index used_pool = owner.spec_.pool_;
    switch (p_event.result_)
    {
    case attempt_result::completed:
        release(owner);
        finish(owner);
        break;
    case attempt_result::claimed_before:
    case attempt_result::not_claimed:
        release(owner);
        settle_charge(owner);
        requests_.erase(owner.spec_.id_);
        break;
    case attempt_result::refused:
        release(owner);
        owner.avoid_ = backend;
        retry_or_refuse(owner, true);
        break;
    case attempt_result::unsent:
        backends_.note_refused_connection(backend, now_);
        release(owner);
        owner.avoid_ = backend;
        owner.sent_ = owner.received_ > 0;
        retry_or_refuse(owner, true);
        break;
    case attempt_result::broken:
    {
        std::vector<fingerprint> beside;
        for (const attempt_id running : running_[backend.value()])
        {
            beside.push_back(requests_.at(attempts_.at(running).request_)
                                 .spec_.fingerprint_);
        }
        crashes_.note_crash(backend, beside, now_);
        backends_.note_refused_connection(backend, now_);
        release(owner);
        owner.avoid_ = backend;
        retry_or_refuse(owner, owner.spec_.idempotent_);
        break;
    }
    }
    schedule(used_pool);
}

void decider::on(const caller_gone& p_event)
{
    const auto found = requests_.find(p_event.request_);
    if (found == requests_.end())
    {
        return;
    }
    live_request& owner = found->second;
    const pool_index used_pool = owner.spec_.pool_;
    if (owner.attempt_)
    {
        if (!owner.spec_.idempotent_)
        {
            // Its effect can't be taken back; let the answer be recorded.
            return;
        }
        actions_->push_back(abandon{owner.spec_.id_, *owner.attempt_,
                                    abandon_reason::caller_gone});
        release(owner);
    }
    else
    {
        dequeue(owner);
    }
    settle_charge(owner);
    requests_.erase(found);
    schedule(used_pool);
}

void decider::on(const load_reported& p_event)
{
    if (p_event.backend_.value() < running_.size())
    {
        backends_.note_report(p_event);
    }
}

void decider::on(const backend_admission_changed& p_event)
{
    backends_.set_accepts_new(p_event.backend_, p_event.accepts_new_);
}

void decider::on(const nodes_changed& p_event)
{
    listed_ = p_event.listed_;
    live_ = p_event.live_;
    const std::uint64_t view = hash_view(live_);
    if (view != view_)
    {
        view_ = view;
        home_.reset();
        home_from_ = now_ + tuning_.cap_grant_lifetime_;
    }
    caps_.set_nodes(self_, listed_, live_);
    backends_.set_live_peers(live_.empty() ? 0 : live_.size() - 1);
    std::erase_if(peer_views_,
                  [this](const auto& p_item) {
                      return std::find(live_.begin(), live_.end(),
                                       p_item.first) == live_.end();
                  });
}

void decider::on(const digest_received& p_event)
{
    const digest& heard = p_event.digest_;
    backends_.note_digest(heard, now_);
    crashes_.merge(heard.crashes_, now_);
    peer_views_[heard.from_] = {heard.view_, now_};
    for (std::uint32_t i = 0; i < pools_.size(); ++i)
    {
        refresh_shares(pool_index(i));
    }
}

void decider::on(const caps_claimed& p_event)
{
    if (now_ < home_from_)
    {
        return;
    }
    actions_->push_back(
        grant_caps{p_event.from_,
                   home_.allocate(p_event.from_, p_event.claims_, *catalogue_,
                                  shares_to_hand_out(), now_)});
}

void decider::on(const caps_granted& p_event)
{
    caps_.apply(p_event.grants_, now_);
    for (std::uint32_t i = 0; i < pools_.size(); ++i)
    {
        schedule(pool_index(i));
    }
}

void decider::on(const yield_asked& p_event)
{
    if (p_event.backend_.value() >= running_.size())
    {
        return;
    }
    live_request* victim = nullptr;
    for (const attempt_id running : running_[p_event.backend_.value()])
    {
        live_request& owner = requests_.at(attempts_.at(running).request_);
        const bool lower = owner.tier_ > p_event.above_;
        if (lower && owner.spec_.idempotent_ && !owner.reserved_ &&
            (victim == nullptr || owner.tier_ > victim->tier_))
        {
            victim = &owner;
        }
    }
    if (victim != nullptr)
    {
        preempt(*victim, abandon_reason::preempted);
    }
}

void decider::on(const clock_ticked&)
{
    if (now_ >= next_check_)
    {
        next_check_ = now_ + check_interval;
        backends_.judge_speeds(*catalogue_, now_);
        crashes_.expire(now_);
        refresh_slots();
        check_overdue();
        leave_slow();
        for (std::uint32_t i = 0; i < pools_.size(); ++i)
        {
            shed_excess(pool_index(i));
        }
        shed_late();
    }
    for (std::uint32_t i = 0; i < pools_.size(); ++i)
    {
        reclaim_borrowed(pool_index(i));
        schedule(pool_index(i));
    }
    publish();
}

// Attempts.

void decider::release(live_request& r_request)
{
    const auto found = attempts_.find(*r_request.attempt_);
    const live_attempt& attempt = found->second;
    backends_.note_stopped(attempt.backend_, r_request.tier_, r_request.long_,
                           now_);
    std::erase(running_[attempt.backend_.value()], *r_request.attempt_);
    r_request.slot_seconds_ += to_seconds(now_ - attempt.started_);
    if (r_request.reserved_)
    {
        --pool(r_request.spec_.pool_).reserved_running_;
        r_request.reserved_ = false;
    }
    caps_.note_running(r_request.spec_.account_, -1);
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
        !retries_.take())
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
        outputs_.learn(spec.class_, r_request.received_);
    }
    retries_.note_success();
    crashes_.note_completed(spec.fingerprint_, now_);
    pool(spec.pool_).waits_.note_service(spec.class_, r_request.slot_seconds_);
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
    const double usual = backends_.usual_first_token(used_pool);
    if (!owner.spec_.idempotent_ || usual <= 0 ||
        owner.failures_ >= tuning_.most_attempts_)
    {
        return false;
    }
    if (p_attempt.answered_)
    {
        const double gap = backends_.usual_token_gap(used_pool);
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
    for (const backend_index slow : backends_.slow_ones())
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
        if (!may_be_queued && !backends_.was_heard(attempt.backend_, since))
        {
            // Nothing came for anybody: it is stuck, not just busy.
            backends_.note_silence(attempt.backend_, now_ - since);
        }
        live_request& owner = requests_.at(attempt.request_);
        owner.avoid_ = attempt.backend_;
        if (place(owner) && retries_.take())
        {
            ++owner.failures_;
            preempt(owner, abandon_reason::overdue);
        }
    }
}

// Periodic.

void decider::refresh_slots()
{
    const auto running = running_by_pool();
    for (std::uint32_t i = 0; i < pools_.size(); ++i)
    {
        pool_state& state = pools_[i];
        double total = 0;
        double own = 0;
        double all = 0;
        for (const backend_index member : state.subset_)
        {
            own += backends_.own(member);
            all += backends_.load(member, now_);
            if (backends_.takes_work(member, now_) &&
                !backends_.is_slow(member))
            {
                total += backends_.slots(member);
            }
        }
        const auto lowest = tier(static_cast<std::uint8_t>(tier_count - 1));
        double own_waiting = 0;
        for (const auto& lanes : state.tiers_)
        {
            own_waiting += static_cast<double>(lanes.size());
        }
        own += own_waiting;
        all +=
            own_waiting + backends_.peers_demand(pool_index(i), lowest, now_);
        const double even =
            1.0 / static_cast<double>(std::max<std::size_t>(1, live_.size()));
        const double share = all <= 0 ? even : std::max(own / all, even / 4);
        state.slots_ = std::max(1.0, total * std::min(1.0, share));
        refresh_reserve(pool_index(i));
        refresh_shares(pool_index(i));
        state.waits_.note_running(running[i]);
    }
}

std::vector<by_lane<unsigned>> decider::running_by_pool() const
{
    std::vector<by_lane<unsigned>> counts(pools_.size());
    for (const auto& [id, attempt] : attempts_)
    {
        const live_request& owner = requests_.at(attempt.request_);
        const auto level = owner.tier_.value();
        ++counts[owner.spec_.pool_.value()][level][owner.long_ ? 1 : 0];
    }
    return counts;
}

void decider::refresh_reserve(pool_index p_pool)
{
    pool_state& state = pool(p_pool);
    const bool short_about =
        state.short_seen_ && now_ - *state.short_seen_ < tuning_.short_memory_;
    if (!short_about || state.subset_.empty())
    {
        state.short_reserve_ = 0;
        return;
    }
    double running = 0;
    for (const backend_index member : state.subset_)
    {
        running +=
            backends_.load(member, now_) - backends_.long_work(member, now_);
    }
    state.short_running_.note(std::max(0.0, running));
    const double usual = state.short_running_.value();
    const double wanted = usual +
                          tuning_.short_reserve_deviations_ * std::sqrt(usual) +
                          static_cast<double>(state.contenders_ - 1);
    state.short_reserve_ = static_cast<unsigned>(
        std::ceil(wanted / static_cast<double>(state.subset_.size())));
}

void decider::refresh_shares(pool_index p_pool)
{
    pool_state& state = pool(p_pool);
    for (std::size_t i = tier_count; i > 0; --i)
    {
        const auto level = tier(static_cast<std::uint8_t>(i - 1));
        const bool in_use =
            state.tiers_[i - 1].size() > 0 ||
            (state.tier_seen_[i - 1] != time_point{} &&
             now_ - state.tier_seen_[i - 1] < tuning_.short_memory_);
        if (in_use)
        {
            state.top_tier_ = level;
        }
    }
    auto demands = backends_.peer_demands(p_pool, state.subset_, now_);
    state.contenders_ = demands.size() + 1;
    demands.emplace_back(self_, std::max(1.0, state.published_demand_));
    state.shares_.clear();
    for (const backend_index member : state.subset_)
    {
        state.shares_.push_back(
            shares_.divide(catalogue_->backends_[member.value()].name_,
                           backends_.slots(member), long_limit(state, member),
                           self_, demands));
    }
}

void decider::reclaim_borrowed(pool_index p_pool)
{
    pool_state& state = pool(p_pool);
    const auto lowest = tier(static_cast<std::uint8_t>(tier_count - 1));
    const auto has_credit = [this](account_index p_account)
    { return caps_.has_credit(p_account, now_); };
    bool waited_for = backends_.peers_wait(p_pool, lowest, now_);
    for (const auto& lanes : state.tiers_)
    {
        for (const account_queue& waiting : lanes.lanes_)
        {
            waited_for = waited_for || waiting.peek(has_credit).has_value();
        }
    }
    if (!waited_for)
    {
        return;
    }
    state.last_waiting_ = now_;
    std::vector<request_id> lent;
    for (const auto& [id, attempt] : attempts_)
    {
        const live_request& owner = requests_.at(attempt.request_);
        if (owner.borrowed_ && owner.spec_.pool_ == p_pool &&
            owner.spec_.idempotent_)
        {
            lent.push_back(attempt.request_);
        }
    }
    std::sort(lent.begin(), lent.end());
    for (const request_id id : lent)
    {
        preempt(requests_.at(id), abandon_reason::preempted);
    }
}

void decider::publish()
{
    if (now_ >= next_digest_)
    {
        next_digest_ = now_ + tuning_.digest_interval_;
        digest out;
        out.from_ = self_;
        out.view_ = view_;
        out.uses_ = backends_.uses();
        for (std::uint32_t i = 0; i < pools_.size(); ++i)
        {
            pool_demand demand{pool_index(i), {}};
            pools_[i].published_demand_ = own_demand(pool_index(i));
            bool any = false;
            for (std::size_t j = 0; j < tier_count; ++j)
            {
                demand.waiting_[j] =
                    static_cast<std::uint16_t>(pools_[i].tiers_[j].size());
                any = any || demand.waiting_[j] > 0;
            }
            if (any)
            {
                out.demands_.push_back(demand);
            }
        }
        out.crashes_ = crashes_.records();
        out.slow_ = backends_.slow_ones();
        actions_->push_back(publish_digest{std::move(out)});
        for (std::uint32_t i = 0; i < pools_.size(); ++i)
        {
            refresh_shares(pool_index(i));
        }
    }
    if (now_ >= next_claims_)
    {
        next_claims_ = now_ + tuning_.cap_claim_interval_;
        for (auto& [home, claims] : caps_.claims(now_))
        {
            if (home == self_ && now_ < home_from_)
            {
                continue;
            }
            if (home != self_)
            {
                actions_->push_back(claim_caps{home, std::move(claims)});
                continue;
            }
            caps_.apply(home_.allocate(self_, claims, *catalogue_,
                                       shares_to_hand_out(), now_),
                        now_);
        }
    }
}

double decider::own_demand(pool_index p_pool) const
{
    const pool_state& state = pools_[p_pool.value()];
    double own = 0;
    for (const auto& lanes : state.tiers_)
    {
        own += static_cast<double>(lanes.size());
    }
    for (const backend_index member : state.subset_)
    {
        own += backends_.own(member);
    }
    return own;
}

double decider::shares_to_hand_out() const
{
    if (listed_.empty())
    {
        return 1;
    }
    std::size_t counted = 1;
    for (const auto& [node, heard] : peer_views_)
    {
        const bool listed =
            std::find(listed_.begin(), listed_.end(), node) != listed_.end();
        if (listed && heard.view_ == view_ &&
            now_ - heard.heard_ < tuning_.digest_lifetime_)
        {
            ++counted;
        }
    }
    return std::min(1.0, static_cast<double>(counted) /
                             static_cast<double>(listed_.size()));
}

} // namespace peridotspar::policy
