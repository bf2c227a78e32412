#pragma once

#include "transport/http_client.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace peridotspar
{

/// A bounded load of streamed completions.
struct load_plan
{
    std::vector<endpoint> targets_; ///< Used in turn.
    std::string key_;
    std::string model_;
    std::string class_; ///< Empty: the account's default.
    std::uint32_t request_count_ = 100;
    std::uint32_t concurrency_ = 10;
    double requests_per_second_ = 0; ///< 0: as fast as the concurrency allows.
    std::uint32_t output_tokens_ = 32;
    std::uint32_t prompt_bytes_ = 200;
    std::chrono::milliseconds timeout_{60000};
    std::string prompt_prefix_ =
        "load"; ///< Makes the prompts of a run its own.
};

/// What became of one request of a load.
struct load_sample
{
    int status_ = 0; ///< 0: the connection failed.
    std::size_t target_index_ = 0;
    double first_token_ms_ = 0;
    double longest_gap_ms_ = 0;
    std::vector<double> gaps_ms_;
    std::uint32_t tokens_ = 0;
    bool complete_ = false;  ///< Every token came once, in order, to the end.
    std::string error_code_; ///< Of the error, if there was one.
    std::string verdict_;
};

/// Runs a load and returns a sample for each request.
[[nodiscard]] std::vector<load_sample> run_load(const load_plan& p_plan);

/// The value below which a share of the values lie; 0 without values.
[[nodiscard]] double percentile(std::vector<double> p_values,
                                double p_quantile);

} // namespace peridotspar
