#include "policy/output_predictor.hpp"

#include <algorithm>
#include <cmath>

#include <boost/histogram/axis/regular.hpp>

namespace peridotspar::policy
{

namespace
{

constexpr double first_guess_tokens = 128;
constexpr double answers_to_trust = 3;
constexpr double fading = 0.995;
constexpr double median = 0.5;
constexpr double longest_output_tokens = 65536;

/// Buckets of equal width on a logarithmic scale.
const auto& scale()
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

void output_predictor::learn(class_index p_class, std::uint32_t p_tokens)
{
    history& known = classes_[p_class.value()];
    for (double& weight : known.weights_)
    {
        weight *= fading;
    }
    known.total_ = known.total_ * fading + 1;
    const int bucket = scale().index(std::max(1.0, double(p_tokens)));
    const auto last = static_cast<int>(bucket_count) - 1;
    known.weights_[static_cast<std::size_t>(std::min(bucket, last))] += 1;
    known.usual_ = quantile(p_class, median);
}

double output_predictor::quantile(class_index p_class, double p_share) const
{
    const history& known = classes_[p_class.value()];
    if (known.total_ < answers_to_trust)
    {
        return first_guess_tokens;
    }
    double sum = 0;
    for (std::size_t i = 0; i < known.weights_.size(); ++i)
    {
        sum += known.weights_[i];
        if (sum >= known.total_ * p_share)
        {
            return scale().bin(static_cast<int>(i)).center();
        }
    }
    return longest_output_tokens;
}

double output_predictor::usual(class_index p_class) const
{
    return knows(p_class) ? classes_[p_class.value()].usual_
                          : first_guess_tokens;
}

double output_predictor::shortest_usual() const
{
    double shortest = longest_output_tokens;
    for (const auto& known : classes_)
    {
        if (known.total_ >= answers_to_trust)
        {
            shortest = std::min(shortest, known.usual_);
        }
    }
    return shortest;
}

void output_predictor::take(const output_predictor& p_other)
{
    const std::size_t shared =
        std::min(classes_.size(), p_other.classes_.size());
    for (std::size_t i = 0; i < shared; ++i)
    {
        classes_[i] = p_other.classes_[i];
    }
}

bool output_predictor::knows(class_index p_class) const
{
    return classes_[p_class.value()].total_ >= answers_to_trust;
}

} // namespace peridotspar::policy
