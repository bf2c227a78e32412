#pragma once

#include "backend/whole_call.hpp"
#include "dispatch/placement.hpp"

#include <set>
#include <string>

namespace peridotspar
{

/// Asks engines once which parts of prompts they keep, as a node that starts
/// anew knows of none. Belongs to the thread of its node.
class prefix_cache_probe
{
public:
    prefix_cache_probe(backend::whole_calls& p_calls,
                       dispatch::placement& p_placement)
        : calls_(p_calls), placement_(p_placement)
    {
    }

    /// Asks the engines that weren't asked before.
    void probe(const routing::server_list::entries& p_servers);

private:
    backend::whole_calls& calls_;
    dispatch::placement& placement_;
    std::set<routing::instance_id> probed_;
};

} // namespace peridotspar
