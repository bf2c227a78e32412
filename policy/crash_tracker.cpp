#include "policy/crash_tracker.hpp"

#include <algorithm>

namespace peridotspar::policy
{

namespace
{

constexpr std::size_t crashes_to_quarantine = 2;
/// Reports about one backend server within this time concern the same crash.
constexpr duration same_crash_window = std::chrono::milliseconds(500);
/// Peers' records of a request are ignored for this time after it was cleared
/// on this node.
constexpr duration cleared_retention = std::chrono::seconds(5);

} // namespace

bool crash_tracker::is_same_crash(const crash& p_left, const crash& p_right)
{
    const auto gap = p_left.time_ > p_right.time_
                         ? p_left.time_ - p_right.time_
                         : p_right.time_ - p_left.time_;
    return p_left.backend_ == p_right.backend_ && gap < same_crash_window;
}

bool crash_tracker::is_attributed(const crash& p_crash) const
{
    return std::any_of(attributed_.begin(), attributed_.end(),
                       [&](const crash& p_known)
                       { return is_same_crash(p_known, p_crash); });
}

void crash_tracker::record_crash(backend_index p_backend,
                                 const std::vector<fingerprint>& p_running,
                                 time_point p_now)
{
    const crash seen{p_backend, p_now};
    for (const fingerprint running : p_running)
    {
        if (is_quarantined(running))
        {
            attributed_.push_back(seen);
        }
    }
    // Suspects of earlier crashes go first. If one of them is quarantined, this
    // crash is attributed to it and the other requests don't become suspects.
    std::vector<fingerprint> order = p_running;
    std::stable_partition(order.begin(), order.end(),
                          [this](fingerprint p_fingerprint)
                          { return is_suspect(p_fingerprint); });
    for (const fingerprint running : order)
    {
        // A new crash counts even if the request was cleared before.
        cleared_.erase(running);
        add_suspect(running, seen);
    }
}

void crash_tracker::add_suspect(fingerprint p_fingerprint, const crash& p_crash)
{
    if (is_attributed(p_crash) || cleared_.contains(p_fingerprint))
    {
        return;
    }
    suspect& entry = suspects_[p_fingerprint];
    entry.updated_at_ = p_crash.time_;
    const bool known = std::any_of(entry.crashes_.begin(), entry.crashes_.end(),
                                   [&](const crash& p_known)
                                   { return is_same_crash(p_known, p_crash); });
    if (known || entry.quarantined_)
    {
        return;
    }
    entry.crashes_.push_back(p_crash);
    if (entry.crashes_.size() >= crashes_to_quarantine)
    {
        quarantine(p_fingerprint, p_crash.time_);
    }
}

void crash_tracker::quarantine(fingerprint p_fingerprint, time_point p_now)
{
    suspect& entry = suspects_[p_fingerprint];
    entry.quarantined_ = true;
    entry.updated_at_ = p_now;
    attributed_.insert(attributed_.end(), entry.crashes_.begin(),
                       entry.crashes_.end());
    for (auto& [other, state] : suspects_)
    {
        if (!state.quarantined_)
        {
            std::erase_if(state.crashes_, [this](const crash& p_crash)
                          { return is_attributed(p_crash); });
        }
    }
    std::erase_if(suspects_, [](const auto& p_item)
                  { return p_item.second.crashes_.empty(); });
}

void crash_tracker::record_completion(fingerprint p_fingerprint,
                                      time_point p_now)
{
    const auto found = suspects_.find(p_fingerprint);
    if (found == suspects_.end() || found->second.quarantined_)
    {
        return;
    }
    cleared_[p_fingerprint] = p_now;
    suspects_.erase(found);
}

void crash_tracker::merge(const std::vector<crash_record>& p_records,
                          time_point p_now)
{
    for (const auto& record : p_records)
    {
        if (is_quarantined(record.fingerprint_))
        {
            continue;
        }
        // The peer sends its records repeatedly; only the first one counts.
        const auto found = suspects_.find(record.fingerprint_);
        const bool known =
            found != suspects_.end() &&
            std::any_of(found->second.crashes_.begin(),
                        found->second.crashes_.end(),
                        [&](const crash& p_known)
                        { return p_known.backend_ == record.backend_; });
        if (!known)
        {
            add_suspect(record.fingerprint_, {record.backend_, p_now});
        }
        if (record.quarantined_)
        {
            quarantine(record.fingerprint_, p_now);
        }
    }
}

bool crash_tracker::is_quarantined(fingerprint p_fingerprint) const
{
    const auto found = suspects_.find(p_fingerprint);
    return found != suspects_.end() && found->second.quarantined_;
}

bool crash_tracker::is_suspect(fingerprint p_fingerprint) const
{
    return suspects_.contains(p_fingerprint);
}

std::vector<crash_record> crash_tracker::records() const
{
    std::vector<crash_record> list;
    for (const auto& [suspected, state] : suspects_)
    {
        for (const crash& known : state.crashes_)
        {
            list.push_back({known.backend_, suspected, state.quarantined_});
        }
    }
    return list;
}

void crash_tracker::expire(time_point p_now)
{
    const auto oldest = p_now - retention_;
    std::erase_if(suspects_, [&](const auto& p_item)
                  { return p_item.second.updated_at_ < oldest; });
    std::erase_if(attributed_,
                  [&](const crash& p_crash) { return p_crash.time_ < oldest; });
    std::erase_if(cleared_, [&](const auto& p_item)
                  { return p_item.second < p_now - cleared_retention; });
}

} // namespace peridotspar::policy
