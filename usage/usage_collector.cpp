#include "usage/usage_collector.hpp"

#include <algorithm>
#include <cstdlib>

namespace peridotspar
{
namespace
{

/// Longer account names, of a faulty sender, would take too much memory.
constexpr std::size_t max_name_bytes = 256;

/// A run is identified by its node and its process. The separator occurs in
/// neither.
std::string run_key(const std::string& p_node, const std::string& p_run)
{
    return p_node + '\0' + p_run;
}

} // namespace

std::optional<std::uint16_t>
usage_collector::name_table::find(const std::string& p_name) const
{
    const auto known = numbers_.find(p_name);
    if (known == numbers_.end())
    {
        return std::nullopt;
    }
    return known->second;
}

std::uint16_t usage_collector::name_table::add(const std::string& p_name)
{
    if (free_.empty())
    {
        free_.push_back(static_cast<std::uint16_t>(names_.size()));
        names_.emplace_back();
    }
    const std::uint16_t number = free_.back();
    free_.pop_back();
    names_[number] = {p_name, 0};
    numbers_.emplace(p_name, number);
    return number;
}

void usage_collector::name_table::remove_use(std::uint16_t p_number)
{
    entry& used = names_[p_number];
    if (--used.uses_ > 0)
    {
        return;
    }
    numbers_.erase(used.name_);
    used = {};
    free_.push_back(p_number);
}

void usage_collector::set_current(window_id p_window)
{
    current_ = p_window;
    for (auto entry = windows_.begin(); entry != windows_.end();)
    {
        const auto next = std::next(entry);
        if (!is_near(entry->first))
        {
            drop(entry);
        }
        entry = next;
    }
}

void usage_collector::record(const std::string& p_node,
                             const std::string& p_run,
                             const std::vector<usage_count>& p_counts)
{
    const std::string key = run_key(p_node, p_run);
    if (key.size() > 2 * max_name_bytes)
    {
        left_out_.invalid_ += p_counts.size();
        return;
    }
    for (const usage_count& count : p_counts)
    {
        record_count(key, count);
    }
}

void usage_collector::record_count(const std::string& p_run_key,
                                   const usage_count& p_count)
{
    if (!is_valid(p_count))
    {
        ++left_out_.invalid_;
        return;
    }
    if (!is_near(p_count.window_))
    {
        ++left_out_.far_windows_;
        return;
    }
    if (p_count.requests_ == 0 || (first_ && p_count.window_ < *first_))
    {
        return;
    }
    auto run = runs_.find(p_run_key);
    auto account = accounts_.find(p_count.account_);
    window_counts* const window = has_room(p_count.window_, run, account)
                                      ? find_or_add_window(p_count.window_)
                                      : nullptr;
    if (window == nullptr)
    {
        ++left_out_.over_limits_;
        return;
    }
    // A window that was dropped for this one may have been the last use.
    run = runs_.find(p_run_key);
    account = accounts_.find(p_count.account_);
    store(*window, run ? *run : runs_.add(p_run_key),
          account ? *account : accounts_.add(p_count.account_),
          static_cast<std::uint32_t>(p_count.requests_));
}

bool usage_collector::has_room(window_id p_window,
                               std::optional<std::uint16_t> p_run,
                               std::optional<std::uint16_t> p_account) const
{
    if ((!p_run && runs_.is_full()) || (!p_account && accounts_.is_full()))
    {
        return false;
    }
    if (kept_counts_ < max_counts)
    {
        return true;
    }
    const auto window = windows_.find(p_window);
    if (!p_run || !p_account || window == windows_.end())
    {
        return false;
    }
    const auto run = window->second.runs_.find(*p_run);
    return run != window->second.runs_.end() &&
           run->second.contains(*p_account);
}

/// A negative count in a message becomes a very high one.
bool usage_collector::is_valid(const usage_count& p_count) const
{
    return p_count.requests_ <= max_requests &&
           p_count.account_.size() <= max_name_bytes;
}

bool usage_collector::is_near(window_id p_window) const
{
    return !current_ ||
           (p_window >= window_after(*current_, -max_window_distance) &&
            p_window <= window_after(*current_, max_window_distance));
}

/// The farthest window from the current one is dropped for a nearer one, so
/// that wrong clocks of nodes cannot displace the windows that are due.
usage_collector::window_counts*
usage_collector::find_or_add_window(window_id p_window)
{
    const auto known = windows_.find(p_window);
    if (known != windows_.end())
    {
        return &known->second;
    }
    const auto added = windows_.try_emplace(p_window).first;
    if (windows_.size() <= max_windows)
    {
        return &added->second;
    }
    const auto dropped = farthest();
    const bool is_kept = dropped != added;
    drop(dropped);
    return is_kept ? &added->second : nullptr;
}

std::map<window_id, usage_collector::window_counts>::iterator
usage_collector::farthest()
{
    if (!current_)
    {
        return windows_.begin();
    }
    const auto distance = [&](const auto& p_entry)
    { return std::abs(p_entry.first.value() - current_->value()); };
    // Of two windows that are equally far, the later one is dropped.
    return std::max_element(windows_.begin(), windows_.end(),
                            [&](const auto& p_left, const auto& p_right)
                            { return distance(p_left) <= distance(p_right); });
}

void usage_collector::drop(std::map<window_id, window_counts>::iterator p_entry)
{
    for (const auto& [run, accounts] : p_entry->second.runs_)
    {
        kept_counts_ -= accounts.size();
        runs_.remove_use(run);
    }
    for (const auto& [account, requests] : p_entry->second.totals_)
    {
        accounts_.remove_use(account);
    }
    windows_.erase(p_entry);
}

void usage_collector::store(window_counts& r_window, std::uint16_t p_run,
                            std::uint16_t p_account, std::uint32_t p_requests)
{
    const auto [run, is_new_run] = r_window.runs_.try_emplace(p_run);
    if (is_new_run)
    {
        runs_.add_use(p_run);
    }
    const auto [total, is_new_total] = r_window.totals_.try_emplace(p_account);
    if (is_new_total)
    {
        accounts_.add_use(p_account);
    }
    const auto [count, is_new] = run->second.try_emplace(p_account, 0);
    kept_counts_ += is_new ? 1 : 0;
    if (p_requests > count->second)
    {
        total->second += p_requests - count->second;
        count->second = p_requests;
    }
}

std::map<std::string, std::uint64_t>
usage_collector::totals(window_id p_window) const
{
    std::map<std::string, std::uint64_t> totals;
    const auto window = windows_.find(p_window);
    if (window == windows_.end())
    {
        return totals;
    }
    for (const auto& [account, requests] : window->second.totals_)
    {
        totals.emplace(accounts_.name(account), requests);
    }
    return totals;
}

void usage_collector::drop_before(window_id p_window)
{
    first_ = first_ ? std::max(*first_, p_window) : p_window;
    while (!windows_.empty() && windows_.begin()->first < *first_)
    {
        drop(windows_.begin());
    }
}

} // namespace peridotspar
