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

/// Starts a thread that writes log lines to standard output. Call this once,
/// before any other thread starts. Before this call, each line is written by
/// the thread that logs it.
void start_logging(log_level p_min_level);

/// Number of log lines dropped because the writer could not keep up, for
/// example because standard output was not read.
[[nodiscard]] std::uint64_t dropped_log_lines();

/// One structured log line, `event=NAME key=value ...`, which the destructor
/// writes. Values that are empty or contain whitespace, quotes, equals signs
/// or control characters are quoted; a control character becomes a space.
class log_event
{
public:
    log_event(log_level p_level, std::string_view p_event);
    ~log_event();
    log_event(const log_event&) = delete;
    log_event& operator=(const log_event&) = delete;

    /// Appends a key and its value.
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
    bool is_enabled_ = false; ///< Whether lines of this level are logged.
    std::string line_;
};

} // namespace peridotspar
