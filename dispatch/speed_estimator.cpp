#include "dispatch/speed_estimator.hpp"

#include <algorithm>

namespace peridotspar::dispatch
{

namespace
{

/// Step towards the latest answer, whatever its distance: so the middle of all
/// is learnt, and engines that are slowed for moments don't shift it.
constexpr double adjustment_step = 0.03;
/// Prompts that read faster teach the time of an answer without any prompt.
constexpr double short_prefill_ms = 20;
constexpr double min_base_ms = 1;
constexpr double max_base_ms = 2000;
/// Bounds of a token's time.
constexpr double min_ms_per_token = 0.001;
constexpr double max_ms_per_token = 1;

/// Work beside a prompt slows its reading by less than that; pauses are weighed
/// by what the engine itself takes.
constexpr double min_deviation_factor = 1.5;

bool deviates(double p_estimate, double p_default)
{
    return p_estimate > p_default * min_deviation_factor ||
           p_estimate < p_default / min_deviation_factor;
}

} // namespace

prefill_speed speed_estimator::speed() const
{
    const prefill_speed default_speed;
    prefill_speed speed = default_speed;
    if (deviates(estimate_.base_ms_, default_speed.base_ms_))
    {
        speed.base_ms_ = estimate_.base_ms_;
    }
    if (deviates(estimate_.ms_per_token_, default_speed.ms_per_token_))
    {
        speed.ms_per_token_ = estimate_.ms_per_token_;
        speed.ms_per_million_pairs_ = estimate_.ms_per_million_pairs_;
    }
    return speed;
}

void speed_estimator::add_sample(duration p_prefill_time,
                                 duration p_first_answer)
{
    const double expected = to_ms(p_prefill_time);
    const double net_ms = to_ms(p_first_answer) - estimate_.base_ms_;
    const double factor =
        net_ms > expected ? 1 + adjustment_step : 1 / (1 + adjustment_step);
    if (expected < short_prefill_ms)
    {
        estimate_.base_ms_ =
            std::clamp(estimate_.base_ms_ * factor, min_base_ms, max_base_ms);
        return;
    }
    const double previous = estimate_.ms_per_token_;
    estimate_.ms_per_token_ =
        std::clamp(previous * factor, min_ms_per_token, max_ms_per_token);
    estimate_.ms_per_million_pairs_ *= estimate_.ms_per_token_ / previous;
}

} // namespace peridotspar::dispatch
