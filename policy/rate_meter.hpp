#pragma once

#include "core/clock.hpp"

#include <cmath>

namespace peridotspar::policy
{

/// A rate per second that forgets with a time constant.
class rate_meter
{
public:
    explicit rate_meter(duration p_memory) : memory_s_(to_seconds(p_memory)) {}

    void note(double p_amount, time_point p_now)
    {
        sum_ = decayed(p_now) + p_amount;
        last_ = p_now;
    }

    [[nodiscard]] double per_second(time_point p_now) const
    {
        return decayed(p_now) / memory_s_;
    }

private:
    [[nodiscard]] double decayed(time_point p_now) const
    {
        return sum_ * std::exp(-to_seconds(p_now - last_) / memory_s_);
    }

    double memory_s_;
    double sum_ = 0;
    time_point last_{};
};

/// A moving average that weighs each new value by a fixed share.
class moving_average
{
public:
    explicit moving_average(double p_share = 0.2) : share_(p_share) {}

    void note(double p_value)
    {
        value_ = count_ == 0 ? p_value : value_ + share_ * (p_value - value_);
        ++count_;
    }
    [[nodiscard]] double value() const noexcept { return value_; }
    [[nodiscard]] unsigned count() const noexcept { return count_; }
    void reset() noexcept { count_ = 0; }

private:
    double share_;
    double value_ = 0;
    unsigned count_ = 0;
};

} // namespace peridotspar::policy
