#include "membership/catch_up.hpp"

namespace peridotspar
{

namespace
{

using namespace std::chrono_literals;

/// The store's own news take that long at most where it is in reach.
constexpr duration own_news_time = 400ms;
constexpr duration gap_between_asks = 150ms;

} // namespace

bool catch_up::should_ask(const belief_state& p_own, const belief_state& p_peer,
                          bool p_follows_store, time_point p_now)
{
    const bool behind = p_peer.config_version_ > p_own.config_version_ ||
                        p_peer.servers_revision_ > p_own.servers_revision_;
    if (!behind)
    {
        // Another peer may be ahead all the same.
        return false;
    }
    if (!behind_since_ || own_then_ != p_own)
    {
        behind_since_ = p_now;
        own_then_ = p_own;
    }
    const duration patience = p_follows_store ? own_news_time : duration{};
    if (p_now - *behind_since_ < patience ||
        p_now - last_asked_ < gap_between_asks)
    {
        return false;
    }
    last_asked_ = p_now;
    return true;
}

} // namespace peridotspar
