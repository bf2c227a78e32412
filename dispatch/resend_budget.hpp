#pragma once

#include "core/clock.hpp"
#include "routing/route_table.hpp"

#include <cstddef>
#include <deque>
#include <map>

namespace peridotspar::dispatch
{

/// Bound of the resends to one service by all nodes together within a window: a
/// ratio of the service's requests plus a fixed slack.
struct resend_limits
{
    double ratio_ = 0.2;
    double slack_ = 50;
    duration window_ = std::chrono::seconds(10);
};

/// This node's part of the fleet's resend budget: the ratio of its own requests
/// plus its share of the slack. Not thread-safe.
class resend_budget
{
public:
    explicit resend_budget(resend_limits p_limits) : limits_(p_limits) {}

    void set_node_count(std::size_t p_node_count)
    {
        node_count_ = p_node_count;
    }
    /// Counts a new request towards the budget.
    void record_request(const routing::service_name& p_service,
                        time_point p_now);
    /// Consumes one resend; returns false if the budget is used up.
    [[nodiscard]] bool try_consume(const routing::service_name& p_service,
                                   time_point p_now);

private:
    struct history
    {
        std::deque<time_point> requests_;
        std::deque<time_point> resends_;
    };
    void drop_expired(history& r_history, time_point p_now) const;

    resend_limits limits_;
    std::size_t node_count_ = 1;
    std::map<routing::service_name, history> services_;
};

} // namespace peridotspar::dispatch
