#pragma once

#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>

namespace peridotspar
{

enum class log_level
{
    debug,
    info,
    warning,
    error,
};

/// Starts logging to standard output by a thread of its own; call once before
/// any other thread starts. Without it lines are written at once.
void start_logging(log_level p_min_level);

/// Lines that were lost because the output wasn't read.
[[nodiscard]] std::uint64_t dropped_log_lines();

/// One structured log line: `event=NAME key=value ...`, written when the
/// object goes out of scope. Values with spaces or quotes are quoted.
class log_event
{
public:
    log_event(log_level p_level, std::string_view p_event);
    ~log_event();
    log_event(const log_event&) = delete;
    log_event& operator=(const log_event&) = delete;

    log_event& with(std::string_view p_key, std::string_view p_value);

    template <class Number>
    requires std::integral<Number> || std::floating_point<Number> log_event&
    with(std::string_view p_key, Number p_value)
    {
        return with(p_key, std::string_view(std::to_string(p_value)));
    }

private:
    log_level level_;
    std::string event_;
    bool is_enabled_ = false; ///< The level is logged.
    std::string line_;
};

} // namespace peridotspar
