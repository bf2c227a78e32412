#include "membership/divergence_policy.hpp"

namespace peridotspar
{

namespace
{

/// Two builds may read an entry differently for good; the full list of a large
/// fleet must then not be fetched all the time.
constexpr duration min_repair_interval = std::chrono::seconds(5);

} // namespace

divergence_policy::action divergence_policy::decide(const own_list& p_own,
                                                    const peer_state& p_peer,
                                                    time_point p_now)
{
    const bool same_revision =
        p_peer.servers_revision_ == static_cast<std::int64_t>(p_own.revision_);
    const bool diverges = same_revision && p_peer.servers_hash_ &&
                          *p_peer.servers_hash_ != p_own.hash_;
    if (!diverges || !p_peer.in_contact_ || p_now < next_repair_)
    {
        return action::none;
    }
    next_repair_ = p_now + min_repair_interval;
    return p_own.in_contact_ ? action::list_store : action::fetch_list;
}

} // namespace peridotspar
