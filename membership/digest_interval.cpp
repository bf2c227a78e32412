#include "membership/digest_interval.hpp"

#include <algorithm>

namespace peridotspar
{

namespace
{

using namespace std::chrono_literals;

/// Shortest interval of full digests.
constexpr duration min_digest_interval = 200ms;
/// With more peers intervals grow in proportion.
constexpr double max_peers_at_full_rate = 24;
constexpr double loaded_share = 0.5;
constexpr double idle_share = 2;
constexpr double follower_share = 0.25;

double share_of(node_activity p_activity)
{
    switch (p_activity)
    {
    case node_activity::follower:
        return follower_share;
    case node_activity::loaded:
        return loaded_share;
    case node_activity::idle:
        break;
    }
    return idle_share;
}

} // namespace

duration scaled_interval(duration p_interval, std::size_t p_peers)
{
    const double factor =
        std::max(1.0, static_cast<double>(p_peers) / max_peers_at_full_rate);
    return from_seconds(factor * to_seconds(p_interval));
}

duration digest_interval(node_activity p_activity, std::size_t p_peers)
{
    const duration interval = scaled_interval(min_digest_interval, p_peers);
    if (interval == min_digest_interval)
    {
        return interval;
    }
    return std::max(min_digest_interval,
                    from_seconds(share_of(p_activity) * to_seconds(interval)));
}

} // namespace peridotspar
