#pragma once

#include "transport/http_client.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace peridotspar
{

/// A load of a fixed number of streamed chat completions.
struct load_plan
{
    std::vector<endpoint> targets_; ///< Used round-robin.
    std::string key_;
    std::string model_;
    std::string class_; ///< Empty: the account's default class.
    std::uint32_t request_count_ = 100;
    std::uint32_t concurrency_ = 10;
    double requests_per_second_ = 0; ///< 0: limited by concurrency only.
    std::uint32_t output_tokens_ = 32;
    std::uint32_t prompt_bytes_ = 200;
    std::chrono::milliseconds timeout_{60000};
    /// Distinguishes the prompts of a run.
    std::string prompt_prefix_ = "load";
};

/// The result of one request of a load.
struct load_sample
{
    int status_ = 0;               ///< HTTP status; 0 if the connection failed.
    std::size_t target_index_ = 0; ///< In `load_plan::targets_`.
    double first_token_ms_ = 0;
    double longest_gap_ms_ = 0;
    std::vector<double> gaps_ms_;
    std::uint32_t tokens_ = 0;
    /// Every token arrived exactly once and in order, and then the end mark.
    bool complete_ = false;
    std::string error_code_; ///< `code` of an error that was received.
    std::string verdict_;    ///< `verdict` of an error that was received.
};

/// Runs a load on up to `concurrency_` threads and waits for its end. Returns a
/// sample for each request. The plan needs at least one target.
[[nodiscard]] std::vector<load_sample> run_load(const load_plan& p_plan);

/// The quantile `p_quantile` (0 to 1) of the values, rounded down to one of
/// them; 0 without values.
[[nodiscard]] double percentile(std::vector<double> p_values,
                                double p_quantile);

} // namespace peridotspar
