#include "routing/main_version_policy.hpp"

#include <algorithm>

namespace peridotspar::routing
{

std::optional<std::string>
main_version_policy::decide(const service_name& p_service,
                            const stream_versions::version_counts& p_servers,
                            const main_version* p_stored,
                            duration p_resume_time, time_point p_now)
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
    if (all == 0)
    {
        return std::nullopt;
    }
    if (p_stored == nullptr)
    {
        return first_start_ ? majority : std::string();
    }
    if (!p_stored->version_.empty())
    {
        pauses_.erase(p_service);
        const auto own = p_servers.find(p_stored->version_);
        const bool holds = own != p_servers.end() && own->second * 2 >= all;
        return holds ? std::nullopt : std::optional(std::string());
    }
    auto& since = pauses_[p_service];
    if (since.revision_ != p_stored->revision_)
    {
        since = {p_stored->revision_, p_now};
    }
    const bool is_over = p_now - since.since_ >= p_resume_time;
    // Without a majority each version is the exception of the other.
    return is_over && most * 2 > all ? std::optional(majority) : std::nullopt;
}

} // namespace peridotspar::routing
