#include "policy/decider.hpp"

#include "policy/hashing.hpp"

#include <algorithm>
#include <cmath>

namespace peridotspar::policy
{

namespace
{

constexpr duration check_interval = 100ms;

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
    learned.copy_from(outputs_);
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
    caps_.record_demand(spec.account_, described.predicted_, now_);
    state.prompt_tokens_.add(spec.prompt_tokens_);
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
        backends_.record_first_token(attempt.backend_, now_ - attempt.started_,
                                     now_);
    }
    else if (p_event.tokens_ > 0)
    {
        backends_.record_token_gap(
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
        backends_.record_connection_refused(backend, now_);
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
        crashes_.record_crash(backend, beside, now_);
        backends_.record_connection_refused(backend, now_);
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
        backends_.record_load_report(p_event);
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
    backends_.set_live_peer_count(live_.empty() ? 0 : live_.size() - 1);
    std::erase_if(peer_views_,
                  [this](const auto& p_item) {
                      return std::find(live_.begin(), live_.end(),
                                       p_item.first) == live_.end();
                  });
}

void decider::on(const digest_received& p_event)
{
    const digest& heard = p_event.digest_;
    backends_.record_digest(heard, now_);
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
    caps_.apply_grants(p_event.grants_, now_);
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
        backends_.detect_slow_backends(*catalogue_, now_);
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

} // namespace peridotspar::policy
