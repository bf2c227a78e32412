#pragma once

#include "daemon/duty_report.hpp"
#include "dispatch/brittle_servers.hpp"
#include "dispatch/resend_loans.hpp"
#include "dispatch/server_limits.hpp"
#include "dispatch/server_pace.hpp"
#include "dispatch/server_table.hpp"
#include "dispatch/wait_queue.hpp"
#include "membership/peer_table.hpp"
#include "transport/gen/entry_peer_types.h"

#include <optional>

namespace peridotspar
{

// Conversions between the Thrift messages that entry nodes exchange and the
// types of membership and dispatch. from_wire() converts negative request
// counts, priorities, engine times and amounts of engine memory to zero;
// pauses, targets and prompt parts are taken as they are.

/// The sender's state in a digest that was received at `p_received`.
[[nodiscard]] peer_state to_peer_state(const entry_wire::digest& p_digest,
                                       time_point p_received);
[[nodiscard]] dispatch::server_load
from_wire(const entry_wire::running& p_message);
[[nodiscard]] dispatch::sent_report
from_wire(const entry_wire::sent_request& p_sent);
[[nodiscard]] dispatch::queue_summary
from_wire(const entry_wire::waiting_work& p_message);
[[nodiscard]] entry_wire::waiting_work
to_wire(const dispatch::queue_summary& p_summary);
[[nodiscard]] entry_wire::cached_parts
to_wire(const dispatch::cache_report& p_report);
[[nodiscard]] dispatch::cache_report
from_wire(const entry_wire::cached_parts& p_message);
[[nodiscard]] entry_wire::running to_wire(const dispatch::server_load& p_load);
[[nodiscard]] entry_wire::sent_request
to_wire(const dispatch::sent_report& p_report);

/// Adds a node's counts and demand to a message.
void add_to_wire(const duty_report& p_report, entry_wire::digest& r_digest);
/// The counts and demand in a message; nothing if it holds none.
[[nodiscard]] std::optional<duty_report>
to_duty_report(const entry_wire::digest& p_digest);

[[nodiscard]] entry_wire::brittle_server
to_wire(const dispatch::brittle_report& p_report, time_point p_now);
[[nodiscard]] dispatch::brittle_report
from_wire(const entry_wire::brittle_server& p_message, time_point p_now);
[[nodiscard]] entry_wire::server_limit
to_wire(const dispatch::limit_report& p_report, time_point p_now);
[[nodiscard]] dispatch::limit_report
from_wire(const entry_wire::server_limit& p_message, time_point p_now);
[[nodiscard]] entry_wire::server_pace
to_wire(const dispatch::pace_report& p_report);
[[nodiscard]] dispatch::pace_report
from_wire(const entry_wire::server_pace& p_message);

/// Amounts are rounded down to thousandths.
[[nodiscard]] entry_wire::resend_loan
to_wire(const dispatch::resend_loan& p_loan);
/// `p_peer`: the sender's peer address.
[[nodiscard]] dispatch::resend_loan
from_wire(const entry_wire::resend_loan& p_message, const std::string& p_peer);
/// Sets nothing if the node lends nothing.
void add_to_wire(const std::map<routing::service_name, double>& p_lendable,
                 entry_wire::digest& r_digest);
[[nodiscard]] std::map<routing::service_name, double>
lendable_resends(const entry_wire::digest& p_digest);

} // namespace peridotspar
