#pragma once

#include "observe/burn_recorder.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace peridotspar
{

/// The names of the report's windows, shortest first: 5 minutes, 1 hour, and
/// since the start of each node.
constexpr std::array<const char*, 3> burn_window_names{"5m", "1h", "start"};

/// Attainment and error budget over one window.
struct window_burn
{
    burn_counts counts_;
    double attainment_ = 1;  ///< Share of requests that met their targets.
    double budget_left_ = 1; ///< Share of the error budget left; negative
                             ///< once it is overspent.
    double burn_rate_ = 0;   ///< 1 consumes the budget exactly.
};

/// The results of one class, or of one client account within a class.
struct burn_row
{
    std::string class_;
    std::string account_; ///< Empty for the whole class.
    std::array<window_burn, burn_window_names.size()> windows_;
    std::map<std::string, std::uint64_t> refusals_;
    latency_histogram first_token_histogram_{};
    double first_token_target_ms_ = 0;
    double token_gap_target_ms_ = 0;
    /// By minutes since the Unix epoch.
    std::map<std::int64_t, burn_counts> minutes_;
};

/// The responses of one backend server since the nodes started.
struct backend_summary
{
    std::string name_;
    std::uint64_t total_ = 0;
    std::uint64_t late_ = 0; ///< Responses that missed a latency target.
};

/// The merged report of all nodes. Rows are sorted by burn rate since the
/// start, backend servers by late responses; highest first.
struct burn_report
{
    double target_ = 0; ///< Share of requests that must meet their targets.
    std::vector<std::string> nodes_;
    std::vector<std::string> missing_nodes_; ///< No valid record was received.
    std::vector<burn_row> classes_;
    std::vector<burn_row> accounts_;
    std::vector<backend_summary> backends_;
};

/// Merges the records of `burn_recorder::to_json`, keyed by node name.
/// `p_target` is the share of requests that must meet their class's targets,
/// above 0 and below 1. `p_unix_ms` is the current time in milliseconds since
/// the Unix epoch, where the windows end. A node whose record isn't a JSON
/// object with classes is listed as missing, as are `p_unreachable_nodes`. A
/// record with other fields missing or malformed throws an exception.
[[nodiscard]] burn_report
merge_burn_records(const std::map<std::string, std::string>& p_node_records,
                   const std::vector<std::string>& p_unreachable_nodes,
                   double p_target, std::int64_t p_unix_ms);

/// An upper bound of a latency quantile in milliseconds: that of the bucket
/// which contains it. Quantiles above the highest bound return that bound; an
/// empty histogram returns the lowest one.
[[nodiscard]] double quantile_upper_bound(const latency_histogram& p_histogram,
                                          double p_quantile);

[[nodiscard]] std::string to_text(const burn_report& p_report);
[[nodiscard]] std::string to_json(const burn_report& p_report);
/// A self-contained HTML page with a plot for each class.
[[nodiscard]] std::string to_html(const burn_report& p_report);

} // namespace peridotspar
