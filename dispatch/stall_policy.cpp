#include "dispatch/stall_policy.hpp"

#include <algorithm>

namespace peridotspar::dispatch
{

namespace
{

using namespace std::chrono_literals;

constexpr int stall_target_multiple = 3;
constexpr duration min_stall_limit = 500ms;
/// Sound servers pause for so long, as when their host is busy.
constexpr duration max_sound_pause = 1500ms;
/// Part of the caller's patience after which a last try is due. The rest is for
/// the prefill at the other server.
constexpr double last_try_share = 0.75;

} // namespace

duration stall_limit(duration p_target)
{
    return std::max(min_stall_limit, p_target * stall_target_multiple);
}

duration last_try_limit(duration p_target, duration p_patience)
{
    return std::max({stall_limit(p_target), max_sound_pause,
                     from_seconds(last_try_share * to_seconds(p_patience))});
}

bool should_leave(const silent_call& p_call)
{
    const duration shortest = stall_limit(p_call.target_);
    if (p_call.silence_ < shortest)
    {
        return false;
    }
    if (!p_call.begun_ || p_call.server_responding_time_ >= shortest)
    {
        return true;
    }
    return p_call.silence_ >=
           (p_call.others_respond_
                ? std::max(shortest, max_sound_pause)
                : last_try_limit(p_call.target_, p_call.patience_));
}

} // namespace peridotspar::dispatch
