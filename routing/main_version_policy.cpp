#include "routing/main_version_policy.hpp"

#include <algorithm>

namespace peridotspar::routing
{

namespace
{

using namespace std::chrono_literals;

/// Nodes may learn so late that a main version was given up, and begin streams
/// at it without a record meanwhile.
constexpr duration belief_lag = 2s;

} // namespace

duration main_version_policy::time_after(const service_name& p_service,
                                         const main_version& p_stored,
                                         duration p_unrecorded_time) const
{
    if (p_stored.unrecorded_time_ > duration::zero())
    {
        return p_stored.unrecorded_time_;
    }
    const auto longest = longest_times_.find(p_service);
    return longest == longest_times_.end()
               ? p_unrecorded_time
               : std::max(longest->second, p_unrecorded_time);
}

std::optional<main_version_policy::decision>
main_version_policy::decide(const service_name& p_service,
                            const stream_versions::version_counts& p_servers,
                            const main_version* p_stored,
                            duration p_unrecorded_time, time_point p_now)
{
    std::size_t all = 0;
    std::string majority;
    std::size_t most = 0;
    for (const auto& [version, count] : p_servers)
    {
        all += count;
        if (count > most)
        {
            majority = version;
            most = count;
        }
    }
    const bool has_streams = p_unrecorded_time > duration::zero();
    if (all == 0 || (p_stored == nullptr && !has_streams))
    {
        return std::nullopt;
    }
    if (p_stored == nullptr)
    {
        return decision{first_start_ ? majority : std::string(),
                        p_unrecorded_time};
    }
    auto& longest = longest_times_[p_service];
    longest = std::max(longest, p_stored->unrecorded_time_);
    if (!p_stored->version_.empty())
    {
        pauses_.erase(p_service);
        const auto own = p_servers.find(p_stored->version_);
        const bool holds = own != p_servers.end() && own->second * 2 >= all;
        if (!holds)
        {
            return decision{std::string(), time_after(p_service, *p_stored,
                                                      p_unrecorded_time)};
        }
        return p_unrecorded_time > p_stored->unrecorded_time_
                   ? std::optional(
                         decision{p_stored->version_, p_unrecorded_time})
                   : std::nullopt;
    }
    auto& since = pauses_[p_service];
    if (since.revision_ != p_stored->revision_)
    {
        since = {p_stored->revision_, p_now};
    }
    const bool is_over =
        p_now - since.since_ >=
        time_after(p_service, *p_stored, p_unrecorded_time) + belief_lag;
    // Without a majority each version is the exception of the other.
    return is_over && has_streams && most * 2 > all
               ? std::optional(decision{majority, p_unrecorded_time})
               : std::nullopt;
}

} // namespace peridotspar::routing
