#pragma once

#include "core/clock.hpp"

#include <cmath>

namespace peridotspar::policy
{

/// Rate per second with exponential decay. `p_time_constant` is the time in
/// which the weight of an amount falls to 1/e.
class rate_meter
{
public:
    explicit rate_meter(duration p_time_constant)
        : time_constant_s_(to_seconds(p_time_constant))
    {
    }

    void add(double p_amount, time_point p_now)
    {
        sum_ = decayed_sum(p_now) + p_amount;
        last_update_ = p_now;
    }

    [[nodiscard]] double per_second(time_point p_now) const
    {
        return decayed_sum(p_now) / time_constant_s_;
    }

private:
    [[nodiscard]] double decayed_sum(time_point p_now) const
    {
        return sum_ *
               std::exp(-to_seconds(p_now - last_update_) / time_constant_s_);
    }

    double time_constant_s_;
    double sum_ = 0;
    time_point last_update_{};
};

/// Exponential moving average. The first value sets it; each later value has
/// the weight `p_smoothing_factor`, from 0 to 1.
class moving_average
{
public:
    explicit moving_average(double p_smoothing_factor = 0.2)
        : smoothing_factor_(p_smoothing_factor)
    {
    }

    void add(double p_value)
    {
        value_ = count_ == 0 ? p_value
                             : value_ + smoothing_factor_ * (p_value - value_);
        ++count_;
    }
    [[nodiscard]] double value() const noexcept { return value_; }
    [[nodiscard]] unsigned count() const noexcept { return count_; }
    void reset() noexcept { count_ = 0; }

private:
    double smoothing_factor_;
    double value_ = 0;
    unsigned count_ = 0;
};

} // namespace peridotspar::policy
