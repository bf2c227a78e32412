#pragma once

#include "core/clock.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <unordered_map>

namespace peridotspar::capacity
{

/// What a node reports of its requests to one service.
struct node_demand
{
    /// Engine time for prefill that they asked for since the node's start.
    duration prefill_{};
    unsigned streams_ = 0; ///< That run or wait.
};

/// The requests of all nodes together.
struct fleet_demand
{
    double prefill_ms_per_s_ = 0;
    double streams_ = 0;
    std::size_t reporting_nodes_ = 0;
    duration oldest_report_age_{};
};

/// Adds up the demand that nodes report. A node that has fallen silent counts
/// no more after a time. Not thread-safe.
class demand_tracker
{
public:
    using demand_by_service = std::map<std::string, node_demand>;

    /// Records a report, which names each service that the node has requests
    /// for. `p_run`: changes when the node restarts.
    void record(const std::string& p_node, const std::string& p_run,
                const demand_by_service& p_demand, time_point p_now);
    [[nodiscard]] fleet_demand total(const std::string& p_service,
                                     time_point p_now) const;
    /// Removes the nodes that have been silent for long. Call periodically.
    void expire(time_point p_now);

private:
    struct sample
    {
        time_point at_{};
        duration prefill_{};
    };
    struct service_state
    {
        std::deque<sample> samples_; ///< Oldest first.
        unsigned streams_ = 0;
    };
    struct node_state
    {
        std::string run_;
        time_point reported_at_{};
        std::map<std::string, service_state> services_;
    };
    std::map<std::string, node_state> nodes_;
};

/// The prompt parts that requests have used lately and that further requests
/// may share. Not thread-safe.
class working_set
{
public:
    void record(std::uint64_t p_part, std::uint32_t p_tokens, time_point p_now);
    /// Tokens of all parts that were used more than once lately.
    [[nodiscard]] std::uint64_t tokens() const { return tokens_; }
    /// Forgets parts that haven't been used for long. Call periodically.
    void expire(time_point p_now);

private:
    struct part
    {
        std::uint32_t tokens_ = 0;
        time_point used_at_{};
        bool reused_ = false;
    };
    std::unordered_map<std::uint64_t, part> parts_;
    std::uint64_t tokens_ = 0;
};

} // namespace peridotspar::capacity
