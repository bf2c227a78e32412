// The decider's placement and preemption.

#include "policy/decider.hpp"

#include "policy/hashing.hpp"

#include <algorithm>
#include <cmath>

namespace peridotspar::policy
{

namespace
{

/// Prefers a kept slot to any load elsewhere.
constexpr double kept_slot_bonus = 1;
constexpr double probe_bonus = 4;
/// Lower tiers get this time to make a probe before the highest one does.
constexpr duration probe_patience = 2s;

} // namespace

bool decider::is_suspect_beside(const live_request& p_request,
                                backend_index p_backend) const
{
    if (!crashes_.is_suspect(p_request.spec_.fingerprint_))
    {
        return false;
    }
    // Two suspects on one backend server would share its next crash.
    return std::any_of(
        running_[p_backend.value()].begin(), running_[p_backend.value()].end(),
        [this](attempt_id p_running)
        {
            const auto& owner = requests_.at(attempts_.at(p_running).request_);
            return crashes_.is_suspect(owner.spec_.fingerprint_);
        });
}

bool decider::has_room(const live_request& p_request,
                       std::size_t p_position) const
{
    const pool_state& state = pools_[p_request.spec_.pool_.value()];
    const backend_index backend = state.subset_[p_position];
    if (!backends_.is_available(backend, now_) || p_request.avoid_ == backend ||
        is_suspect_beside(p_request, backend))
    {
        return false;
    }
    if (backends_.is_slow(backend) && p_request.tier_ == state.top_tier_ &&
        backends_.time_since_probe_due(backend, now_) < probe_patience)
    {
        return false;
    }
    const double load = backends_.load(backend, now_);
    const unsigned slots = backends_.slots(backend);
    if (load >= slots)
    {
        return false;
    }
    // Others may be taking a slot each that looks free from here.
    const auto others = static_cast<double>(state.contenders_ - 1);
    const auto& share = state.shares_[p_position];
    if (p_request.long_)
    {
        const unsigned limit = long_limit(state, backend);
        const unsigned long_work = backends_.long_count(backend, now_);
        return long_work < limit &&
               (backends_.own_long_count(backend) < share.long_slots_ ||
                long_work + others < limit);
    }
    return p_request.tier_ == state.top_tier_ ||
           backends_.own_count(backend) < share.slots_ || load + others < slots;
}

unsigned decider::long_limit(const pool_state& p_pool,
                             backend_index p_backend) const
{
    const unsigned slots = backends_.slots(p_backend);
    const auto most =
        static_cast<unsigned>(slots * tuning_.most_short_reserve_);
    return slots - std::min(most, p_pool.short_reserve_);
}

double decider::score(backend_index p_backend) const
{
    const auto& known = catalogue_->backends_[p_backend.value()];
    double value = backends_.load(p_backend, now_) / backends_.slots(p_backend);
    value *= backends_.slowdown(p_backend, now_);
    if (known.failure_domain_ != own_domain_)
    {
        value += tuning_.distance_penalty_;
    }
    if (backends_.is_slow(p_backend))
    {
        // A probe that is due goes first.
        value -= probe_bonus;
    }
    return value;
}

std::optional<backend_index> decider::place(const live_request& p_request) const
{
    const auto& subset = pools_[p_request.spec_.pool_.value()].subset_;
    if (subset.empty())
    {
        return std::nullopt;
    }
    std::optional<backend_index> best;
    double best_score = 0;
    const auto offer = [&](std::size_t p_position, double p_bonus)
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
        offer(p_request.spec_.prefix_hash_ % subset.size(),
              tuning_.affinity_bonus_);
    }
    for (std::size_t i = 0; i < subset.size(); ++i)
    {
        if (backends_.is_slow(subset[i]))
        {
            offer(i, 0);
        }
    }
    if (!p_request.long_)
    {
        // Slots that are kept for short work of this node are surely free.
        for (std::size_t i = 0; i < subset.size(); ++i)
        {
            if (has_kept_slot(pools_[p_request.spec_.pool_.value()], i))
            {
                offer(i, kept_slot_bonus);
            }
        }
    }
    std::uniform_int_distribution<std::size_t> pick(0, subset.size() - 1);
    offer(pick(random_), 0);
    offer(pick(random_), 0);
    if (best)
    {
        return best;
    }
    const std::size_t first = pick(random_);
    for (std::size_t i = 0; i < subset.size() && !best; ++i)
    {
        offer((first + i) % subset.size(), 0);
    }
    return best;
}

bool decider::has_kept_slot(const pool_state& p_pool,
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

bool decider::may_preempt(const live_request& p_victim,
                          const live_request& p_request) const
{
    if (!p_victim.spec_.idempotent_ || p_victim.reserved_ || !p_victim.attempt_)
    {
        return false;
    }
    return p_victim.borrowed_ || p_victim.tier_ > p_request.tier_;
}

std::optional<backend_index> decider::find_place(const live_request& p_request)
{
    const auto found = place(p_request);
    if (found && !is_risky(p_request, *found))
    {
        return found;
    }
    if (const auto freed = make_room(p_request))
    {
        return freed;
    }
    return found ? found : ask_for_room(p_request);
}

bool decider::is_risky(const live_request& p_request,
                       backend_index p_backend) const
{
    const pool_state& state = pools_[p_request.spec_.pool_.value()];
    if (p_request.long_ || p_request.tier_ != state.top_tier_)
    {
        return false;
    }
    const auto found =
        std::find(state.subset_.begin(), state.subset_.end(), p_backend);
    const auto position =
        static_cast<std::size_t>(found - state.subset_.begin());
    const auto others = static_cast<double>(state.contenders_ - 1);
    return !has_kept_slot(state, position) &&
           backends_.load(p_backend, now_) + others >=
               backends_.slots(p_backend);
}

std::optional<backend_index> decider::make_room(const live_request& p_request)
{
    const auto& subset = pool(p_request.spec_.pool_).subset_;
    live_request* victim = nullptr;
    const auto ranks_lower =
        [](const live_request& p_left, const live_request& p_right)
    {
        if (p_left.borrowed_ != p_right.borrowed_)
        {
            return p_left.borrowed_;
        }
        if (p_left.tier_ != p_right.tier_)
        {
            return p_left.tier_ > p_right.tier_;
        }
        return p_left.received_ < p_right.received_;
    };
    for (const backend_index member : subset)
    {
        if (!backends_.is_available(member, now_) || p_request.avoid_ == member)
        {
            continue;
        }
        for (const attempt_id running : running_[member.value()])
        {
            live_request& owner = requests_.at(attempts_.at(running).request_);
            const bool frees_room = !p_request.long_ || owner.long_;
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
    const backend_index freed = attempts_.at(*victim->attempt_).backend_;
    preempt(*victim, abandon_reason::preempted);
    return freed;
}

std::optional<backend_index>
decider::ask_for_room(const live_request& p_request)
{
    if (p_request.long_)
    {
        return std::nullopt;
    }
    for (const backend_index member : pool(p_request.spec_.pool_).subset_)
    {
        if (!backends_.is_available(member, now_) || p_request.avoid_ == member)
        {
            continue;
        }
        if (const auto peer =
                backends_.claim_preemptible_peer(member, p_request.tier_, now_))
        {
            actions_->push_back(ask_yield{*peer, member, p_request.tier_});
            return member;
        }
    }
    return std::nullopt;
}

} // namespace peridotspar::policy
