#include "daemon/suspect_conversion.hpp"

#include <algorithm>

namespace peridotspar
{

namespace
{

/// Stands for the age of something that didn't happen.
constexpr std::int32_t no_age = -1;
/// Longer ages are reported as this one.
constexpr std::int64_t max_age_ms = std::int64_t{24} * 3600 * 1000;
/// Bound of the crashes that are taken from one report.
constexpr std::size_t max_crashes = 16;

std::int32_t to_age_ms(time_point p_time, time_point p_now)
{
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
                         std::max(duration::zero(), p_now - p_time))
                         .count();
    return static_cast<std::int32_t>(std::min<std::int64_t>(age, max_age_ms));
}

std::int32_t to_age_ms(const std::optional<time_point>& p_time,
                       time_point p_now)
{
    return p_time ? to_age_ms(*p_time, p_now) : no_age;
}

time_point from_age_ms(std::int32_t p_age_ms, time_point p_now)
{
    return p_now - std::chrono::milliseconds(std::max(p_age_ms, 0));
}

std::optional<time_point> optional_from_age_ms(std::int32_t p_age_ms,
                                               time_point p_now)
{
    return p_age_ms < 0 ? std::nullopt
                        : std::optional(from_age_ms(p_age_ms, p_now));
}

} // namespace

suspect_wire::suspect to_wire(const quarantine::suspect_report& p_report,
                              time_point p_now)
{
    suspect_wire::suspect message;
    message.key = static_cast<std::int64_t>(p_report.suspect_.key_.value());
    message.rank = static_cast<std::int32_t>(p_report.suspect_.rank_);
    for (const auto& known : p_report.crashes_)
    {
        suspect_wire::crash crash;
        crash.server = static_cast<std::int64_t>(known.server_.value());
        crash.request = static_cast<std::int64_t>(known.request_.value());
        crash.age_ms = to_age_ms(known.at_, p_now);
        message.crashes.push_back(crash);
    }
    message.cleared_age_ms = to_age_ms(p_report.cleared_at_, p_now);
    message.quarantined_age_ms = to_age_ms(p_report.quarantined_at_, p_now);
    message.episode = static_cast<std::int32_t>(p_report.episode_);
    message.trials = static_cast<std::int32_t>(p_report.trials_);
    message.used_age_ms = to_age_ms(p_report.last_used_, p_now);
    return message;
}

quarantine::suspect_report from_wire(const suspect_wire::suspect& p_message,
                                     time_point p_now)
{
    quarantine::suspect_report report;
    report.suspect_ = {
        quarantine::suspect_key(static_cast<std::uint64_t>(p_message.key)),
        static_cast<std::uint32_t>(std::max(p_message.rank, 0))};
    for (const auto& crash : p_message.crashes)
    {
        if (report.crashes_.size() < max_crashes)
        {
            report.crashes_.push_back(
                {quarantine::server_key(
                     static_cast<std::uint64_t>(crash.server)),
                 quarantine::suspect_key(
                     static_cast<std::uint64_t>(crash.request)),
                 from_age_ms(crash.age_ms, p_now)});
        }
    }
    report.cleared_at_ = optional_from_age_ms(p_message.cleared_age_ms, p_now);
    report.quarantined_at_ =
        optional_from_age_ms(p_message.quarantined_age_ms, p_now);
    report.episode_ =
        static_cast<std::uint32_t>(std::max(p_message.episode, 0));
    report.trials_ = static_cast<std::uint32_t>(std::max(p_message.trials, 0));
    report.last_used_ = from_age_ms(p_message.used_age_ms, p_now);
    return report;
}

} // namespace peridotspar
