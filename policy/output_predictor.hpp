#pragma once

#include "core/ids.hpp"

#include <cstdint>
#include <vector>

namespace peridotspar::policy
{

/// Learns how much output the requests of a class produce. Older answers
/// count for less, so that it follows a class whose use changes.
class output_predictor
{
public:
    explicit output_predictor(std::size_t p_classes = 0);

    void record_output(class_index p_class, std::uint32_t p_tokens);
    /// Quantile `p_quantile` of a class's output in tokens; a fixed guess until
    /// some answers were seen.
    [[nodiscard]] double quantile(class_index p_class, double p_quantile) const;
    /// The usual output of a class in tokens.
    [[nodiscard]] double median(class_index p_class) const;
    /// The usual output of the class that has the shortest one.
    [[nodiscard]] double shortest_median() const;
    /// Takes over what another predictor knows of the same classes.
    void copy_from(const output_predictor& p_other);
    /// Whether answers of the class were seen.
    [[nodiscard]] bool has_estimate(class_index p_class) const;

private:
    static constexpr std::size_t bucket_count = 48;
    struct class_histogram
    {
        std::vector<double> weights_ = std::vector<double>(bucket_count, 0);
        double total_ = 0;
        double median_ = 0;
    };

    std::vector<class_histogram> classes_;
};

} // namespace peridotspar::policy
