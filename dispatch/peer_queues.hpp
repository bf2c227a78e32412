#pragma once

#include "dispatch/wait_queue.hpp"

#include <map>
#include <vector>

namespace peridotspar::dispatch
{

/// What waits in the lines of the other nodes, which share the servers. Not
/// for several threads.
class peer_lines
{
public:
    /// Replaces what the peer said before.
    void note(const node_id& p_peer, std::vector<waiting_sum> p_waiting,
              time_point p_now);
    /// Engine time of what waits elsewhere and goes before a request that
    /// comes now.
    [[nodiscard]] duration ahead_of(const work& p_work, time_point p_now) const;

private:
    struct told
    {
        std::vector<waiting_sum> waiting_;
        time_point heard_{};
    };
    std::map<node_id, told> peers_;
};

} // namespace peridotspar::dispatch
