#pragma once

#include "dispatch/server_table.hpp"
#include "dispatch/wait_queue.hpp"
#include "membership/peer_table.hpp"
#include "transport/gen/entry_peer_types.h"

namespace peridotspar
{

// What nodes tell each other, to and from the messages that carry it.

/// What a peer says of itself, as heard at a moment.
[[nodiscard]] peer_state state_of(const entry_wire::digest& p_digest,
                                  time_point p_heard);
/// Numbers below zero count as zero.
[[nodiscard]] dispatch::server_load count_of(const entry_wire::running& p_told);
[[nodiscard]] dispatch::sent_report
note_of(const entry_wire::sent_request& p_sent);
[[nodiscard]] dispatch::queue_summary
sum_of(const entry_wire::waiting_work& p_told);
[[nodiscard]] entry_wire::waiting_work
words_of(const dispatch::queue_summary& p_sum);
[[nodiscard]] entry_wire::running
words_of(const dispatch::server_load& p_count);
[[nodiscard]] entry_wire::sent_request
words_of(const dispatch::sent_report& p_note);

} // namespace peridotspar
