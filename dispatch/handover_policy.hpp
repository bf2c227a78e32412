#pragma once

#include "core/clock.hpp"
#include "core/ids.hpp"
#include "routing/route_table.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace peridotspar::dispatch
{

/// A live peer, as far as it matters for handing requests over to it.
struct handover_peer
{
    std::string address_; ///< IP:PORT for messages between nodes.
    failure_domain_id domain_;
    /// It takes requests, and its configuration isn't older than this node's.
    bool takes_requests_ = false;
    /// The services whose servers it can't reach.
    std::set<routing::service_name> lost_services_;
};

/// How a request that was handed over to a peer ended.
enum class handover_result : std::uint8_t
{
    taken,       ///< The peer answered, or ran it as well as it could.
    refused,     ///< The peer sent it to no server, for want of capacity.
    unreachable, ///< The peer sent it to no server, as it reaches none.
    failed,      ///< The peer was not reached, or the connection broke.
    dropped,     ///< Cancelled by this node.
};

[[nodiscard]] std::string_view to_string(handover_result p_result);

/// Chooses the peer for a request that this node can't send to a server itself.
/// Prefers peers with few handed-over requests of this node and of its own
/// failure domain. It has no clock and does no I/O. Not thread-safe.
class handover_policy
{
public:
    handover_policy(failure_domain_id p_own_domain, std::uint64_t p_seed);

    /// Replaces the live peers.
    void set_peers(std::vector<handover_peer> p_peers);
    /// The address of a peer that reaches the service; nothing if there is
    /// none outside `p_excluded` (addresses).
    [[nodiscard]] std::optional<std::string>
    choose(const routing::service_name& p_service,
           const std::set<std::string>& p_excluded, time_point p_now);
    void record_sent(const std::string& p_peer);
    void record_end(const std::string& p_peer,
                    const routing::service_name& p_service,
                    handover_result p_result, time_point p_now);

    /// Live peers that lost the service.
    [[nodiscard]] std::size_t
    count_lost(const routing::service_name& p_service) const;
    [[nodiscard]] std::size_t in_flight() const;

private:
    struct peer_load
    {
        std::size_t in_flight_ = 0;
        time_point avoided_until_{};
        std::map<routing::service_name, time_point> unreached_until_;
    };
    [[nodiscard]] bool is_usable(const handover_peer& p_peer,
                                 const routing::service_name& p_service,
                                 time_point p_now) const;

    failure_domain_id own_domain_;
    std::mt19937_64 random_;
    std::vector<handover_peer> peers_;
    std::map<routing::service_name, std::size_t> lost_counts_; ///< Peers.
    std::map<std::string, peer_load> loads_;                   ///< By address.
};

} // namespace peridotspar::dispatch
