#pragma once

#include "backend/buffered_client.hpp"
#include "dispatch/placement.hpp"

#include <set>
#include <string>

namespace peridotspar
{

/// Asks engines which prompt parts their prefix caches hold, because a node
/// that starts doesn't know. Not thread-safe: use it only on the thread of its
/// node.
class prefix_cache_probe
{
public:
    prefix_cache_probe(backend::buffered_client& p_client,
                       dispatch::placement& p_placement)
        : client_(p_client), placement_(p_placement)
    {
    }

    /// Sends a request to each engine that wasn't asked before; other backend
    /// servers are skipped. The answers are recorded in the placement.
    void probe(const routing::server_list::entries& p_servers);

private:
    backend::buffered_client& client_;
    dispatch::placement& placement_;
    std::set<routing::instance_id> probed_;
};

} // namespace peridotspar
