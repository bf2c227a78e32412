#pragma once

#include "backend/buffered_client.hpp"
#include "dispatch/placement.hpp"

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace peridotspar
{

/// Chooses at random the engines that a node asks for their cached parts after
/// its start, out of the ids of all. The larger the fleet, the fewer: if all of
/// its nodes start at once, each engine is asked by a few of them only, as an
/// answer costs it time, and they tell the others.
[[nodiscard]] std::vector<std::string>
select_probed_engines(std::vector<std::string> p_engines, std::size_t p_nodes,
                      std::mt19937_64& r_random);

/// Asks engines which prompt parts their prefix caches hold, because a node
/// that starts doesn't know. Not thread-safe: use it only on the thread of its
/// node.
class prefix_cache_probe
{
public:
    /// `p_seed` initialises the choice of engines.
    prefix_cache_probe(backend::buffered_client& p_client,
                       dispatch::placement& p_placement, std::uint64_t p_seed)
        : client_(p_client), placement_(p_placement), random_(p_seed)
    {
    }

    /// Sends a request to this node's selection of the engines; other backend
    /// servers are skipped. `p_nodes` is the number of nodes in the fleet. The
    /// answers are recorded in the placement.
    void probe(const routing::server_list::entries& p_servers,
               std::size_t p_nodes);
    /// Returns the largest parts of each answer since the last call, for the
    /// other nodes.
    [[nodiscard]] std::vector<dispatch::cache_report> take_reports();

private:
    void send_probe(const routing::server_entry& p_engine);
    void handle_response(const std::string& p_engine,
                         const backend::client_response& p_response);

    backend::buffered_client& client_;
    dispatch::placement& placement_;
    std::mt19937_64 random_;
    std::vector<dispatch::cache_report> reports_;
};

} // namespace peridotspar
