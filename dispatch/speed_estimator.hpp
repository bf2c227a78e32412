#pragma once

#include "dispatch/engine_model.hpp"

namespace peridotspar::dispatch
{

/// Estimates the prefill speed of a service's engines from the first answers to
/// requests that found their engine idle. Not thread-safe.
class speed_estimator
{
public:
    /// The default speed, or the estimate if it differs much from the default.
    [[nodiscard]] prefill_speed speed() const;
    /// Adds a request whose prefill was expected to take `p_prefill_time` and
    /// whose first answer came after `p_first_answer`, at an idle engine.
    void add_sample(duration p_prefill_time, duration p_first_answer);

private:
    prefill_speed estimate_;
};

} // namespace peridotspar::dispatch
