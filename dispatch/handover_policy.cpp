#include "dispatch/handover_policy.hpp"

namespace peridotspar::dispatch
{

namespace
{

using namespace std::chrono_literals;

/// A peer of another failure domain is chosen if all of the own one have this
/// many handed-over requests more. Bytes between domains are paid for.
constexpr std::size_t other_domain_penalty = 3;
/// Usable peers that are compared for one request, from a random one on.
constexpr std::size_t max_weighed_peers = 16;
/// A peer that failed isn't chosen for this long; by then its digests show
/// whether it is live.
constexpr duration failed_peer_pause = 1s;
/// A peer that reached no server of a service says so in its digests soon.
constexpr duration unreachable_pause = 500ms;

} // namespace

std::string_view to_string(handover_result p_result)
{
    switch (p_result)
    {
    case handover_result::taken:
        return "taken";
    case handover_result::refused:
        return "refused";
    case handover_result::unreachable:
        return "unreachable";
    case handover_result::failed:
        return "failed";
    case handover_result::dropped:
        break;
    }
    return "dropped";
}

handover_policy::handover_policy(failure_domain_id p_own_domain,
                                 std::uint64_t p_seed)
    : own_domain_(std::move(p_own_domain)), random_(p_seed)
{
}

void handover_policy::set_peers(std::vector<handover_peer> p_peers)
{
    peers_ = std::move(p_peers);
    lost_counts_.clear();
    std::set<std::string> live;
    for (const auto& peer : peers_)
    {
        live.insert(peer.address_);
        for (const auto& service : peer.lost_services_)
        {
            ++lost_counts_[service];
        }
    }
    std::erase_if(loads_,
                  [&live](const auto& p_item) {
                      return p_item.second.in_flight_ == 0 &&
                             !live.contains(p_item.first);
                  });
}

bool handover_policy::is_usable(const handover_peer& p_peer,
                                const routing::service_name& p_service,
                                time_point p_now) const
{
    if (!p_peer.takes_requests_ || p_peer.lost_services_.contains(p_service))
    {
        return false;
    }
    const auto load = loads_.find(p_peer.address_);
    if (load == loads_.end())
    {
        return true;
    }
    const auto unreached = load->second.unreached_until_.find(p_service);
    return p_now >= load->second.avoided_until_ &&
           (unreached == load->second.unreached_until_.end() ||
            p_now >= unreached->second);
}

std::optional<std::string>
handover_policy::choose(const routing::service_name& p_service,
                        const std::set<std::string>& p_excluded,
                        time_point p_now)
{
    const handover_peer* best = nullptr;
    std::size_t best_cost = 0;
    std::size_t weighed = 0;
    const std::size_t first = peers_.empty() ? 0 : random_();
    for (std::size_t i = 0; i < peers_.size() && weighed < max_weighed_peers;
         ++i)
    {
        const auto& peer = peers_[(first + i) % peers_.size()];
        if (p_excluded.contains(peer.address_) ||
            !is_usable(peer, p_service, p_now))
        {
            continue;
        }
        ++weighed;
        const auto load = loads_.find(peer.address_);
        const std::size_t cost =
            (load == loads_.end() ? 0 : load->second.in_flight_) +
            (peer.domain_ == own_domain_ ? 0 : other_domain_penalty);
        if (best == nullptr || cost < best_cost)
        {
            best = &peer;
            best_cost = cost;
        }
    }
    if (best == nullptr)
    {
        return std::nullopt;
    }
    return best->address_;
}

void handover_policy::record_sent(const std::string& p_peer)
{
    ++loads_[p_peer].in_flight_;
}

void handover_policy::record_end(const std::string& p_peer,
                                 const routing::service_name& p_service,
                                 handover_result p_result, time_point p_now)
{
    auto& load = loads_[p_peer];
    load.in_flight_ -= load.in_flight_ > 0 ? 1 : 0;
    if (p_result == handover_result::failed)
    {
        load.avoided_until_ = p_now + failed_peer_pause;
    }
    if (p_result == handover_result::unreachable)
    {
        load.unreached_until_[p_service] = p_now + unreachable_pause;
    }
}

std::size_t
handover_policy::count_lost(const routing::service_name& p_service) const
{
    const auto found = lost_counts_.find(p_service);
    return found == lost_counts_.end() ? 0 : found->second;
}

std::size_t handover_policy::in_flight() const
{
    std::size_t count = 0;
    for (const auto& [address, load] : loads_)
    {
        count += load.in_flight_;
    }
    return count;
}

} // namespace peridotspar::dispatch
