#pragma once

#include "core/clock.hpp"
#include "routing/route_table.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace peridotspar::routing
{

/// A part of a prompt that several requests may share. A cached part is usable
/// only if all parts before it are cached too.
struct prompt_part
{
    std::uint64_t id_ = 0;
    std::uint32_t tokens_ = 0;
};

/// A part that an engine has cached for requests to one model.
struct cached_part
{
    prompt_part part_;
    std::string model_;
};

/// What a request's headers say about it.
struct request_metadata
{
    /// Id of this attempt; a caller uses a new one for each send.
    std::string attempt_;
    std::optional<duration> time_left_; ///< How long the caller waits.
    std::string key_; ///< API key of a client account; empty if none.
    std::string model_;
    std::uint32_t prompt_tokens_ = 0;
    std::uint32_t max_output_tokens_ = 0;
    /// The caller's estimate of the output tokens; 0 if it gave none.
    std::uint32_t output_hint_ = 0;
    std::vector<prompt_part> parts_;
    /// Id of the last event that the caller received; empty if it begins anew.
    std::string resume_after_;
    /// The attempt that brought the first event of the stream to go on with.
    std::string resumed_attempt_;
};

/// What this node adds to a request that it forwards.
struct forward_metadata
{
    std::string instance_; ///< The only server that may run it.
    duration time_left_{};
    std::optional<account_name> account_;
    std::optional<unsigned> urgency_; ///< 0 is the most urgent, 9 the least.
    std::optional<std::string> resume_after_;
    /// IP:PORT of an engine that has parts of the prompt cached.
    std::optional<std::string> fetch_from_;
};

/// What the headers of a server's response say.
struct response_metadata
{
    std::optional<std::string> attempt_; ///< The attempt that it answers.
    /// The server states that it didn't run the request.
    bool not_run_ = false;
    /// The response has the seal of the server that ran it.
    bool sealed_ = false;
    std::string instance_; ///< Set by a server that isn't the expected one.
    /// The server leaves, and takes no new requests soon.
    bool leaving_ = false;
    /// A server that turned the request away wants nothing from this node for
    /// so long.
    std::optional<duration> pause_;
    /// Requests a second that the server takes from all nodes together.
    std::optional<double> limit_per_s_;
    /// The server falls over if it has to turn away more requests a second than
    /// this.
    std::optional<double> max_rejected_per_s_;
};

} // namespace peridotspar::routing
