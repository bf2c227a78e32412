#include "dispatch/admission_controller.hpp"

#include <algorithm>

namespace peridotspar::dispatch
{

namespace
{

using namespace std::chrono_literals;

/// Callers leave a silent stream after the longest of these.
constexpr duration least_patience = 2s;
constexpr int targets_of_patience = 4;
constexpr int pauses_of_patience = 8;
/// Part of the patience that an expected wait may fill; estimates are rough.
constexpr double usable_patience = 0.8;
constexpr duration shortest_return = 200ms;
/// Callers come back as told up to this part of the time that they have.
constexpr int parts_of_time_left = 3;

} // namespace

duration stream_patience(duration p_target, duration p_pause)
{
    return std::max({least_patience, p_target * targets_of_patience,
                     p_pause * pauses_of_patience});
}

std::optional<duration> admission::find_refusal(const work& p_work,
                                                const placement& p_placement,
                                                const waiting_line& p_line,
                                                duration p_elsewhere,
                                                time_point p_now)
{
    const duration wait = p_placement.expected_wait(p_work, p_now);
    if (wait == duration::max())
    {
        return come_back_in(p_work, shortest_return, p_now);
    }
    const auto servers =
        static_cast<duration::rep>(p_placement.count(p_work.service_));
    const duration ahead = (p_line.ahead_of(p_work) + p_elsewhere) /
                           std::max<duration::rep>(servers, 1);
    const duration usable(static_cast<duration::rep>(
        usable_patience *
        static_cast<double>((p_work.give_up_at_ - p_now).count())));
    if (wait + ahead <= usable)
    {
        return std::nullopt;
    }
    return come_back_in(p_work, wait + ahead - usable, p_now);
}

duration admission::come_back_in(const work& p_work, duration p_base,
                                 time_point p_now)
{
    // Spread, so that those who were refused together don't return together.
    std::uniform_real_distribution<double> spread(1.0, 1.6);
    const duration wanted = from_seconds(
        spread(random_) * to_seconds(std::max(p_base, shortest_return)));
    const duration longest = std::max(
        shortest_return, (p_work.deadline_ - p_now) / parts_of_time_left);
    return std::min(wanted, longest);
}

} // namespace peridotspar::dispatch
