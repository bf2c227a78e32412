#include "capacity/capacity_decision.hpp"

namespace peridotspar::capacity
{

std::string_view to_string(decision_reason p_reason)
{
    switch (p_reason)
    {
    case decision_reason::hold_enough:
        return "hold_enough";
    case decision_reason::hold_limited:
        return "hold_limited";
    case decision_reason::hold_stale:
        return "hold_stale";
    case decision_reason::hold_incomplete:
        return "hold_incomplete";
    case decision_reason::hold_recent_takeover:
        return "hold_recent_takeover";
    case decision_reason::hold_no_demand:
        return "hold_no_demand";
    case decision_reason::hold_down_limit:
        return "hold_down_limit";
    case decision_reason::hold_empty_list:
        return "hold_empty_list";
    case decision_reason::up_prefill:
        return "up_prefill";
    case decision_reason::up_streams:
        return "up_streams";
    case decision_reason::up_cache:
        return "up_cache";
    case decision_reason::up_min:
        return "up_min";
    case decision_reason::replace_reclaimed:
        return "replace_reclaimed";
    case decision_reason::down:
        return "down";
    case decision_reason::unusable_input:
        return "unusable_input";
    }
    return "unknown";
}

} // namespace peridotspar::capacity
