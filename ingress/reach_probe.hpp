#pragma once

#include "backend/connection_pool.hpp"
#include "dispatch/service_reach.hpp"
#include "routing/server_list.hpp"

#include <map>
#include <memory>

namespace peridotspar::ingress
{

/// Finds out when servers of a lost service can be reached again: opens a
/// connection to one of them after the other, one at a time for each service.
/// One that opens stays in the pool for the next request. Use only from the
/// node's thread.
class reach_probe
{
public:
    reach_probe(backend::connection_pool& p_pool,
                dispatch::service_reach& p_reach)
        : pool_(p_pool), reach_(p_reach)
    {
    }

    /// Starts probes that are due and takes their results. Call regularly.
    void tick(const routing::server_list::entries& p_servers, time_point p_now);

private:
    struct probe
    {
        std::weak_ptr<backend::connection> connection_;
        std::string server_; ///< Id of the server of the last probe.
        time_point next_{};
    };
    void start(const routing::service_name& p_service,
               const routing::server_list::entries& p_servers, probe& r_probe);

    backend::connection_pool& pool_;
    dispatch::service_reach& reach_;
    std::map<routing::service_name, probe> probes_;
};

} // namespace peridotspar::ingress
