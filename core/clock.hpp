#pragma once

#include <atomic>
#include <chrono>
#include <concepts>
#include <cstdint>
#include <ctime>

namespace peridotspar
{

using duration = std::chrono::microseconds;

/// The clock type that `time_point` belongs to. It has no `now()`: the current
/// time comes from a clock that satisfies `runtime_clock`.
struct timeline
{
    using duration = peridotspar::duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<timeline>;
    static constexpr bool is_steady = true;
};

using time_point = timeline::time_point;

/// A source of the current time. `now()` may be called from any thread.
template <class Clock>
concept runtime_clock = requires(const Clock& p_clock)
{
    {
        p_clock.now()
        } -> std::same_as<time_point>;
};

/// The machine's monotonic clock. It advances while the process is stopped, so
/// a lease holder that was paused sees that its lease has expired.
class monotonic_clock
{
public:
    [[nodiscard]] time_point now() const noexcept
    {
        return time_point(std::chrono::duration_cast<duration>(
            std::chrono::steady_clock::now().time_since_epoch()));
    }
};

/// A monotonic clock that also advances while the machine is suspended, so that
/// callers' deadlines expire during a suspension.
class boot_clock
{
public:
    [[nodiscard]] time_point now() const noexcept
    {
        timespec time{};
        clock_gettime(CLOCK_BOOTTIME, &time);
        return time_point(std::chrono::duration_cast<duration>(
            std::chrono::seconds(time.tv_sec) +
            std::chrono::nanoseconds(time.tv_nsec)));
    }
};

/// A clock for tests, which advances only when told to. Thread-safe.
class manual_clock
{
public:
    [[nodiscard]] time_point now() const noexcept
    {
        return time_point(duration(ticks_.load()));
    }
    void advance(duration p_step) noexcept { ticks_ += p_step.count(); }
    void set(time_point p_time) noexcept
    {
        ticks_ = p_time.time_since_epoch().count();
    }

private:
    std::atomic<std::int64_t> ticks_{0};
};

static_assert(runtime_clock<monotonic_clock>);
static_assert(runtime_clock<boot_clock>);
static_assert(runtime_clock<manual_clock>);

/// Converts a duration to milliseconds with a fraction, for reports.
[[nodiscard]] constexpr double to_ms(duration p_duration) noexcept
{
    return std::chrono::duration<double, std::milli>(p_duration).count();
}

/// Converts a duration to seconds with a fraction.
[[nodiscard]] constexpr double to_seconds(duration p_duration) noexcept
{
    return std::chrono::duration<double>(p_duration).count();
}

/// Converts seconds to a duration, truncated to microseconds.
[[nodiscard]] constexpr duration from_seconds(double p_seconds) noexcept
{
    return duration(static_cast<duration::rep>(p_seconds * 1e6));
}

/// The system clock in milliseconds since the Unix epoch. Use it only where
/// times of different machines are compared (key ages, lease expiry, log
/// lines).
[[nodiscard]] inline std::int64_t unix_ms() noexcept
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

} // namespace peridotspar
