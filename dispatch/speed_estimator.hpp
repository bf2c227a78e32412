#pragma once

#include "dispatch/engine_model.hpp"

namespace peridotspar::dispatch
{

/// Learns how fast the engines of a service read, from the first answers of
/// requests that found one at rest. Not for several threads.
class speed_learner
{
public:
    /// The usual speed, unless what was learnt is far from it.
    [[nodiscard]] reading_speed speed() const;
    /// A prompt that was expected to take `p_reading` had its first answer
    /// after `p_first`, with nothing before it.
    void note(duration p_reading, duration p_first);

private:
    reading_speed learnt_;
};

} // namespace peridotspar::dispatch
