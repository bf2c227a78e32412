#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace peridotspar
{

/// Bounds the log lines of each kind of event in a second. Any thread may call
/// it.
class log_budget
{
public:
    struct verdict
    {
        bool may_write_ = true;
        /// Lines of the kind that were left out in an earlier second and not
        /// yet told.
        std::uint64_t left_out_ = 0;
    };

    explicit log_budget(unsigned p_lines_per_second) : most_(p_lines_per_second)
    {
    }

    /// Asks for one line of a kind in a second of Unix time.
    [[nodiscard]] verdict take(const std::string& p_kind,
                               std::int64_t p_second);

private:
    struct use
    {
        std::int64_t second_ = 0;
        unsigned lines_ = 0;
        std::uint64_t left_out_ = 0;
    };

    unsigned most_;
    std::mutex mutex_;
    std::map<std::string, use> uses_;
};

} // namespace peridotspar
