#include "policy/output_predictor.hpp"

#include <algorithm>
#include <cmath>

#include <boost/histogram/axis/regular.hpp>

namespace peridotspar::policy
{

namespace
{

constexpr double default_output_tokens = 128;
/// Decayed weight of a class's answers that an estimate needs. The fourth
/// answer reaches it.
constexpr double min_total_weight = 3;
/// Factor on the weight of older answers with each new one.
constexpr double decay_per_sample = 0.995;
constexpr double median_quantile = 0.5;
constexpr double longest_output_tokens = 65536;

/// Histogram buckets of equal width on a logarithmic scale.
const auto& bucket_axis()
{
    namespace axis = boost::histogram::axis;
    static const axis::regular<double, axis::transform::log> buckets(
        48, 1, longest_output_tokens);
    return buckets;
}

} // namespace

output_predictor::output_predictor(std::size_t p_classes) : classes_(p_classes)
{
}

void output_predictor::record_output(class_index p_class,
                                     std::uint32_t p_tokens)
{
    class_histogram& histogram = classes_[p_class.value()];
    for (double& weight : histogram.weights_)
    {
        weight *= decay_per_sample;
    }
    histogram.total_ = histogram.total_ * decay_per_sample + 1;
    const int bucket = bucket_axis().index(std::max(1.0, double(p_tokens)));
    const auto last = static_cast<int>(bucket_count) - 1;
    histogram.weights_[static_cast<std::size_t>(std::min(bucket, last))] += 1;
    histogram.median_ = quantile(p_class, median_quantile);
}

double output_predictor::quantile(class_index p_class, double p_quantile) const
{
    const class_histogram& histogram = classes_[p_class.value()];
    if (histogram.total_ < min_total_weight)
    {
        return default_output_tokens;
    }
    double sum = 0;
    for (std::size_t i = 0; i < histogram.weights_.size(); ++i)
    {
        sum += histogram.weights_[i];
        if (sum >= histogram.total_ * p_quantile)
        {
            return bucket_axis().bin(static_cast<int>(i)).center();
        }
    }
    return longest_output_tokens;
}

double output_predictor::median(class_index p_class) const
{
    return has_estimate(p_class) ? classes_[p_class.value()].median_
                                 : default_output_tokens;
}

double output_predictor::shortest_median() const
{
    double shortest = longest_output_tokens;
    for (const auto& histogram : classes_)
    {
        if (histogram.total_ >= min_total_weight)
        {
            shortest = std::min(shortest, histogram.median_);
        }
    }
    return shortest;
}

void output_predictor::copy_from(const output_predictor& p_other)
{
    const std::size_t common_count =
        std::min(classes_.size(), p_other.classes_.size());
    for (std::size_t i = 0; i < common_count; ++i)
    {
        classes_[i] = p_other.classes_[i];
    }
}

bool output_predictor::has_estimate(class_index p_class) const
{
    return classes_[p_class.value()].total_ >= min_total_weight;
}

} // namespace peridotspar::policy
