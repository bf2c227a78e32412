#include "dispatch/speed_estimator.hpp"

#include <algorithm>

namespace peridotspar::dispatch
{

namespace
{

/// Step towards the latest answer, whatever its distance: so the middle of all
/// is learnt, and engines that are slowed for moments don't shift it.
constexpr double learning_step = 0.03;
/// Prompts that read faster teach the time of an answer without any prompt.
constexpr double short_reading_ms = 20;
constexpr double least_base_ms = 1;
constexpr double most_base_ms = 2000;
/// Bounds of a token's time.
constexpr double least_ms_per_token = 0.001;
constexpr double most_ms_per_token = 1;

/// Work beside a prompt slows its reading by less than that; pauses are weighed
/// by what the engine itself takes.
constexpr double far_factor = 1.5;

bool is_far(double p_learnt, double p_usual)
{
    return p_learnt > p_usual * far_factor || p_learnt < p_usual / far_factor;
}

} // namespace

reading_speed speed_learner::speed() const
{
    const reading_speed usual;
    reading_speed used = usual;
    if (is_far(learnt_.base_ms_, usual.base_ms_))
    {
        used.base_ms_ = learnt_.base_ms_;
    }
    if (is_far(learnt_.ms_per_token_, usual.ms_per_token_))
    {
        used.ms_per_token_ = learnt_.ms_per_token_;
        used.ms_per_million_pairs_ = learnt_.ms_per_million_pairs_;
    }
    return used;
}

void speed_learner::note(duration p_reading, duration p_first)
{
    const double expected = to_ms(p_reading);
    const double beyond_base = to_ms(p_first) - learnt_.base_ms_;
    const double factor =
        beyond_base > expected ? 1 + learning_step : 1 / (1 + learning_step);
    if (expected < short_reading_ms)
    {
        learnt_.base_ms_ =
            std::clamp(learnt_.base_ms_ * factor, least_base_ms, most_base_ms);
        return;
    }
    const double before = learnt_.ms_per_token_;
    learnt_.ms_per_token_ =
        std::clamp(before * factor, least_ms_per_token, most_ms_per_token);
    learnt_.ms_per_million_pairs_ *= learnt_.ms_per_token_ / before;
}

} // namespace peridotspar::dispatch
