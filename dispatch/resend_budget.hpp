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

/// Amounts by time. Those of a hundredth of the window are kept together, so
/// memory doesn't grow with their number.
class windowed_sum
{
public:
    /// `p_at` may lie in the future, but not before an earlier call's.
    void add(double p_amount, time_point p_at, duration p_window);
    /// Drops what was added before `p_oldest`. An amount may be dropped up to
    /// a hundredth of the window late, never early.
    void drop_before(time_point p_oldest);
    [[nodiscard]] double total() const { return total_; }

private:
    struct part
    {
        time_point first_;
        time_point last_;
        double amount_ = 0;
    };
    std::deque<part> parts_;
    double total_ = 0;
};

/// This node's part of the fleet's resend budget: the ratio of its own requests
/// plus its share of the slack. Only requests within the window before a resend
/// count: the resend is also judged in the window that begins with it, where
/// older ones no longer count. Not thread-safe.
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
    /// Consumes a part of a resend, whether the budget has it or not.
    void consume(const routing::service_name& p_service, double p_resends,
                 time_point p_now);
    /// Counts resends that a peer may make until `p_until`.
    void lend(const routing::service_name& p_service, double p_resends,
              time_point p_until, time_point p_now);
    /// What is left; negative if it was used up and the bound fell since.
    [[nodiscard]] double unused(const routing::service_name& p_service,
                                time_point p_now);
    /// The same for all services with requests or resends lately; the others
    /// are forgotten.
    [[nodiscard]] std::map<routing::service_name, double>
    unused(time_point p_now);

private:
    struct history
    {
        windowed_sum requests_;
        windowed_sum resends_;
        windowed_sum lent_; ///< By the last moment at which a peer may use it.
    };
    [[nodiscard]] double unused(history& r_history, time_point p_now) const;

    resend_limits limits_;
    std::size_t node_count_ = 1;
    std::map<routing::service_name, history> services_;
};

} // namespace peridotspar::dispatch
