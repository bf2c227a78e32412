#include "policy/decider.hpp"

#include "policy/hashing.hpp"

#include <algorithm>
#include <cmath>

namespace peridotspar::policy
{

namespace
{

/// Interval between checks for slow backend servers, overdue attempts and
/// requests to shed.
constexpr duration check_interval = 100ms;

/// Hash of a set of nodes, independent of their order.
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

decider::decider(node_id p_self, failure_domain_id p_failure_domain,
                 std::uint64_t p_seed, tuning p_tuning)
    : self_(std::move(p_self)),
      own_failure_domain_(std::move(p_failure_domain)),
      tuning_(p_tuning),
      random_(p_seed),
      catalogue_(std::make_shared<catalogue>()),
      backends_(tuning_),
      cap_limiter_(tuning_),
      cap_allocator_(tuning_),
      retry_budget_(tuning_.retry_ratio_, tuning_.retry_reserve_),
      crash_tracker_(tuning_.crash_record_lifetime_),
      listed_{self_},
      live_{self_},
      view_hash_(hash_view(live_))
{
}

void decider::handle(const event& p_event, time_point p_now,
                     std::vector<action>& r_actions)
{
    now_ = std::max(now_, p_now);
    actions_ = &r_actions;
    std::visit([this](const auto& p_alternative) { on(p_alternative); },
               p_event);
    actions_ = nullptr;
}

// Events.

void decider::on(const catalogue_changed& p_event)
{
    catalogue_ = p_event.catalogue_;
    cap_limiter_.configure(*catalogue_);
    backends_.configure(*catalogue_);
    cap_allocator_.reset();
    output_predictor predictor(catalogue_->classes_.size());
    predictor.copy_from(output_predictor_);
    output_predictor_ = std::move(predictor);
    running_by_backend_.resize(catalogue_->backends_.size());
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
        for (const pool_index pool_of_backend : catalogue_->backends_[i].pools_)
        {
            pool(pool_of_backend).subset_.push_back(backend_index(i));
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
    request_state new_request = make_request_state(p_event.request_);
    const auto& spec = new_request.spec_;
    pool_state& state = pool(spec.pool_);
    cap_limiter_.record_demand(spec.account_, new_request.predicted_tokens_,
                               now_);
    state.prompt_tokens_.add(spec.prompt_tokens_);
    state.tier_last_arrivals_[new_request.tier_.value()] = now_;
    state.highest_active_tier_ =
        std::min(state.highest_active_tier_, new_request.tier_);
    if (!new_request.is_long_)
    {
        state.last_short_arrival_ = now_;
    }
    if (auto refused = check_admission(new_request))
    {
        actions_->push_back(*refused);
        return;
    }
    const auto [position, added] = requests_.emplace(spec.id_, new_request);
    enqueue(position->second, false);
    schedule(position->second.spec_.pool_);
}

void decider::on(const output_received& p_event)
{
    const auto found = attempts_.find(p_event.attempt_);
    if (found == attempts_.end())
    {
        return;
    }
    attempt_state& attempt = found->second;
    request_state& owner = requests_.at(attempt.request_);
    if (!attempt.has_output_)
    {
        attempt.has_output_ = true;
        attempt.first_output_at_ = now_;
        backends_.record_first_token(attempt.backend_,
                                     now_ - attempt.started_at_, now_);
    }
    else if (p_event.tokens_ > 0)
    {
        backends_.record_token_gap(
            attempt.backend_,
            to_seconds(now_ - attempt.last_output_at_) / p_event.tokens_, now_);
    }
    check_output_continues(attempt);
    attempt.last_output_at_ = now_;
    attempt.tokens_ += p_event.tokens_;
    owner.received_tokens_ += p_event.tokens_;
    owner.output_version_ =
        catalogue_->backends_[attempt.backend_.value()].version_;
    if (!owner.borrowed_ && owner.received_tokens_ > owner.charged_tokens_)
    {
        const double excess_tokens =
            owner.received_tokens_ - owner.charged_tokens_;
        cap_limiter_.charge(owner.spec_.account_, excess_tokens, now_);
        owner.charged_tokens_ += excess_tokens;
    }
}

void decider::on(const attempt_ended& p_event)
{
    const auto found = attempts_.find(p_event.attempt_);
    if (found == attempts_.end())
    {
        return;
    }
    request_state& owner = requests_.at(found->second.request_);
    const backend_index backend = found->second.backend_;
    const pool_index request_pool = owner.spec_.pool_;
    switch (p_event.result_)
    {
    case attempt_result::completed:
        crash_attribution_.record_answer(owner.spec_.suspects_,
                                         found->second.started_at_, now_);
        release_attempt(owner);
        complete_request(owner);
        break;
    case attempt_result::key_already_claimed:
    case attempt_result::claim_failed:
        release_attempt(owner);
        refund_unused_tokens(owner);
        requests_.erase(owner.spec_.id_);
        break;
    case attempt_result::refused:
        release_attempt(owner);
        owner.avoided_backend_ = backend;
        retry_or_refuse(owner, true);
        break;
    case attempt_result::unsent:
        backends_.record_connection_refused(backend, now_);
        release_attempt(owner);
        owner.avoided_backend_ = backend;
        owner.possibly_sent_ = owner.received_tokens_ > 0;
        retry_or_refuse(owner, true);
        break;
    case attempt_result::connection_lost:
    {
        std::vector<fingerprint> running_fingerprints;
        for (const attempt_id running : running_by_backend_[backend.value()])
        {
            running_fingerprints.push_back(
                requests_.at(attempts_.at(running).request_)
                    .spec_.fingerprint_);
        }
        crash_tracker_.record_crash(backend, running_fingerprints, now_);
        record_crash(found->second);
        backends_.record_connection_refused(backend, now_);
        release_attempt(owner);
        owner.avoided_backend_ = backend;
        retry_or_refuse(owner, owner.spec_.idempotent_);
        break;
    }
    }
    resume_interrupted();
    retry_overdue_first();
    schedule(request_pool);
}

void decider::on(const caller_disconnected& p_event)
{
    const auto found = requests_.find(p_event.request_);
    if (found == requests_.end())
    {
        return;
    }
    request_state& owner = found->second;
    const pool_index request_pool = owner.spec_.pool_;
    if (owner.attempt_)
    {
        if (!owner.spec_.idempotent_)
        {
            // The effect of the request cannot be undone, so it runs to its
            // end and its answer is recorded.
            return;
        }
        actions_->push_back(cancel_attempt{owner.spec_.id_, *owner.attempt_,
                                           cancel_reason::caller_disconnected});
        release_attempt(owner);
    }
    else
    {
        dequeue(owner);
    }
    refund_unused_tokens(owner);
    requests_.erase(found);
    schedule(request_pool);
}

void decider::on(const load_reported& p_event)
{
    if (p_event.backend_.value() < running_by_backend_.size())
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
    const std::uint64_t view_hash = hash_view(live_);
    if (view_hash != view_hash_)
    {
        view_hash_ = view_hash;
        cap_allocator_.reset();
        grants_allowed_from_ = now_ + tuning_.cap_grant_lifetime_;
    }
    std::vector<std::uint64_t> others;
    for (const node_id& node : live_)
    {
        if (node != self_)
        {
            others.push_back(hash_text(node.value()));
        }
    }
    crash_attribution_.set_nodes(hash_text(self_.value()), std::move(others));
    cap_limiter_.set_nodes(self_, listed_, live_);
    backends_.set_live_peer_count(live_.empty() ? 0 : live_.size() - 1);
    std::erase_if(peer_views_,
                  [this](const auto& p_item) {
                      return std::find(live_.begin(), live_.end(),
                                       p_item.first) == live_.end();
                  });
}

void decider::on(const digest_received& p_event)
{
    const digest& received = p_event.digest_;
    backends_.record_digest(received, now_);
    crash_tracker_.merge(received.crashes_, now_);
    for (const auto& report : received.suspects_)
    {
        crash_attribution_.merge(report, now_);
    }
    peer_views_[received.from_] = {received.view_hash_, now_};
    for (std::uint32_t i = 0; i < pools_.size(); ++i)
    {
        refresh_shares(pool_index(i));
    }
}

void decider::on(const caps_claimed& p_event)
{
    if (now_ < grants_allowed_from_)
    {
        return;
    }
    actions_->push_back(grant_caps{
        p_event.from_,
        cap_allocator_.allocate(p_event.from_, p_event.claims_, *catalogue_,
                                grantable_share(), now_)});
}

void decider::on(const caps_granted& p_event)
{
    cap_limiter_.apply_grants(p_event.grants_, now_);
    for (std::uint32_t i = 0; i < pools_.size(); ++i)
    {
        schedule(pool_index(i));
    }
}

void decider::on(const preemption_requested& p_event)
{
    if (p_event.backend_.value() >= running_by_backend_.size())
    {
        return;
    }
    request_state* victim = nullptr;
    for (const attempt_id running :
         running_by_backend_[p_event.backend_.value()])
    {
        request_state& owner = requests_.at(attempts_.at(running).request_);
        const bool lower = owner.tier_ > p_event.requester_tier_;
        if (lower && owner.spec_.idempotent_ && !owner.on_minimum_share_ &&
            (victim == nullptr || owner.tier_ > victim->tier_))
        {
            victim = &owner;
        }
    }
    if (victim != nullptr)
    {
        cancel_and_requeue(*victim, cancel_reason::preempted);
    }
}

void decider::on(const clock_ticked&)
{
    if (now_ >= next_check_at_)
    {
        next_check_at_ = now_ + check_interval;
        backends_.detect_slow_backends(*catalogue_, now_);
        crash_tracker_.expire(now_);
        crash_attribution_.tick(now_);
        refuse_quarantined();
        refresh_slots();
        retry_overdue();
        move_off_slow_backends();
        for (std::uint32_t i = 0; i < pools_.size(); ++i)
        {
            shed_overload(pool_index(i));
        }
        shed_expired();
        end_interrupted();
    }
    for (std::uint32_t i = 0; i < pools_.size(); ++i)
    {
        reclaim_borrowed(pool_index(i));
        schedule(pool_index(i));
    }
    publish_state();
}

} // namespace peridotspar::policy
