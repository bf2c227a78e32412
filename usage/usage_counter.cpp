#include "usage/usage_counter.hpp"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdlib>

namespace peridotspar
{
namespace
{

using namespace std::chrono_literals;

constexpr duration min_send_interval = 250ms;
/// Times after the end of a window at which it is sent again, in milliseconds,
/// as datagrams get lost.
constexpr std::array<std::int64_t, 2> resend_delays_ms{300, 1200};

std::size_t resends_due(std::int64_t p_base_ms, std::int64_t p_unix_ms)
{
    const auto is_due = [&](std::int64_t p_delay)
    { return p_unix_ms - p_base_ms >= p_delay; };
    return static_cast<std::size_t>(std::count_if(
        resend_delays_ms.begin(), resend_delays_ms.end(), is_due));
}

} // namespace

usage_counter::usage_counter(duration p_window) : window_(p_window) {}

void usage_counter::record_begin(const std::string& p_account,
                                 std::int64_t p_unix_ms)
{
    window_counts& window = window_of(window_at(p_unix_ms, window_));
    if (window.accounts_.size() >= max_accounts &&
        !window.accounts_.contains(p_account))
    {
        ++left_out_;
        return;
    }
    account_count& count = window.accounts_[p_account];
    ++count.requests_;
    count.changed_at_ = ++changes_;
    window.changed_at_ = changes_;
}

usage_counter::window_counts& usage_counter::window_of(window_id p_id)
{
    const auto known = windows_.find(p_id);
    if (known != windows_.end())
    {
        return known->second;
    }
    if (windows_.size() >= max_windows)
    {
        drop_farthest_window(p_id);
    }
    return windows_[p_id];
}

/// The farthest window is the oldest one, except after a step of the clock: a
/// window far in the future must not displace the last ones for long.
void usage_counter::drop_farthest_window(window_id p_from)
{
    const auto distance = [&](const auto& p_entry)
    { return std::abs(p_entry.first.value() - p_from.value()); };
    const auto farthest =
        std::max_element(windows_.begin(), windows_.end(),
                         [&](const auto& p_left, const auto& p_right)
                         { return distance(p_left) < distance(p_right); });
    for (auto& [name, collector] : collectors_)
    {
        collector.resends_.erase(farthest->first);
    }
    windows_.erase(farthest);
}

std::vector<usage_count> usage_counter::due(const std::string& p_collector,
                                            time_point p_now,
                                            std::int64_t p_unix_ms)
{
    const auto [entry, is_new] = collectors_.try_emplace(p_collector);
    collector_state& state = entry->second;
    if (is_new)
    {
        state.first_seen_ms_ = p_unix_ms;
    }
    std::vector<usage_count> counts;
    if (!is_new && p_now < state.next_send_)
    {
        return counts;
    }
    begin_resends(state, p_unix_ms);
    const std::uint64_t sent_before = state.sent_;
    add_changes(state, counts);
    add_resends(state, sent_before, counts);
    if (!counts.empty())
    {
        state.next_send_ = p_now + min_send_interval;
    }
    return counts;
}

void usage_counter::begin_resends(collector_state& r_state,
                                  std::int64_t p_unix_ms) const
{
    for (const auto& [id, window] : windows_)
    {
        const std::int64_t end_ms = window_begin_ms(window_after(id), window_);
        const std::size_t due_now =
            resends_due(std::max(end_ms, r_state.first_seen_ms_), p_unix_ms);
        if (due_now == 0)
        {
            continue;
        }
        resend_state& resend = r_state.resends_[id];
        if (due_now > resend.begun_)
        {
            resend.begun_ = due_now;
            resend.next_account_ = std::string();
        }
    }
}

void usage_counter::add_changes(collector_state& r_state,
                                std::vector<usage_count>& r_counts) const
{
    struct change
    {
        std::uint64_t at_;
        window_id window_;
        const std::string* account_;
        std::uint64_t requests_;
    };
    std::vector<change> changes;
    for (const auto& [id, window] : windows_)
    {
        if (window.changed_at_ <= r_state.sent_)
        {
            continue;
        }
        for (const auto& [account, count] : window.accounts_)
        {
            if (count.changed_at_ > r_state.sent_)
            {
                changes.push_back(
                    {count.changed_at_, id, &account, count.requests_});
            }
        }
    }
    r_state.sent_ = changes_;
    if (changes.size() > max_counts_per_call)
    {
        // The oldest changes go first; the others are found at later calls.
        std::nth_element(changes.begin(),
                         changes.begin() + max_counts_per_call - 1,
                         changes.end(),
                         [](const change& p_left, const change& p_right)
                         { return p_left.at_ < p_right.at_; });
        changes.resize(max_counts_per_call);
        r_state.sent_ = changes.back().at_;
    }
    for (const change& changed : changes)
    {
        r_counts.push_back(
            {changed.window_, *changed.account_, changed.requests_});
    }
}

void usage_counter::add_resends(collector_state& r_state,
                                std::uint64_t p_changes_after,
                                std::vector<usage_count>& r_counts) const
{
    for (auto& [id, resend] : r_state.resends_)
    {
        if (resend.next_account_)
        {
            add_resend(id, resend, p_changes_after, r_counts);
        }
    }
}

/// Counts that changed after `p_changes_after` are left out, as they are among
/// the changes.
void usage_counter::add_resend(window_id p_id, resend_state& r_resend,
                               std::uint64_t p_changes_after,
                               std::vector<usage_count>& r_counts) const
{
    const auto& accounts = windows_.at(p_id).accounts_;
    auto next = accounts.lower_bound(*r_resend.next_account_);
    for (; next != accounts.end(); ++next)
    {
        if (next->second.changed_at_ > p_changes_after)
        {
            continue;
        }
        if (r_counts.size() >= max_counts_per_call)
        {
            r_resend.next_account_ = next->first;
            return;
        }
        r_counts.push_back({p_id, next->first, next->second.requests_});
    }
    r_resend.next_account_.reset();
}

void usage_counter::forget_absent(const std::vector<std::string>& p_collectors)
{
    std::erase_if(collectors_,
                  [&](const auto& p_entry)
                  {
                      return std::find(p_collectors.begin(), p_collectors.end(),
                                       p_entry.first) == p_collectors.end();
                  });
}

std::size_t usage_counter::kept_counts() const
{
    std::size_t counts = 0;
    for (const auto& [id, window] : windows_)
    {
        counts += window.accounts_.size();
    }
    return counts;
}

} // namespace peridotspar
