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
        state.slots_ = std::max(1.0, total * std::min(1.0, share));
        refresh_reserve(pool_index(i));
        refresh_shares(pool_index(i));
        state.waits_.record_running(running[i]);
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
            backends_.load(member, now_) - backends_.long_count(member, now_);
    }
    state.short_running_.add(std::max(0.0, running));
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
    bool waited_for = backends_.has_waiting_peer(p_pool, lowest, now_);
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
        out.uses_ = backends_.own_usage();
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
        out.slow_ = backends_.slow_backends();
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
            caps_.apply_grants(home_.allocate(self_, claims, *catalogue_,
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
        own += backends_.own_count(member);
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
