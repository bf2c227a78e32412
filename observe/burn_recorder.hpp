#pragma once

#include "observe/latency_buckets.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <utility>

namespace peridotspar
{

/// How one request fared against its class's target.
struct request_record
{
    std::string class_;
    std::string account_;
    std::string backend_;        ///< That answered; empty if none did.
    std::string refusal_reason_; ///< Reason of a refusal; empty if answered.
    double first_token_ms_ = 0;
    double token_gap_ms_ = 0; ///< Mean between tokens.
    double first_token_target_ms_ = 0;
    double token_gap_target_ms_ = 0;
};

/// Counts of requests in one minute, or over a window.
struct burn_counts
{
    std::uint64_t total_ = 0;
    std::uint64_t good_ = 0;
    std::uint64_t over_cap_ = 0; ///< Refused by the cap; not in the total.

    burn_counts& operator+=(const burn_counts& p_other);
};

/// Keeps what the burn report needs, by class and client account, for the
/// last hour by minute and since the start. Any thread may call it.
class burn_recorder
{
public:
    void record(const request_record& p_record, std::int64_t p_unix_ms);
    /// All counts as JSON, for the report to merge.
    [[nodiscard]] std::string to_json(const std::string& p_node) const;

private:
    struct count_series
    {
        std::map<std::int64_t, burn_counts> minutes_;
        burn_counts since_start_;
    };
    struct class_stats
    {
        count_series counts_;
        latency_histogram first_token_histogram_{};
        latency_histogram token_gap_histogram_{};
        std::map<std::string, std::uint64_t> refusals_;
        double first_token_target_ms_ = 0;
        double token_gap_target_ms_ = 0;
    };
    struct backend_counts
    {
        std::uint64_t total_ = 0;
        std::uint64_t late_ = 0;
    };

    static void add_counts(count_series& r_series, const burn_counts& p_counts,
                           std::int64_t p_minute);

    mutable std::mutex mutex_;
    std::map<std::string, class_stats> classes_;
    std::map<std::pair<std::string, std::string>, count_series> accounts_;
    std::map<std::string, backend_counts> backends_;
};

} // namespace peridotspar
