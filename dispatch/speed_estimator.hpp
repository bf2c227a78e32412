#pragma once

#include "dispatch/engine_model.hpp"

namespace peridotspar::dispatch
{

/// Learns how fast the engines of a service read, from the first answers of
/// requests that found one at rest. Not for several threads.
class speed_estimator
{
public:
    /// The usual speed, unless what was learnt is far from it.
    [[nodiscard]] prefill_speed speed() const;
    /// A prompt that was expected to take `p_reading` had its first answer
    /// after `p_first`, with nothing before it.
    void add_sample(duration p_prefill_time, duration p_first_answer);

private:
    prefill_speed estimate_;
};

} // namespace peridotspar::dispatch
