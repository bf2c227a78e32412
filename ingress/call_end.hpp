#pragma once

#include <cstdint>
#include <string_view>

namespace peridotspar::ingress
{

/// Who ended a call to a server before its response was complete, and why.
enum class call_end : std::uint8_t
{
    not_connected, ///< No connection was opened; nothing was sent.
    connection,    ///< The connection was closed or reset, not by this node.
    malformed,     ///< The received bytes aren't a valid response.
    silence,       ///< This node left a server that had sent nothing for long.
    unidentified,  ///< This node, as the response named no request.
    out_of_order,  ///< This node, as an event didn't follow the one before.
    too_long,      ///< This node, as the response was too long.
};

/// The name in logs.
[[nodiscard]] std::string_view to_string(call_end p_end);

/// What keeps a request from being sent to a further server.
enum class resend_obstacle : std::uint8_t
{
    none,
    not_resumable,  ///< The caller has a part that can't be continued.
    not_repeatable, ///< It may have run, and its route allows one run.
    runs,           ///< It may have run as often as its route allows.
    sends,          ///< It was sent, or failed to be, too often.
    deadline,       ///< Too little time is left.
    leaving,        ///< This node stops before the answer would be due.
    quarantine,     ///< It may be what makes servers crash.
    budget,         ///< The retry budget of its service is used up.
    no_server,      ///< No other server can take it now.
};

/// The name in logs.
[[nodiscard]] std::string_view to_string(resend_obstacle p_obstacle);

} // namespace peridotspar::ingress
