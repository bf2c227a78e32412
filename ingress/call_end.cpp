#include "ingress/call_end.hpp"

namespace peridotspar::ingress
{

std::string_view to_string(call_end p_end)
{
    switch (p_end)
    {
    case call_end::not_connected:
        return "not_connected";
    case call_end::connection:
        return "connection";
    case call_end::malformed:
        return "malformed";
    case call_end::silence:
        return "silence";
    case call_end::unidentified:
        return "unidentified";
    case call_end::out_of_order:
        return "out_of_order";
    case call_end::too_long:
        return "too_long";
    }
    return "unknown";
}

std::string_view to_string(resend_obstacle p_obstacle)
{
    switch (p_obstacle)
    {
    case resend_obstacle::none:
        return "none";
    case resend_obstacle::not_resumable:
        return "not_resumable";
    case resend_obstacle::not_repeatable:
        return "not_repeatable";
    case resend_obstacle::runs:
        return "runs";
    case resend_obstacle::sends:
        return "sends";
    case resend_obstacle::deadline:
        return "deadline";
    case resend_obstacle::leaving:
        return "leaving";
    case resend_obstacle::quarantine:
        return "quarantine";
    case resend_obstacle::budget:
        return "budget";
    case resend_obstacle::no_server:
        return "no_server";
    }
    return "unknown";
}

} // namespace peridotspar::ingress
