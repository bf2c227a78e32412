#include "policy/cap_limiter.hpp"

#include "policy/hashing.hpp"

#include <algorithm>
#include <unordered_map>

namespace peridotspar::policy
{

namespace
{

/// An account counts as in use for this time after its last request.
constexpr duration in_use_period = std::chrono::seconds(2);

} // namespace

void cap_limiter::configure(const catalogue& p_catalogue)
{
    std::unordered_map<std::string, account_state> previous;
    for (auto& state : accounts_)
    {
        previous.emplace(state.name_, state);
    }
    accounts_.clear();
    for (const auto& account : p_catalogue.accounts_)
    {
        account_state updated;
        if (const auto found = previous.find(account.name_);
            found != previous.end())
        {
            updated = found->second;
        }
        updated.name_ = account.name_;
        updated.cap_rate_ = account.cap_tokens_per_s_;
        updated.cap_concurrent_ = account.cap_concurrent_;
        accounts_.push_back(updated);
    }
    update_static_shares();
}

void cap_limiter::set_nodes(const node_id& p_self,
                            const std::vector<node_id>& p_listed,
                            const std::vector<node_id>& p_live)
{
    self_ = p_self;
    listed_ = p_listed;
    live_ = p_live;
    update_static_shares();
}

void cap_limiter::update_static_shares()
{
    const auto node_count =
        static_cast<std::uint32_t>(std::max<std::size_t>(1, listed_.size()));
    for (auto& state : accounts_)
    {
        const std::uint32_t remainder = state.cap_concurrent_ % node_count;
        state.static_concurrent_ = state.cap_concurrent_ / node_count;
        if (remainder > 0 && !listed_.empty() &&
            rendezvous_rank(state.name_, listed_, self_) < remainder)
        {
            ++state.static_concurrent_;
        }
    }
}

double cap_limiter::token_rate(const account_state& p_state,
                               time_point p_now) const
{
    if (p_now < p_state.granted_until_)
    {
        return p_state.granted_rate_;
    }
    return p_state.cap_rate_ /
           static_cast<double>(std::max<std::size_t>(1, listed_.size()));
}

std::uint32_t cap_limiter::concurrency_limit(const account_state& p_state,
                                             time_point p_now) const
{
    return p_now < p_state.granted_until_ ? p_state.granted_concurrent_
                                          : p_state.static_concurrent_;
}

cap_limiter::account_state& cap_limiter::refill(account_index p_account,
                                                time_point p_now)
{
    account_state& state = accounts_[p_account.value()];
    const bool divided = listed_.size() > 1;
    const double refill_rate =
        (divided ? tuning_.cap_refill_fraction_ : 1) * token_rate(state, p_now);
    const double max_balance = refill_rate * to_seconds(tuning_.cap_burst_);
    const double refill_tokens =
        refill_rate * to_seconds(p_now - state.refilled_at_);
    // Tokens beyond the burst allowance are dropped, also when the account's
    // share and thereby its allowance became smaller.
    state.balance_ =
        std::max(std::min(state.balance_ + refill_tokens, max_balance),
                 std::min(state.balance_, max_balance));
    state.refilled_at_ = p_now;
    return state;
}

bool cap_limiter::has_credit(account_index p_account, time_point p_now)
{
    const account_state& state = refill(p_account, p_now);
    return state.balance_ > 0 &&
           state.running_ < static_cast<int>(concurrency_limit(state, p_now));
}

duration cap_limiter::time_until_credit(account_index p_account,
                                        double p_tokens, time_point p_now)
{
    const account_state& state = refill(p_account, p_now);
    const double deficit = p_tokens - state.balance_;
    const double refill_rate = token_rate(state, p_now);
    if (deficit <= 0)
    {
        return duration(0);
    }
    constexpr double max_wait_s = 3600;
    return from_seconds(refill_rate <= 0
                            ? max_wait_s
                            : std::min(max_wait_s, deficit / refill_rate));
}

duration cap_limiter::admission_wait(account_index p_account, double p_tokens,
                                     double p_service_s, time_point p_now)
{
    const account_state& state = refill(p_account, p_now);
    const duration by_tokens =
        time_until_credit(p_account, state.waiting_ * p_tokens, p_now);
    const double limit = concurrency_limit(state, p_now);
    const double excess = state.running_ + state.waiting_ + 1 - limit;
    if (excess <= 0)
    {
        return by_tokens;
    }
    constexpr double max_wait_s = 3600;
    const duration by_concurrency = from_seconds(
        limit <= 0 ? max_wait_s
                   : std::min(max_wait_s, excess * p_service_s / limit));
    return std::max(by_tokens, by_concurrency);
}

void cap_limiter::charge(account_index p_account, double p_tokens,
                         time_point p_now)
{
    refill(p_account, p_now).balance_ -= p_tokens;
}

void cap_limiter::record_demand(account_index p_account, double p_tokens,
                                time_point p_now)
{
    account_state& state = accounts_[p_account.value()];
    state.demand_.add(p_tokens, p_now);
    state.last_used_ = p_now;
}

void cap_limiter::adjust_waiting(account_index p_account, int p_delta)
{
    accounts_[p_account.value()].waiting_ += p_delta;
}

void cap_limiter::adjust_running(account_index p_account, int p_delta)
{
    accounts_[p_account.value()].running_ += p_delta;
}

std::map<node_id, std::vector<cap_claim>> cap_limiter::claims(time_point p_now)
{
    std::map<node_id, std::vector<cap_claim>> by_home;
    if (live_.size() < 2)
    {
        return by_home;
    }
    for (std::uint32_t i = 0; i < accounts_.size(); ++i)
    {
        const account_state& state = accounts_[i];
        const bool in_use = state.running_ > 0 || state.waiting_ > 0 ||
                            (state.last_used_ != time_point{} &&
                             p_now - state.last_used_ < in_use_period);
        if (!in_use)
        {
            continue;
        }
        const auto account = account_index(i);
        by_home[home_of(account)].push_back(
            {account, state.demand_.per_second(p_now),
             static_cast<std::uint32_t>(
                 std::max(0, state.running_ + state.waiting_))});
    }
    return by_home;
}

void cap_limiter::apply_grants(const std::vector<cap_grant>& p_grants,
                               time_point p_now)
{
    for (const auto& grant : p_grants)
    {
        if (grant.account_.value() >= accounts_.size())
        {
            continue;
        }
        // The refill must use the rate that applied up to now.
        account_state& state = refill(grant.account_, p_now);
        state.granted_rate_ = grant.tokens_per_s_;
        state.granted_concurrent_ = grant.concurrent_;
        state.granted_until_ = p_now + tuning_.cap_grant_lifetime_;
    }
}

const node_id& cap_limiter::home_of(account_index p_account) const
{
    return rendezvous_home(accounts_[p_account.value()].name_, live_);
}

} // namespace peridotspar::policy
