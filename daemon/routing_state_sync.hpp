#pragma once

#include "backend/buffered_client.hpp"
#include "daemon/routing_state.hpp"
#include "http/message.hpp"
#include "membership/divergence_policy.hpp"
#include "membership/fetch_policy.hpp"
#include "membership/peer_table.hpp"
#include "transport/entry_codec.hpp"

#include <functional>
#include <string>
#include <vector>

namespace peridotspar
{

/// Fetches a newer routing state over HTTP from a peer that reports one, and
/// answers peers that do the same. Configuration and servers are fetched apart,
/// each on a connection of its own: a large configuration takes a second over a
/// slow link, and the news of a server that leaves must not wait for it. Not
/// thread-safe: use it only on the thread of its node.
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
    void set_node_count(std::size_t p_node_count);
    /// Compares what a peer reports with this node's state, and fetches the
    /// part of the peer's that is newer, or may be right where this node's is
    /// wrong, unless a fetch of that part is in progress. `p_in_contact`: this
    /// node follows the store and gets answers.
    void on_peer_state(const peer_state& p_peer, bool p_in_contact);
    /// Whether a peer had news from the store before this node, which follows
    /// it too, since the last call.
    [[nodiscard]] bool take_store_is_behind_peers();
    /// Whether this node, which follows the store, should list the servers
    /// anew, as another node that follows it has other ones.
    [[nodiscard]] bool take_list_due();

    /// Answers a peer's request for what is newer than the versions in its
    /// target, `/beliefs/CONFIG_VERSION/SERVERS_REVISION`, compressed if the
    /// peer accepts that. The largest number in place of one of them asks for
    /// nothing of that part. The status is 404 for any other target. A node
    /// without servers is told the `p_live` peers.
    [[nodiscard]] http::response respond(const http::request_head& p_request,
                                         const std::vector<peer_state>& p_live);
    /// The versions of this node's state.
    [[nodiscard]] state_version version() const;

private:
    /// What a request asks for.
    enum class content : std::uint8_t
    {
        config,
        server_changes,
        all_servers, ///< To repair a list that diverged.
    };
    /// A part of the state, and its fetches.
    struct part
    {
        /// `p_seed` initialises random waits.
        explicit part(std::uint64_t p_seed) : policy_(p_seed) {}
        fetch_policy policy_;
        bool fetching_ = false;
    };
    /// A fetch in progress.
    struct fetch_call
    {
        content content_;
        std::string peer_;
        std::uint64_t servers_revision_ = 0; ///< After which it asks.
        time_point sent_at_{};
    };

    void fetch_config(const peer_state& p_peer, bool p_in_contact);
    void fetch_servers(const peer_state& p_peer, bool p_in_contact);
    /// Repairs a server list that differs from the peer's at one revision.
    void repair_if_diverged(const peer_state& p_peer, bool p_in_contact);
    void fetch(const peer_state& p_peer, content p_content);
    void apply(const backend::client_response& p_response,
               const fetch_call& p_call);
    void apply_servers(const entry_wire::beliefs& p_fetched,
                       const fetch_call& p_call);
    [[nodiscard]] part& part_of(content p_content);
    /// Answers a peer that lacks the configuration and asks for nothing else.
    [[nodiscard]] http::response
    respond_with_config(const http::request_head& p_request);

    routing_state& state_;
    backend::buffered_client& client_;
    candidate_callback on_candidate_;
    boot_clock clock_;
    part config_;
    part servers_;
    divergence_policy divergence_policy_;
    bool store_is_behind_peers_ = false;
    bool list_due_ = false;
    /// The compressed response to nodes that lack the configuration, which many
    /// ask for at once.
    std::string compressed_config_;
    std::uint64_t compressed_version_ = 0;
};

} // namespace peridotspar
