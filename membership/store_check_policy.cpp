#include "membership/store_check_policy.hpp"

#include <algorithm>

namespace peridotspar
{

namespace
{

using namespace std::chrono_literals;

/// Wait of the watches of the first follower. A change may go unseen for this
/// time, that for a response and a retry: well below 3 s, after which a fleet
/// must be up to date.
constexpr duration check_interval = 1200ms;
/// Time after which a call without a response has failed.
constexpr duration response_time = 400ms;
/// Between the checks of two followers.
constexpr duration rank_delay = 200ms;
/// Wait of the others' watches.
constexpr duration long_wait = 20s;

} // namespace

store_check_policy::decision
store_check_policy::decide(std::size_t p_rank, time_point p_confirmed_at,
                           duration p_report_interval, time_point p_now)
{
    decision result;
    result.watch_wait_ = p_rank == 0 ? check_interval : long_wait;
    const duration allowed = check_interval + response_time +
                             p_report_interval +
                             rank_delay * static_cast<duration::rep>(p_rank);
    result.check_now_ = p_now - std::max(p_confirmed_at, last_check_) > allowed;
    if (result.check_now_)
    {
        last_check_ = p_now;
    }
    return result;
}

} // namespace peridotspar
