// Choice of a backend server for a request, and preemption.

#include "policy/decider.hpp"

#include "policy/hashing.hpp"

#include <algorithm>
#include <cmath>

namespace peridotspar::policy
{

namespace
{

/// Subtracted from the score of a backend server with a slot that is reserved
/// for this node. It outweighs any difference in load.
constexpr double reserved_slot_bonus = 1;
/// Subtracted from the score of a backend server whose probe is due.
constexpr double probe_bonus = 4;
/// A probe that has been due for this long may also use a request of the
/// highest active tier; before, only lower tiers make it.
constexpr duration top_tier_probe_delay = 2s;

} // namespace

bool decider::is_second_suspect(const request_state& p_request,
                                backend_index p_backend) const
{
    if (!crash_tracker_.is_suspect(p_request.spec_.fingerprint_))
    {
        return false;
    }
    // If two suspects ran on a backend server that crashes, the crash would
    // not tell which of them caused it.
    return std::any_of(
        running_by_backend_[p_backend.value()].begin(),
        running_by_backend_[p_backend.value()].end(),
        [this](attempt_id p_running)
        {
            const auto& owner = requests_.at(attempts_.at(p_running).request_);
            return crash_tracker_.is_suspect(owner.spec_.fingerprint_);
        });
}

bool decider::may_go_on_at(const request_state& p_request,
                           backend_index p_backend) const
{
    return p_request.received_tokens_ == 0 ||
           p_request.output_version_ ==
               catalogue_->backends_[p_backend.value()].version_;
}

bool decider::has_room(const request_state& p_request,
                       std::size_t p_position) const
{
    const pool_state& state = pools_[p_request.spec_.pool_.value()];
    const backend_index backend = state.subset_[p_position];
    if (!backends_.is_available(backend, now_) ||
        p_request.avoided_backend_ == backend ||
        !may_go_on_at(p_request, backend) ||
        is_second_suspect(p_request, backend))
    {
        return false;
    }
    if (backends_.is_slow(backend) &&
        p_request.tier_ == state.highest_active_tier_ &&
        backends_.time_since_probe_due(backend, now_) < top_tier_probe_delay)
    {
        return false;
    }
    const double load = backends_.load(backend, now_);
    const unsigned slots = backends_.slots(backend);
    if (load >= slots)
    {
        return false;
    }
    // Each of the other nodes may be taking a slot that looks free here.
    const auto others = static_cast<double>(state.contending_nodes_ - 1);
    const auto& share = state.shares_[p_position];
    if (p_request.is_long_)
    {
        const unsigned limit = long_work_limit(state, backend);
        const unsigned long_work = backends_.long_count(backend, now_);
        return long_work < limit &&
               (backends_.own_long_count(backend) < share.long_slots_ ||
                long_work + others < limit);
    }
    return p_request.tier_ == state.highest_active_tier_ ||
           backends_.own_count(backend) < share.slots_ || load + others < slots;
}

unsigned decider::long_work_limit(const pool_state& p_pool,
                                  backend_index p_backend) const
{
    const unsigned slots = backends_.slots(p_backend);
    const auto max_reserved =
        static_cast<unsigned>(slots * tuning_.max_short_reserve_fraction_);
    return slots - std::min(max_reserved, p_pool.short_reserved_slots_);
}

double decider::score(backend_index p_backend) const
{
    const auto& known = catalogue_->backends_[p_backend.value()];
    double value = backends_.load(p_backend, now_) / backends_.slots(p_backend);
    value *= backends_.slowdown(p_backend, now_);
    if (known.failure_domain_ != own_failure_domain_)
    {
        value += tuning_.remote_domain_penalty_;
    }
    if (backends_.is_slow(p_backend))
    {
        value -= probe_bonus;
    }
    return value;
}

std::optional<backend_index>
decider::choose_backend(const request_state& p_request) const
{
    const auto& subset = pools_[p_request.spec_.pool_.value()].subset_;
    if (subset.empty())
    {
        return std::nullopt;
    }
    std::optional<backend_index> best;
    double best_score = 0;
    const auto consider = [&](std::size_t p_position, double p_bonus)
    {
        if (!has_room(p_request, p_position))
        {
            return;
        }
        const double value = score(subset[p_position]) - p_bonus;
        if (!best || value < best_score)
        {
            best = subset[p_position];
            best_score = value;
        }
    };
    if (p_request.spec_.prefix_hash_ != 0)
    {
        consider(p_request.spec_.prefix_hash_ % subset.size(),
                 tuning_.prefix_affinity_bonus_);
    }
    for (std::size_t i = 0; i < subset.size(); ++i)
    {
        if (backends_.is_slow(subset[i]))
        {
            consider(i, 0);
        }
    }
    if (!p_request.is_long_)
    {
        // No other node takes a slot that is reserved for this node.
        for (std::size_t i = 0; i < subset.size(); ++i)
        {
            if (has_reserved_slot(pools_[p_request.spec_.pool_.value()], i))
            {
                consider(i, reserved_slot_bonus);
            }
        }
    }
    std::uniform_int_distribution<std::size_t> pick(0, subset.size() - 1);
    consider(pick(random_), 0);
    consider(pick(random_), 0);
    if (best)
    {
        return best;
    }
    const std::size_t first = pick(random_);
    for (std::size_t i = 0; i < subset.size() && !best; ++i)
    {
        consider((first + i) % subset.size(), 0);
    }
    return best;
}

bool decider::has_reserved_slot(const pool_state& p_pool,
                                std::size_t p_position) const
{
    const backend_index backend = p_pool.subset_[p_position];
    const auto& share = p_pool.shares_[p_position];
    if (backends_.long_count(backend, now_) == 0)
    {
        return backends_.own_count(backend) < share.slots_;
    }
    return backends_.own_count(backend) - backends_.own_long_count(backend) <
           share.slots_ - share.long_slots_;
}

bool decider::may_preempt(const request_state& p_victim,
                          const request_state& p_request) const
{
    if (!p_victim.spec_.idempotent_ || p_victim.on_minimum_share_ ||
        !p_victim.attempt_)
    {
        return false;
    }
    return p_victim.borrowed_ || p_victim.tier_ > p_request.tier_;
}

std::optional<backend_index>
decider::choose_backend_or_preempt(const request_state& p_request)
{
    const auto found = choose_backend(p_request);
    if (found && !may_be_contended(p_request, *found))
    {
        return found;
    }
    if (const auto freed_backend = preempt_for(p_request))
    {
        return freed_backend;
    }
    return found ? found : request_peer_preemption(p_request);
}

bool decider::may_be_contended(const request_state& p_request,
                               backend_index p_backend) const
{
    const pool_state& state = pools_[p_request.spec_.pool_.value()];
    if (p_request.is_long_ || p_request.tier_ != state.highest_active_tier_)
    {
        return false;
    }
    const auto found =
        std::find(state.subset_.begin(), state.subset_.end(), p_backend);
    const auto position =
        static_cast<std::size_t>(found - state.subset_.begin());
    const auto others = static_cast<double>(state.contending_nodes_ - 1);
    return !has_reserved_slot(state, position) &&
           backends_.load(p_backend, now_) + others >=
               backends_.slots(p_backend);
}

std::optional<backend_index>
decider::preempt_for(const request_state& p_request)
{
    const auto& subset = pool(p_request.spec_.pool_).subset_;
    request_state* victim = nullptr;
    const auto ranks_lower =
        [](const request_state& p_left, const request_state& p_right)
    {
        if (p_left.borrowed_ != p_right.borrowed_)
        {
            return p_left.borrowed_;
        }
        if (p_left.tier_ != p_right.tier_)
        {
            return p_left.tier_ > p_right.tier_;
        }
        return p_left.received_tokens_ < p_right.received_tokens_;
    };
    for (const backend_index member : subset)
    {
        if (!backends_.is_available(member, now_) ||
            p_request.avoided_backend_ == member)
        {
            continue;
        }
        for (const attempt_id running : running_by_backend_[member.value()])
        {
            request_state& owner = requests_.at(attempts_.at(running).request_);
            const bool frees_room = !p_request.is_long_ || owner.is_long_;
            if (frees_room && may_preempt(owner, p_request) &&
                (victim == nullptr || ranks_lower(owner, *victim)))
            {
                victim = &owner;
            }
        }
    }
    if (victim == nullptr)
    {
        return std::nullopt;
    }
    const backend_index freed_backend =
        attempts_.at(*victim->attempt_).backend_;
    cancel_and_requeue(*victim, cancel_reason::preempted);
    return freed_backend;
}

std::optional<backend_index>
decider::request_peer_preemption(const request_state& p_request)
{
    if (p_request.is_long_)
    {
        return std::nullopt;
    }
    for (const backend_index member : pool(p_request.spec_.pool_).subset_)
    {
        if (!backends_.is_available(member, now_) ||
            p_request.avoided_backend_ == member)
        {
            continue;
        }
        if (const auto peer =
                backends_.claim_preemptible_peer(member, p_request.tier_, now_))
        {
            actions_->push_back(
                request_preemption{*peer, member, p_request.tier_});
            return member;
        }
    }
    return std::nullopt;
}

} // namespace peridotspar::policy
