#pragma once

#include "backend/buffered_client.hpp"
#include "dispatch/placement.hpp"

#include <set>
#include <string>

namespace peridotspar
{

/// Asks engines once which parts of prompts they keep, as a node that starts
/// anew knows of none. Belongs to the thread of its node.
class kept_parts_survey
{
public:
    kept_parts_survey(backend::buffered_client& p_calls,
                      dispatch::placement& p_placement)
        : calls_(p_calls), placement_(p_placement)
    {
    }

    /// Asks the engines that weren't asked before.
    void ask(const routing::server_list::entries& p_servers);

private:
    backend::buffered_client& calls_;
    dispatch::placement& placement_;
    std::set<routing::instance_id> asked_;
};

} // namespace peridotspar
