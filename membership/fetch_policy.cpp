#include "membership/fetch_policy.hpp"

namespace peridotspar
{

namespace
{

using namespace std::chrono_literals;

/// A node that watches the store gets each update from it within this time.
constexpr duration store_update_delay = 400ms;
constexpr duration min_fetch_interval = 150ms;

} // namespace

bool fetch_policy::should_fetch(const state_version& p_own_version,
                                const state_version& p_peer_version,
                                bool p_follows_store, time_point p_now)
{
    const bool behind =
        p_peer_version.config_version_ > p_own_version.config_version_ ||
        p_peer_version.servers_revision_ > p_own_version.servers_revision_;
    if (!behind)
    {
        // Keep `behind_since_`: another peer may still be ahead.
        return false;
    }
    if (!behind_since_ || last_own_version_ != p_own_version)
    {
        behind_since_ = p_now;
        last_own_version_ = p_own_version;
    }
    const duration delay = p_follows_store ? store_update_delay : duration{};
    if (p_now - *behind_since_ < delay ||
        p_now - last_fetch_ < min_fetch_interval)
    {
        return false;
    }
    last_fetch_ = p_now;
    return true;
}

} // namespace peridotspar
