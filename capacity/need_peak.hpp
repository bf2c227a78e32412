#pragma once

#include "capacity/engine_need.hpp"
#include "core/clock.hpp"

#include <deque>

namespace peridotspar::capacity
{

/// The peak of the need over the recent past.
class need_peak
{
public:
    /// `p_kept`: longest window that `over` is asked for.
    explicit need_peak(duration p_kept) : kept_(p_kept) {}

    void record(const engine_need& p_need, time_point p_now);
    /// The need with the largest number of engines in the last `p_window`.
    [[nodiscard]] engine_need over(duration p_window, time_point p_now) const;

private:
    struct sample
    {
        time_point time_;
        engine_need need_;
    };

    duration kept_;
    /// Oldest first, with falling needs: a sample is dropped as soon as a later
    /// one is as large.
    std::deque<sample> samples_;
};

} // namespace peridotspar::capacity
