#pragma once

#include "core/bounded_queue.hpp"
#include "core/settings.hpp"
#include "daemon/snapshot.hpp"
#include "membership/node_table.hpp"
#include "policy/events.hpp"
#include "store/object_api.hpp"
#include "transport/gen/peer_types.h"
#include "transport/peer_server.hpp"

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace peridotspar
{

/// Exchanges messages with the other nodes. Heartbeats, digests, loads, the VM
/// list and the configuration's revision spread by gossip; cap claims, cap
/// grants and preemption requests go to single nodes.
///
/// Runs one thread for gossip and one for messages to single nodes, besides the
/// server's. All public functions but start(), stop() and fetch_config() may be
/// called from any thread.
class peer_exchange
{
public:
    /// Functions of the node. Each may be called from several threads.
    struct hooks
    {
        /// Passes an event to the decision logic; may block.
        std::function<void(policy::event)> post_event_;
        /// The configuration in force; null before the first one.
        std::function<std::shared_ptr<const snapshot>()> current_snapshot_;
        /// This node's load in percent of its capacity.
        std::function<std::uint16_t()> load_percent_;
    };
    /// Traffic of gossip and of messages to single nodes since the start: bytes
    /// in both directions, and calls that got a reply.
    struct traffic
    {
        std::uint64_t bytes_ = 0;
        std::uint64_t messages_ = 0;
    };

    peer_exchange(const settings& p_settings, hooks p_hooks);
    ~peer_exchange();
    peer_exchange(const peer_exchange&) = delete;
    peer_exchange& operator=(const peer_exchange&) = delete;

    /// Starts the server and the threads.
    void start();
    /// Stops the threads and waits for them; does nothing before start().
    void stop();

    /// Sends an action of the decision logic to the peers that it concerns. A
    /// digest replaces the one that gossip carries; any other action is queued,
    /// or dropped if the queue is full. Dropping is safe because the decision
    /// logic repeats each action.
    void send(policy::action p_action);
    /// Records a VM list that this node read from the platform. Each item of
    /// `p_nodes` is an entry node's "name address".
    void update_vm_list(std::vector<std::string> p_nodes,
                        const std::vector<std::string>& p_leaving_backends);
    /// Records the loads that this node read from engines, for its own
    /// decisions and for gossip.
    void update_loads(std::vector<wire::load_report> p_loads);
    /// Makes the next gossip round post again which backend servers accept new
    /// requests. Used after a new configuration revision.
    void schedule_admission_update();
    /// Makes this node's heartbeats say that it is shutting down.
    void set_leaving() { leaving_ = true; }

    /// Whether this node is one of the few live nodes that read the platform
    /// for all; the others get the data by gossip.
    [[nodiscard]] bool is_platform_reader() const;
    /// Whether this node, of all live ones, reads the load of this engine.
    [[nodiscard]] bool reads_load_of(const std::string& p_backend) const;
    /// Fetches the configuration from the peer with the highest revision known,
    /// if that is above `p_known`; nothing if there is no such peer or the call
    /// fails. Blocks for the call; use it from one thread only.
    [[nodiscard]] std::optional<stored_object>
    fetch_config(config_revision p_known);

    /// The nodes that callers should use, best first; see
    /// node_table::entry_list().
    [[nodiscard]] std::vector<node_state> entry_list() const;
    /// Live nodes, this one included, in order of name.
    [[nodiscard]] std::vector<node_state> live() const;
    [[nodiscard]] traffic traffic_sent() const;

private:
    /// What a peer is known to have, so that it isn't sent again.
    struct peer_versions
    {
        std::int64_t vm_list_version_ = 0;
    };

    void run_gossip();
    /// Sends the queued actions, one at a time.
    void run_requests();
    void gossip_with(const node_state& p_peer);
    /// Gossips with the seeds and the addresses of the VM list that belong to
    /// no live node, so that nodes find each other.
    void contact_unknown_addresses();
    void send_request(const policy::action& p_action);
    [[nodiscard]] peer_server::reply
    handle_message(const peer_message& p_message);
    [[nodiscard]] peer_server::reply
    handle_gossip(const peer_message& p_message);
    void record_peer_revision(const node_state& p_peer,
                              std::int64_t p_revision);
    /// Replaces the VM list if the new one has a higher version. Call it with
    /// the lock held.
    void apply_vm_list(const wire::vm_list& p_vm_list);
    /// Posts for each backend server whether it accepts new requests.
    void post_backend_admission(const snapshot& p_snapshot);
    /// Posts loads to the decision logic. Don't call it with the lock held:
    /// posting may wait for the decision thread, which takes the lock in
    /// send().
    void post_loads(const std::vector<wire::load_report>& p_loads,
                    const snapshot& p_snapshot);
    /// Posts the listed and the live nodes if they changed.
    void publish_nodes();
    [[nodiscard]] wire::gossip make_gossip(const node_id& p_peer);
    [[nodiscard]] std::optional<node_state>
    find_live_node(const node_id& p_node);

    const settings& settings_;
    hooks hooks_;
    monotonic_clock clock_;
    message_authenticator authenticator_;
    mutable std::mutex mutex_; ///< Guards the members up to random_.
    node_table nodes_;
    std::optional<policy::digest> digest_;
    std::vector<wire::load_report> loads_;
    wire::vm_list vm_list_;
    std::map<node_id, peer_versions> peer_versions_;
    /// The peer with the highest configuration revision above this node's.
    std::optional<std::pair<endpoint, std::int64_t>> newest_config_;
    std::vector<node_id> last_live_;
    std::vector<node_id> last_listed_;
    /// Seeds and addresses of the VM list.
    std::vector<std::string> contact_addresses_;
    std::mt19937_64 random_;
    std::atomic<bool> admission_stale_{true};
    std::atomic<bool> leaving_{false};
    std::atomic<bool> stopping_{false};
    std::atomic<std::uint64_t> bytes_{0};
    std::atomic<std::uint64_t> messages_{0};
    bounded_queue<policy::action> requests_;
    peer_client gossip_client_;
    peer_client request_client_;
    peer_client config_client_;
    std::unique_ptr<peer_server> server_;
    std::thread gossip_thread_;
    std::thread request_thread_;
};

} // namespace peridotspar
