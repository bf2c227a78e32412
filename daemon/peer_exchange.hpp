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

/// Talks to the other nodes: heartbeats, digests, the configuration's
/// revision and the VM list by gossip; caps and yields as single messages.
class peer_exchange
{
public:
    struct hooks
    {
        std::function<void(policy::event)> post_;
        std::function<std::shared_ptr<const snapshot>()> current_;
        std::function<std::uint16_t()> load_percent_;
    };
    struct traffic
    {
        std::uint64_t bytes_ = 0;
        std::uint64_t messages_ = 0;
    };

    peer_exchange(const settings& p_settings, hooks p_hooks);
    ~peer_exchange();
    peer_exchange(const peer_exchange&) = delete;
    peer_exchange& operator=(const peer_exchange&) = delete;

    void start();
    void stop();

    /// Takes an action of the decision logic that goes to peers; drops it
    /// when too many wait, as each will be repeated.
    void send(policy::action p_action);
    /// Takes a VM list that this node read itself.
    void take_vms(std::vector<std::string> p_nodes,
                  const std::vector<std::string>& p_leaving_backends);
    /// Loads that this node read, to be passed on and used here.
    void take_loads(std::vector<wire::load_report> p_loads);
    /// Tells the decisions again who may take work, after a new revision.
    void refresh_admission();
    void set_leaving() { leaving_ = true; }

    /// Whether this node is one of the few that read from the platform what
    /// the others hear from it.
    [[nodiscard]] bool is_reader() const;
    /// Whether this node is the one that reads an engine's load.
    [[nodiscard]] bool reads_load_of(const std::string& p_backend) const;
    /// The configuration of a peer that has a higher revision. For one
    /// thread.
    [[nodiscard]] std::optional<stored_object>
    fetch_config(config_revision p_known);

    [[nodiscard]] std::vector<node_state> entry_list() const;
    [[nodiscard]] std::vector<node_state> live() const;
    [[nodiscard]] traffic sent() const;

private:
    struct peer_versions
    {
        std::int64_t vms_ = 0;
    };

    void run_gossip();
    void run_requests();
    void gossip_with(const node_state& p_peer);
    void contact_unknown();
    void send_request(const policy::action& p_action);
    [[nodiscard]] peer_server::reply receive(const peer_message& p_message);
    [[nodiscard]] peer_server::reply
    receive_gossip(const peer_message& p_message);
    void note_revision(const node_state& p_peer, std::int64_t p_revision);
    void adopt_vms(const wire::vm_list& p_vms);
    void apply_vms(const snapshot& p_snapshot);
    /// Tells the decisions of loads. Not under the lock: posting may wait
    /// for the decision thread, which takes the lock to publish.
    void post_loads(const std::vector<wire::load_report>& p_loads,
                    const snapshot& p_snapshot);
    void publish_nodes();
    [[nodiscard]] wire::gossip make_gossip(const node_id& p_peer);
    [[nodiscard]] std::optional<node_state> find_live(const node_id& p_node);

    const settings& settings_;
    hooks hooks_;
    monotonic_clock clock_;
    message_seal seal_;
    mutable std::mutex mutex_;
    node_table nodes_;
    std::optional<policy::digest> digest_;
    std::vector<wire::load_report> loads_;
    wire::vm_list vms_;
    std::map<node_id, peer_versions> versions_;
    std::optional<std::pair<endpoint, std::int64_t>> newest_config_;
    std::vector<node_id> last_live_;
    std::vector<node_id> last_listed_;
    std::vector<std::string> contacts_; ///< Addresses without heartbeats yet.
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
