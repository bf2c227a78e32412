#pragma once

#include "observe/burn_recorder.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace peridotspar
{

/// The windows of the report, from the shortest.
constexpr std::array<const char*, 3> burn_window_names{"5m", "1h", "start"};

/// Attainment over one window.
struct window_burn
{
    burn_counts counts_;
    double attainment_ = 1;  ///< Share of requests that met the target.
    double budget_left_ = 1; ///< Share of the error budget not yet used.
    double burn_rate_ = 0;   ///< 1 uses the budget up exactly.
};

/// One class, or one client account in a class.
struct burn_row
{
    std::string class_;
    std::string account_; ///< Empty for the whole class.
    std::array<window_burn, burn_window_names.size()> windows_;
    std::map<std::string, std::uint64_t> refusals_;
    latency_histogram first_token_histogram_{};
    double first_token_target_ms_ = 0;
    double token_gap_target_ms_ = 0;
    std::map<std::int64_t, burn_counts> minutes_;
};

struct backend_summary
{
    std::string name_;
    std::uint64_t total_ = 0;
    std::uint64_t late_ = 0;
};

/// The merged report of all nodes, the worst lines first.
struct burn_report
{
    double target_ = 0;
    std::vector<std::string> nodes_;
    std::vector<std::string> missing_nodes_; ///< Those that didn't answer.
    std::vector<burn_row> classes_;
    std::vector<burn_row> accounts_;
    std::vector<backend_summary> backends_;
};

/// Merges what nodes returned. `p_target`: share of requests that must meet
/// their class's target. A text that isn't a node's record is passed over
/// and its node counted as missing.
[[nodiscard]] burn_report
merge_burn_records(const std::map<std::string, std::string>& p_node_records,
                   const std::vector<std::string>& p_unreachable_nodes,
                   double p_target, std::int64_t p_unix_ms);

/// Latency below which a share of the requests lie, in milliseconds: the
/// upper bound of the bucket that holds it.
[[nodiscard]] double quantile_upper_bound(const latency_histogram& p_histogram,
                                          double p_quantile);

[[nodiscard]] std::string to_text(const burn_report& p_report);
[[nodiscard]] std::string to_json(const burn_report& p_report);
/// One self-contained page with a plot for each class.
[[nodiscard]] std::string to_html(const burn_report& p_report);

} // namespace peridotspar
