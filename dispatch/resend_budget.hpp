#pragma once

#include "core/clock.hpp"
#include "routing/route_table.hpp"

#include <cstddef>
#include <deque>
#include <map>

namespace peridotspar::dispatch
{

/// What all nodes together may send again to a service: a share of the
/// requests for it in a window, and a number on top.
struct resend_limits
{
    double ratio_ = 0.2;
    double slack_ = 50;
    duration window_ = std::chrono::seconds(10);
};

/// This node's part of the fleet's budget for sending requests again: the
/// ratio of its own requests, and its share of the slack.
class resend_budget
{
public:
    explicit resend_budget(resend_limits p_limits) : limits_(p_limits) {}

    void set_node_count(std::size_t p_node_count)
    {
        node_count_ = p_node_count;
    }
    void note_request(const routing::service_name& p_service, time_point p_now);
    /// Takes one further send; false when the budget is spent.
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
