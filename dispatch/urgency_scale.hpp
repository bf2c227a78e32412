#pragma once

#include "dispatch/request_profile.hpp"

#include <map>
#include <set>

namespace peridotspar::dispatch
{

/// Maps requests to the urgency that is sent to engines: by priority, and
/// within a priority by the answer target. Not thread-safe.
class urgency_scale
{
public:
    static constexpr unsigned least_urgent = 9; ///< The most urgent is 0.

    /// Takes the priorities and answer targets of a configuration.
    void configure(const routing::route_table& p_table);
    /// The urgency from 0 to `least_urgent`. A request is never less urgent
    /// than one of a lower priority, nor more urgent than one of a higher
    /// priority.
    [[nodiscard]] unsigned urgency_of(const request_profile& p_request) const;

private:
    std::set<unsigned> priorities_;
    /// Answer targets of streams, by service.
    std::map<routing::service_name, std::set<duration>> targets_;
};

} // namespace peridotspar::dispatch
