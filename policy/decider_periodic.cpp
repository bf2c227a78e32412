// Periodic work: division of slots, digests and cap claims.

#include "policy/decider.hpp"

#include "policy/hashing.hpp"

#include <algorithm>
#include <cmath>

namespace peridotspar::policy
{

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
            own += backends_.own_count(member);
            all += backends_.load(member, now_);
            if (backends_.is_available(member, now_) &&
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
        all += own_waiting +
               backends_.peer_waiting_count(pool_index(i), lowest, now_);
        const double even =
            1.0 / static_cast<double>(std::max<std::size_t>(1, live_.size()));
        const double share = all <= 0 ? even : std::max(own / all, even / 4);
        state.usable_slots_ = std::max(1.0, total * std::min(1.0, share));
        refresh_reserve(pool_index(i));
        refresh_shares(pool_index(i));
        state.wait_estimator_.record_running(running[i]);
    }
}

std::vector<by_lane<unsigned>> decider::running_by_pool() const
{
    std::vector<by_lane<unsigned>> counts(pools_.size());
    for (const auto& [id, attempt] : attempts_)
    {
        const request_state& owner = requests_.at(attempt.request_);
        const auto level = owner.tier_.value();
        ++counts[owner.spec_.pool_.value()][level][owner.is_long_ ? 1 : 0];
    }
    return counts;
}

void decider::refresh_reserve(pool_index p_pool)
{
    pool_state& state = pool(p_pool);
    const bool short_work_active =
        state.last_short_arrival_ &&
        now_ - *state.last_short_arrival_ < tuning_.activity_window_;
    if (!short_work_active || state.subset_.empty())
    {
        state.short_reserved_slots_ = 0;
        return;
    }
    double running = 0;
    for (const backend_index member : state.subset_)
    {
        running +=
            backends_.load(member, now_) - backends_.long_count(member, now_);
    }
    state.short_running_.add(std::max(0.0, running));
    const double usual_running = state.short_running_.value();
    const double wanted =
        usual_running +
        tuning_.short_reserve_stddevs_ * std::sqrt(usual_running) +
        static_cast<double>(state.contending_nodes_ - 1);
    state.short_reserved_slots_ = static_cast<unsigned>(
        std::ceil(wanted / static_cast<double>(state.subset_.size())));
}

void decider::refresh_shares(pool_index p_pool)
{
    pool_state& state = pool(p_pool);
    for (std::size_t i = tier_count; i > 0; --i)
    {
        const auto level = tier(static_cast<std::uint8_t>(i - 1));
        const bool in_use = state.tiers_[i - 1].size() > 0 ||
                            (state.tier_last_arrivals_[i - 1] != time_point{} &&
                             now_ - state.tier_last_arrivals_[i - 1] <
                                 tuning_.activity_window_);
        if (in_use)
        {
            state.highest_active_tier_ = level;
        }
    }
    auto demands = backends_.peer_demands(p_pool, state.subset_, now_);
    state.contending_nodes_ = demands.size() + 1;
    demands.emplace_back(self_, std::max(1.0, state.published_demand_));
    state.shares_.clear();
    for (const backend_index member : state.subset_)
    {
        state.shares_.push_back(slot_shares_.divide(
            catalogue_->backends_[member.value()].name_,
            backends_.slots(member), long_work_limit(state, member), self_,
            demands));
    }
}

void decider::reclaim_borrowed(pool_index p_pool)
{
    pool_state& state = pool(p_pool);
    const auto lowest = tier(static_cast<std::uint8_t>(tier_count - 1));
    const auto has_credit = [this](account_index p_account)
    { return cap_limiter_.has_credit(p_account, now_); };
    bool has_waiting = backends_.has_waiting_peer(p_pool, lowest, now_);
    for (const auto& lanes : state.tiers_)
    {
        for (const account_queue& waiting : lanes.lanes_)
        {
            has_waiting = has_waiting || waiting.peek(has_credit).has_value();
        }
    }
    if (!has_waiting)
    {
        return;
    }
    state.last_waiting_at_ = now_;
    std::vector<request_id> borrowed;
    for (const auto& [id, attempt] : attempts_)
    {
        const request_state& owner = requests_.at(attempt.request_);
        if (owner.borrowed_ && owner.spec_.pool_ == p_pool &&
            owner.spec_.idempotent_)
        {
            borrowed.push_back(attempt.request_);
        }
    }
    std::sort(borrowed.begin(), borrowed.end());
    for (const request_id id : borrowed)
    {
        cancel_and_requeue(requests_.at(id), cancel_reason::preempted);
    }
}

void decider::publish_state()
{
    if (now_ >= next_digest_at_)
    {
        next_digest_at_ = now_ + tuning_.digest_interval_;
        digest outgoing;
        outgoing.from_ = self_;
        outgoing.view_hash_ = view_hash_;
        outgoing.uses_ = backends_.own_usage();
        for (std::uint32_t i = 0; i < pools_.size(); ++i)
        {
            pool_demand demand{pool_index(i), {}};
            pools_[i].published_demand_ = own_demand(pool_index(i));
            bool has_waiting_work = false;
            for (std::size_t j = 0; j < tier_count; ++j)
            {
                demand.waiting_[j] =
                    static_cast<std::uint16_t>(pools_[i].tiers_[j].size());
                has_waiting_work = has_waiting_work || demand.waiting_[j] > 0;
            }
            if (has_waiting_work)
            {
                outgoing.demands_.push_back(demand);
            }
        }
        outgoing.crashes_ = crash_tracker_.records();
        outgoing.suspects_ = crash_attribution_.reports(now_);
        outgoing.slow_ = backends_.slow_backends();
        actions_->push_back(publish_digest{std::move(outgoing)});
        for (std::uint32_t i = 0; i < pools_.size(); ++i)
        {
            refresh_shares(pool_index(i));
        }
    }
    if (now_ >= next_claims_at_)
    {
        next_claims_at_ = now_ + tuning_.cap_claim_interval_;
        for (auto& [home, claims] : cap_limiter_.claims(now_))
        {
            if (home == self_ && now_ < grants_allowed_from_)
            {
                continue;
            }
            if (home != self_)
            {
                actions_->push_back(claim_caps{home, std::move(claims)});
                continue;
            }
            cap_limiter_.apply_grants(
                cap_allocator_.allocate(self_, claims, *catalogue_,
                                        grantable_share(), now_),
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
        own += backends_.own_count(member);
    }
    return own;
}

double decider::grantable_share() const
{
    if (listed_.empty())
    {
        return 1;
    }
    std::size_t matching_nodes = 1;
    for (const auto& [node, view] : peer_views_)
    {
        const bool listed =
            std::find(listed_.begin(), listed_.end(), node) != listed_.end();
        if (listed && view.view_hash_ == view_hash_ &&
            now_ - view.last_heard_at_ < tuning_.digest_lifetime_)
        {
            ++matching_nodes;
        }
    }
    return std::min(1.0, static_cast<double>(matching_nodes) /
                             static_cast<double>(listed_.size()));
}

} // namespace peridotspar::policy
