#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace peridotspar
{

/// Limits the number of log lines per second for each event name. Thread-safe.
class log_rate_limiter
{
public:
    struct decision
    {
        bool is_allowed_ = true;
        /// Lines of the event that were left out in an earlier second and not
        /// yet reported.
        std::uint64_t left_out_ = 0;
    };

    explicit log_rate_limiter(unsigned p_max_lines_per_second)
        : max_lines_per_second_(p_max_lines_per_second)
    {
    }

    /// Requests permission to log one line of `p_event` in the second
    /// `p_second` of Unix time.
    [[nodiscard]] decision try_acquire(const std::string& p_event,
                                       std::int64_t p_second);

private:
    /// The lines of one event in the current second.
    struct event_usage
    {
        std::int64_t second_ = 0;
        unsigned lines_ = 0;
        std::uint64_t left_out_ = 0;
    };

    unsigned max_lines_per_second_;
    std::mutex mutex_;
    std::map<std::string, event_usage> usage_;
};

} // namespace peridotspar
