#pragma once

#include "backend/buffered_client.hpp"
#include "daemon/routing_state.hpp"
#include "http/message.hpp"
#include "membership/divergence_policy.hpp"
#include "membership/fetch_policy.hpp"
#include "membership/peer_table.hpp"

#include <functional>
#include <string>
#include <vector>

namespace peridotspar
{

/// Fetches a newer routing state over HTTP from a peer that reports one, and
/// answers peers that do the same. Not thread-safe: use it only on the thread
/// of its node.
class routing_state_sync
{
public:
    /// Called with the peer address, IP:PORT, of a node that may be running.
    using candidate_callback = std::function<void(const std::string&)>;

    /// `p_seed` initialises random waits.
    routing_state_sync(routing_state& p_state,
                       backend::buffered_client& p_client, std::uint64_t p_seed,
                       candidate_callback p_on_candidate);

    /// Sets the number of nodes in the fleet, over which fetches are spread.
    void set_node_count(std::size_t p_node_count)
    {
        fetch_policy_.set_node_count(p_node_count);
    }
    /// Compares what a peer reports with this node's state, and fetches the
    /// peer's if it is newer, or may be right where this node's is wrong, and
    /// no fetch is in progress. `p_in_contact`: this node follows the store and
    /// gets answers.
    void on_peer_state(const peer_state& p_peer, bool p_in_contact);
    /// Whether a peer had news from the store before this node, which follows
    /// it too, since the last call.
    [[nodiscard]] bool take_store_is_behind_peers();
    /// Whether this node, which follows the store, should list the servers
    /// anew, as another node that follows it has other ones.
    [[nodiscard]] bool take_list_due();

    /// Answers a peer's request for what is newer than the versions in its
    /// target, `/beliefs/CONFIG_VERSION/SERVERS_REVISION`. The status is 404
    /// for any other target. A node without state is told the `p_live` peers.
    [[nodiscard]] http::response
    respond(const std::string& p_target,
            const std::vector<peer_state>& p_live) const;
    /// The versions of this node's state.
    [[nodiscard]] state_version version() const;

private:
    /// Repairs a server list that differs from the peer's at one revision.
    void repair_if_diverged(const peer_state& p_peer, bool p_in_contact);
    enum class purpose : std::uint8_t
    {
        update, ///< Ask for what is newer than this node's state.
        repair, ///< Ask for the full server list.
    };
    void fetch(const peer_state& p_peer, purpose p_purpose);
    /// `p_since`: the revision of the servers after which it asked.
    void apply(const backend::client_response& p_response, purpose p_purpose,
               std::uint64_t p_since);

    routing_state& state_;
    backend::buffered_client& client_;
    candidate_callback on_candidate_;
    boot_clock clock_;
    fetch_policy fetch_policy_;
    divergence_policy divergence_policy_;
    bool fetching_ = false;
    bool store_is_behind_peers_ = false;
    bool list_due_ = false;
};

} // namespace peridotspar
