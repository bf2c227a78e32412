#include "dispatch/poison_detector.hpp"

namespace peridotspar::dispatch
{

namespace
{

using namespace std::chrono_literals;

/// Crashes over all nodes from which a request counts as poison.
constexpr unsigned poison_crash_threshold = 3;
/// Entries without a new crash for longer are removed.
constexpr duration entry_lifetime = 60s;
/// Bounds the memory use; further requests aren't tracked.
constexpr std::size_t max_entries = 4096;

} // namespace

void poison_detector::record_crash(std::uint64_t p_fingerprint,
                                   time_point p_now)
{
    if (entries_.size() >= max_entries && !entries_.contains(p_fingerprint))
    {
        return;
    }
    auto& known = entries_[p_fingerprint];
    ++known.own_crashes_;
    known.last_crash_at_ = p_now;
}

void poison_detector::record_success(std::uint64_t p_fingerprint)
{
    entries_.erase(p_fingerprint);
}

void poison_detector::record_peer_crashes(std::uint64_t p_peer,
                                          const crash_report& p_report,
                                          time_point p_now)
{
    if (entries_.size() >= max_entries &&
        !entries_.contains(p_report.fingerprint_))
    {
        return;
    }
    auto& known = entries_[p_report.fingerprint_];
    auto& reported = known.crashes_by_peer_[p_peer];
    if (reported != p_report.crashes_)
    {
        reported = p_report.crashes_;
        known.last_crash_at_ = p_now;
    }
}

bool poison_detector::is_poisonous(std::uint64_t p_fingerprint) const
{
    const auto found = entries_.find(p_fingerprint);
    if (found == entries_.end())
    {
        return false;
    }
    unsigned crashes = found->second.own_crashes_;
    for (const auto& [peer, reported] : found->second.crashes_by_peer_)
    {
        crashes += reported;
    }
    return crashes >= poison_crash_threshold;
}

std::vector<crash_report> poison_detector::own_crashes() const
{
    std::vector<crash_report> reports;
    for (const auto& [fingerprint, known] : entries_)
    {
        if (known.own_crashes_ > 0)
        {
            reports.push_back({fingerprint, known.own_crashes_});
        }
    }
    return reports;
}

void poison_detector::expire_entries(time_point p_now)
{
    std::erase_if(
        entries_, [&](const auto& p_item)
        { return p_now - p_item.second.last_crash_at_ > entry_lifetime; });
}

} // namespace peridotspar::dispatch
