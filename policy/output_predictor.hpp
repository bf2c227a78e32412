#pragma once

#include "core/ids.hpp"

#include <cstdint>
#include <vector>

namespace peridotspar::policy
{

/// Estimates the output length of requests, per request class. The weight of
/// past answers decays, so that the estimate follows changes in a class's use.
/// Not thread-safe.
class output_predictor
{
public:
    explicit output_predictor(std::size_t p_classes = 0);

    /// Adds the output length of an answer.
    void record_output(class_index p_class, std::uint32_t p_tokens);
    /// Quantile of a class's output length in tokens, for `p_quantile` from 0
    /// to 1. A fixed default until there are enough answers.
    [[nodiscard]] double quantile(class_index p_class, double p_quantile) const;
    /// Median output length of a class in tokens, with the same default.
    [[nodiscard]] double median(class_index p_class) const;
    /// Smallest median among the classes that have an estimate, in tokens.
    [[nodiscard]] double shortest_median() const;
    /// Copies the histograms of the classes that both predictors have.
    void copy_from(const output_predictor& p_other);
    /// Whether there are enough answers of the class for an estimate.
    [[nodiscard]] bool has_estimate(class_index p_class) const;

private:
    static constexpr std::size_t bucket_count = 48;
    /// Decayed histogram of output lengths.
    struct class_histogram
    {
        std::vector<double> weights_ = std::vector<double>(bucket_count, 0);
        double total_ = 0;
        double median_ = 0;
    };

    std::vector<class_histogram> classes_;
};

} // namespace peridotspar::policy
