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

/// The result of one request and the latency targets of its class.
struct request_record
{
    std::string class_;
    std::string account_;
    std::string backend_;        ///< That responded; empty if none did.
    std::string refusal_reason_; ///< Empty if the request was answered.
    double first_token_ms_ = 0;
    double token_gap_ms_ = 0; ///< Mean time between two tokens.
    double first_token_target_ms_ = 0;
    double token_gap_target_ms_ = 0;
};

/// Request counts of one minute or of a longer window.
struct burn_counts
{
    std::uint64_t total_ = 0;
    std::uint64_t good_ = 0;     ///< Answered within both latency targets.
    std::uint64_t over_cap_ = 0; ///< Refused by a cap; not in `total_`.

    burn_counts& operator+=(const burn_counts& p_other);
};

/// Counts this node's requests for the burn report, by class and by client
/// account: per minute for the last hour, and since the start. Thread-safe.
class burn_recorder
{
public:
    /// Counts one finished request in the minute of `p_unix_ms`, its end in
    /// milliseconds since the Unix epoch.
    void record(const request_record& p_record, std::int64_t p_unix_ms);
    /// All counts as a JSON object, the input of `merge_burn_records`.
    [[nodiscard]] std::string to_json(const std::string& p_node) const;

private:
    struct count_series
    {
        /// By minutes since the Unix epoch.
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
    /// By class and client account.
    std::map<std::pair<std::string, std::string>, count_series> accounts_;
    std::map<std::string, backend_counts> backends_;
};

} // namespace peridotspar
