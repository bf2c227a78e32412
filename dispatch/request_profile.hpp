#pragma once

#include "core/clock.hpp"
#include "routing/request_metadata.hpp"
#include "routing/route_table.hpp"
#include "routing/server_list.hpp"

#include <cstdint>
#include <string>
#include <vector>

/// Decides which server runs which request and when, without I/O or clock.
namespace peridotspar::dispatch
{

/// A request as the decisions see it.
struct request_profile
{
    routing::service_name service_;
    unsigned priority_ = 0; ///< 0 is the highest.
    unsigned urgency_ = 0;  ///< As engines are told; 0 is the highest.
    bool stream_ = false;
    duration answer_target_{}; ///< To the first part of the answer.
    duration pause_target_{};
    time_point arrived_{};
    time_point deadline_{};   ///< The whole answer is due.
    time_point give_up_at_{}; ///< No first answer is of use later.
    std::uint32_t prompt_tokens_ = 0;
    std::uint32_t output_tokens_ = 0; ///< As expected.
    /// The prompt's parts by key, in order.
    std::vector<routing::prompt_part> parts_;
};

/// The key under which engines' parts are compared: of the part's id and the
/// model that read it.
[[nodiscard]] std::uint64_t cache_key(std::uint64_t p_id,
                                      std::string_view p_model);
/// The parts with their keys in place of their ids.
[[nodiscard]] std::vector<routing::prompt_part>
with_cache_keys(const std::vector<routing::prompt_part>& p_parts,
                std::string_view p_model);

} // namespace peridotspar::dispatch
