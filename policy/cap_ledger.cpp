#include "policy/cap_ledger.hpp"

#include "policy/hashing.hpp"

#include <algorithm>
#include <unordered_map>

namespace peridotspar::policy
{

namespace
{

/// How long an account counts as in use after its last request.
constexpr duration use_memory = std::chrono::seconds(2);

} // namespace

void cap_ledger::configure(const catalogue& p_catalogue)
{
    std::unordered_map<std::string, entry> before;
    for (auto& known : entries_)
    {
        before.emplace(known.name_, known);
    }
    entries_.clear();
    for (const auto& account : p_catalogue.accounts_)
    {
        entry next;
        if (const auto found = before.find(account.name_);
            found != before.end())
        {
            next = found->second;
        }
        next.name_ = account.name_;
        next.cap_rate_ = account.cap_tokens_per_s_;
        next.cap_concurrent_ = account.cap_concurrent_;
        entries_.push_back(next);
    }
    divide();
}

void cap_ledger::set_nodes(const node_id& p_self,
                           const std::vector<node_id>& p_listed,
                           const std::vector<node_id>& p_live)
{
    self_ = p_self;
    listed_ = p_listed;
    live_ = p_live;
    divide();
}

void cap_ledger::divide()
{
    const auto nodes =
        static_cast<std::uint32_t>(std::max<std::size_t>(1, listed_.size()));
    for (auto& known : entries_)
    {
        const std::uint32_t rest = known.cap_concurrent_ % nodes;
        known.static_concurrent_ = known.cap_concurrent_ / nodes;
        if (rest > 0 && !listed_.empty() &&
            rendezvous_rank(known.name_, listed_, self_) < rest)
        {
            ++known.static_concurrent_;
        }
    }
}

double cap_ledger::rate(const entry& p_entry, time_point p_now) const
{
    if (p_now < p_entry.granted_until_)
    {
        return p_entry.granted_rate_;
    }
    return p_entry.cap_rate_ /
           static_cast<double>(std::max<std::size_t>(1, listed_.size()));
}

std::uint32_t cap_ledger::concurrent(const entry& p_entry,
                                     time_point p_now) const
{
    return p_now < p_entry.granted_until_ ? p_entry.granted_concurrent_
                                          : p_entry.static_concurrent_;
}

cap_ledger::entry& cap_ledger::settled(account_index p_account,
                                       time_point p_now)
{
    entry& known = entries_[p_account.value()];
    const bool divided = listed_.size() > 1;
    const double earned =
        (divided ? tuning_.cap_refill_fraction_ : 1) * rate(known, p_now);
    const double most = earned * to_seconds(tuning_.cap_burst_);
    const double gained = earned * to_seconds(p_now - known.settled_);
    // Credit beyond the burst is lost; a balance already above it, from a
    // time of a larger share, is kept but doesn't grow.
    known.balance_ = std::max(std::min(known.balance_ + gained, most),
                              std::min(known.balance_, most));
    known.settled_ = p_now;
    return known;
}

bool cap_ledger::has_credit(account_index p_account, time_point p_now)
{
    const entry& known = settled(p_account, p_now);
    return known.balance_ > 0 &&
           known.running_ < static_cast<int>(concurrent(known, p_now));
}

duration cap_ledger::credit_wait(account_index p_account, double p_tokens,
                                 time_point p_now)
{
    const entry& known = settled(p_account, p_now);
    const double missing = p_tokens - known.balance_;
    const double earned = rate(known, p_now);
    if (missing <= 0)
    {
        return duration(0);
    }
    constexpr double longest_wait_s = 3600;
    return from_seconds(earned <= 0
                            ? longest_wait_s
                            : std::min(longest_wait_s, missing / earned));
}

duration cap_ledger::admission_wait(account_index p_account, double p_tokens,
                                    double p_service_s, time_point p_now)
{
    const entry& known = settled(p_account, p_now);
    const duration by_tokens =
        credit_wait(p_account, known.waiting_ * p_tokens, p_now);
    const double places = concurrent(known, p_now);
    const double over = known.running_ + known.waiting_ + 1 - places;
    if (over <= 0)
    {
        return by_tokens;
    }
    constexpr double longest_wait_s = 3600;
    const duration by_places = from_seconds(
        places <= 0 ? longest_wait_s
                    : std::min(longest_wait_s, over * p_service_s / places));
    return std::max(by_tokens, by_places);
}

void cap_ledger::charge(account_index p_account, double p_tokens,
                        time_point p_now)
{
    settled(p_account, p_now).balance_ -= p_tokens;
}

void cap_ledger::note_demand(account_index p_account, double p_tokens,
                             time_point p_now)
{
    entry& known = entries_[p_account.value()];
    known.demand_.note(p_tokens, p_now);
    known.last_used_ = p_now;
}

void cap_ledger::note_waiting(account_index p_account, int p_change)
{
    entries_[p_account.value()].waiting_ += p_change;
}

void cap_ledger::note_running(account_index p_account, int p_change)
{
    entries_[p_account.value()].running_ += p_change;
}

std::map<node_id, std::vector<cap_claim>> cap_ledger::claims(time_point p_now)
{
    std::map<node_id, std::vector<cap_claim>> by_home;
    if (live_.size() < 2)
    {
        return by_home;
    }
    for (std::uint32_t i = 0; i < entries_.size(); ++i)
    {
        const entry& known = entries_[i];
        const bool in_use = known.running_ > 0 || known.waiting_ > 0 ||
                            (known.last_used_ != time_point{} &&
                             p_now - known.last_used_ < use_memory);
        if (!in_use)
        {
            continue;
        }
        const auto account = account_index(i);
        by_home[home_of(account)].push_back(
            {account, known.demand_.per_second(p_now),
             static_cast<std::uint32_t>(
                 std::max(0, known.running_ + known.waiting_))});
    }
    return by_home;
}

void cap_ledger::apply(const std::vector<cap_grant>& p_grants, time_point p_now)
{
    for (const auto& grant : p_grants)
    {
        if (grant.account_.value() >= entries_.size())
        {
            continue;
        }
        // What was earned so far is earned at the rate that held so far.
        entry& known = settled(grant.account_, p_now);
        known.granted_rate_ = grant.tokens_per_s_;
        known.granted_concurrent_ = grant.concurrent_;
        known.granted_until_ = p_now + tuning_.cap_grant_lifetime_;
    }
}

const node_id& cap_ledger::home_of(account_index p_account) const
{
    return rendezvous_home(entries_[p_account.value()].name_, live_);
}

} // namespace peridotspar::policy
