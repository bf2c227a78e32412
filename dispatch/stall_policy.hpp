#pragma once

#include "core/clock.hpp"

namespace peridotspar::dispatch
{

/// What a node knows of a call whose server sends nothing though its answer is
/// due.
struct silent_call
{
    duration silence_{}; ///< Since the answer was due.
    /// Of the first answer, or of the pauses between parts once it has begun.
    duration target_{};
    /// After a pause of this length the caller gives up.
    duration patience_{};
    /// The caller already has a part of the answer.
    bool begun_ = false;
    /// How long the server has answered other calls during the silence.
    duration server_responding_time_{};
    /// Another server of the service has sent something lately.
    bool others_respond_ = false;
};

/// Silence from which a server counts as stalled for new requests: three times
/// the target, and at least half a second.
[[nodiscard]] duration stall_limit(duration p_target);

/// Silence from which the call moves although no server of its service is known
/// to respond, as the caller gives up soon.
[[nodiscard]] duration last_try_limit(duration p_target, duration p_patience);

/// Whether the call should move to another server, if one is secured.
///
/// Leaving a server that only pauses harms the caller: another server has to
/// prefill the prompt again, and the request has used up one of its runs.
/// Staying at a server that hangs harms it, too: the caller gives up after its
/// patience. If the server answers other calls meanwhile, only this one hangs,
/// and it moves at `stall_limit`. So does a call whose caller has nothing yet,
/// as it has nothing to lose. Otherwise the server gets the time that sound
/// servers pause for; and if no server of the service responds, none is better,
/// so that the call stays until `last_try_limit`.
[[nodiscard]] bool should_leave(const silent_call& p_call);

} // namespace peridotspar::dispatch
