#pragma once

#include "dispatch/request_profile.hpp"

#include <map>
#include <set>

namespace peridotspar::dispatch
{

/// The urgency that engines are told of a request: by its priority, and among
/// equals by how soon its answer is due. Not for several threads.
class urgency_scale
{
public:
    static constexpr unsigned least_urgent = 9; ///< The highest is 0.

    /// Takes the priorities and targets that a configuration knows.
    void configure(const routing::route_table& p_table);
    /// Never less urgent than work of a lower priority, nor more urgent than
    /// work of a higher one.
    [[nodiscard]] unsigned urgency_of(const request_profile& p_request) const;

private:
    std::set<unsigned> priorities_;
    /// Of streams, by service.
    std::map<routing::service_name, std::set<duration>> targets_;
};

} // namespace peridotspar::dispatch
