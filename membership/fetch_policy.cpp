#include "membership/fetch_policy.hpp"

namespace peridotspar
{

namespace
{

using namespace std::chrono_literals;

/// A node that watches the store gets each update from it within this time.
constexpr duration store_update_delay = 400ms;
constexpr duration min_fetch_interval = 150ms;
/// In a fleet of more nodes than this, the fetches of an update are spread over
/// `spread_per_node` times the number of nodes. A node that has none, which
/// can't serve yet, waits less.
constexpr std::size_t max_unspread_nodes = 24;
constexpr duration spread_per_node = 1ms;
constexpr duration joining_spread_per_node = 400us;

} // namespace

bool fetch_policy::should_fetch(std::uint64_t p_own_version,
                                std::uint64_t p_peer_version,
                                bool p_follows_store, time_point p_now)
{
    const bool behind = p_peer_version > p_own_version;
    if (!behind)
    {
        // Keep `behind_since_`: another peer may still be ahead.
        return false;
    }
    if (!behind_since_ || last_own_version_ != p_own_version)
    {
        behind_since_ = p_now;
        last_own_version_ = p_own_version;
        spread_ = draw_spread(p_own_version == 0);
    }
    const duration delay = p_follows_store ? store_update_delay : spread_;
    if (p_now - *behind_since_ < delay ||
        p_now - last_fetch_ < min_fetch_interval)
    {
        return false;
    }
    last_fetch_ = p_now;
    return true;
}

duration fetch_policy::draw_spread(bool p_joining)
{
    if (node_count_ <= max_unspread_nodes)
    {
        return {};
    }
    std::uniform_real_distribution<double> share(0, 1);
    const duration per_node =
        p_joining ? joining_spread_per_node : spread_per_node;
    return from_seconds(share(random_) * static_cast<double>(node_count_) *
                        to_seconds(per_node));
}

} // namespace peridotspar
