#pragma once

#include "core/clock.hpp"
#include "routing/request_metadata.hpp"
#include "routing/route_table.hpp"
#include "routing/server_list.hpp"

#include <cstdint>
#include <string>
#include <vector>

/// Decides which server runs which request and when. Does no I/O and reads no
/// clock: callers pass the current time.
namespace peridotspar::dispatch
{

/// The properties of a request that scheduling decisions depend on.
struct request_profile
{
    routing::service_name service_;
    /// The only software version of servers that may run it; empty for any.
    std::string server_version_;
    unsigned priority_ = 0; ///< 0 is the highest.
    unsigned urgency_ = 0;  ///< As sent to engines; 0 is the highest.
    bool stream_ = false;
    duration answer_target_{}; ///< Time to the first part of the answer.
    /// Longest pause between two events of a stream.
    duration pause_target_{};
    time_point arrived_{};
    time_point deadline_{};         ///< When the whole answer is due.
    time_point give_up_at_{};       ///< When a first answer is too late.
    std::size_t message_bytes_ = 0; ///< Size of the request's body.
    std::uint32_t prompt_tokens_ = 0;
    std::uint32_t output_tokens_ = 0; ///< Expected length of the answer.
    /// The prompt's parts in order, with cache keys as their ids.
    std::vector<routing::prompt_part> parts_;
};

/// Key that identifies a cached part: a hash of the part's id and the model,
/// because a cached part is of use to the same model only.
[[nodiscard]] std::uint64_t cache_key(std::uint64_t p_id,
                                      std::string_view p_model);
/// Returns the parts with their ids replaced by cache keys.
[[nodiscard]] std::vector<routing::prompt_part>
with_cache_keys(const std::vector<routing::prompt_part>& p_parts,
                std::string_view p_model);

} // namespace peridotspar::dispatch
