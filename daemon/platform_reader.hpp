#pragma once

#include "daemon/peer_exchange.hpp"
#include "store/lease_client.hpp"
#include "store/platform_client.hpp"

#include <atomic>
#include <functional>
#include <memory>
#include <thread>

namespace peridotspar
{

/// Polls, on a thread of its own, what a few nodes read for all nodes: the VM
/// list from the platform, and the load of the engines assigned to this node.
/// The results go to peer_exchange, which passes them on. One of the platform
/// readers, the holder of a lease, also removes the claim segments that are
/// past their retention time.
class platform_reader
{
public:
    platform_reader(
        platform_client& r_store, peer_exchange& r_peers, node_id p_self,
        std::function<std::shared_ptr<const snapshot>()> p_current_snapshot);
    ~platform_reader();
    platform_reader(const platform_reader&) = delete;
    platform_reader& operator=(const platform_reader&) = delete;

    void start();
    /// Stops the thread, waits for it and gives up the lease.
    void stop();

private:
    void run();
    void read_vms();
    void read_loads();
    void sweep_claims();

    platform_client& store_;
    peer_exchange& peers_;
    std::function<std::shared_ptr<const snapshot>()> current_snapshot_;
    monotonic_clock clock_;
    lease_client<platform_client, monotonic_clock> sweep_lease_;
    std::int64_t swept_span_ = 0; ///< Newest span swept; 0 for none.
    std::atomic<bool> stopping_{false};
    std::thread thread_;
};

} // namespace peridotspar
