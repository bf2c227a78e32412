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

/// Reads for the fleet what a few nodes read for all: the VM list, and the
/// load of the engines that fall to this node. Under a lease, one node also
/// removes claim segments that are past their retention.
class platform_reader
{
public:
    platform_reader(platform_client& r_store, peer_exchange& r_peers,
                    node_id p_self,
                    std::function<std::shared_ptr<const snapshot>()> p_current);
    ~platform_reader();
    platform_reader(const platform_reader&) = delete;
    platform_reader& operator=(const platform_reader&) = delete;

    void start();
    void stop();

private:
    void run();
    void read_vms();
    void read_loads();
    void sweep_claims();

    platform_client& store_;
    peer_exchange& peers_;
    std::function<std::shared_ptr<const snapshot>()> current_;
    monotonic_clock clock_;
    lease_client<platform_client, monotonic_clock> sweep_lease_;
    std::int64_t swept_span_ = 0;
    std::atomic<bool> stopping_{false};
    std::thread thread_;
};

} // namespace peridotspar
