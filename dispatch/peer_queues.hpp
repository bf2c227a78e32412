#pragma once

#include "dispatch/wait_queue.hpp"

#include <map>
#include <vector>

namespace peridotspar::dispatch
{

/// What waits in the lines of the other nodes, which share the servers. Not
/// for several threads.
class peer_queues
{
public:
    /// Replaces what the peer said before.
    void update(const node_id& p_peer, std::vector<queue_summary> p_summaries,
                time_point p_now);
    /// Engine time of what waits elsewhere and goes before a request that
    /// comes now.
    [[nodiscard]] duration prefill_ahead_of(const request_profile& p_request,
                                            time_point p_now) const;

private:
    struct queue_report
    {
        std::vector<queue_summary> queued_;
        time_point reported_at_{};
    };
    std::map<node_id, queue_report> reports_;
};

} // namespace peridotspar::dispatch
