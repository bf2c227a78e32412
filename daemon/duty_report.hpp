#pragma once

#include "capacity/demand_tracker.hpp"
#include "core/clock.hpp"
#include "routing/request_metadata.hpp"
#include "usage/usage_count.hpp"

#include <string>
#include <vector>

namespace peridotspar
{

/// What a node tells the nodes that collect usage.
struct duty_report
{
    std::string node_; ///< Peer address.
    std::string run_;  ///< Changes when the node restarts.
    std::vector<usage_count> counts_;
    /// Whether it names the demand, which may be none at all.
    bool has_demand_ = false;
    capacity::demand_tracker::demand_by_service demand_;
};

/// A live node that collects usage.
struct usage_collector_peer
{
    std::string key_;     ///< Of its process.
    std::string address_; ///< Peer address.
};

/// What a node tells all its peers for the duties of one node.
struct duty_status
{
    bool collects_usage_ = false;
    std::uint64_t token_ = 0; ///< The highest fencing token that it knows.
};

/// Takes what peers say for the duties of one node.
class duty_listener
{
public:
    virtual ~duty_listener() = default;
    /// A peer's clock, as of the moment in which it sent a message.
    virtual void on_peer_clock(const std::string& p_peer,
                               std::int64_t p_unix_ms, time_point p_now) = 0;
    virtual void on_duty_report(const duty_report& p_report,
                                time_point p_now) = 0;
    /// A request with these prompt parts was sent to an engine of some service.
    virtual void on_sent(const std::vector<routing::prompt_part>& p_parts,
                         time_point p_now) = 0;
};

} // namespace peridotspar
