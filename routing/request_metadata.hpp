#pragma once

#include "core/clock.hpp"
#include "routing/route_table.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace peridotspar::routing
{

/// A part of a prompt that requests share; a part counts as read only where
/// all parts before it were read too.
struct prompt_part
{
    std::uint64_t id_ = 0;
    std::uint32_t tokens_ = 0;
};

/// A part that an engine keeps, for requests of one model.
struct cached_part
{
    prompt_part part_;
    std::string model_;
};

/// What a request says of itself.
struct request_metadata
{
    std::string attempt_;               ///< Each send of a caller has its own.
    std::optional<duration> time_left_; ///< How long the caller waits.
    std::string key_; ///< Of a client account; empty if there is none.
    std::string model_;
    std::uint32_t prompt_tokens_ = 0;
    std::uint32_t max_output_tokens_ = 0;
    std::uint32_t output_hint_ = 0; ///< The caller's estimate; 0: none.
    std::vector<prompt_part> parts_;
    std::string resume_after_; ///< The last event that the caller has.
};

/// What this node adds to a request that it sends on.
struct forward_metadata
{
    std::string instance_; ///< Only this server may run it.
    duration time_left_{};
    std::optional<account_name> account_;
    std::optional<unsigned> urgency_; ///< 0 first, 9 last.
    std::optional<std::string> resume_after_;
    /// IP:PORT of an engine that keeps parts of the prompt.
    std::optional<std::string> fetch_from_;
};

/// What a server's answer says beside its status.
struct answer_metadata
{
    std::optional<std::string> attempt_; ///< Which request it answers.
    bool not_run_ = false; ///< The server states that it didn't run it.
    bool sealed_ = false;  ///< Bears the mark of the server that ran it.
    std::string instance_; ///< Of a server that isn't the expected one.
};

} // namespace peridotspar::routing
