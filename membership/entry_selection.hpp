#pragma once

#include "core/ids.hpp"

#include <string>
#include <vector>

namespace peridotspar
{

/// A node that takes callers.
struct entry_candidate
{
    std::string address_; ///< IP:PORT that callers connect to.
    failure_domain_id failure_domain_;
};

/// Chooses the addresses for a caller in a failure domain out of all nodes that
/// take callers. A small fleet is listed whole. Of a large one a caller gets a
/// subset, as callers use only so many addresses, and as fewer nodes that each
/// send more know the engines' loads and caches better and reuse connections:
/// mostly nodes of its own domain, and some of the others in case the domain is
/// lost. All nodes choose alike from the same candidates.
[[nodiscard]] std::vector<std::string>
select_entries(std::vector<entry_candidate> p_candidates,
               const failure_domain_id& p_caller_domain);

} // namespace peridotspar
