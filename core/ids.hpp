#pragma once

#include "core/strong_type.hpp"

#include <cstdint>
#include <string>

namespace peridotspar
{

/// Name of a node: one daemon on one entry VM.
using node_id = strong_type<struct node_id_tag, std::string>;
/// Name of a failure domain.
using failure_domain_id =
    strong_type<struct failure_domain_id_tag, std::string>;
/// Number of a request, assigned by the node that accepted it.
using request_id = strong_type<struct request_id_tag, std::uint64_t>;
/// Number of one attempt to run a request. It identifies a late response of an
/// abandoned attempt.
using attempt_id = strong_type<struct attempt_id_tag, std::uint64_t>;
/// Index of a client account in the catalogue in force.
using account_index = strong_type<struct account_index_tag, std::uint32_t>;
/// Index of a request class in the catalogue in force.
using class_index = strong_type<struct class_index_tag, std::uint32_t>;
/// Index of a pool (the backend servers of one model or one service).
using pool_index = strong_type<struct pool_index_tag, std::uint32_t>;
/// Index of a backend server in the catalogue in force.
using backend_index = strong_type<struct backend_index_tag, std::uint32_t>;
/// Identifies the content of a request; equal for every resend.
using fingerprint = strong_type<struct fingerprint_tag, std::uint64_t>;
/// Revision of the configuration document; a higher one is newer.
using config_revision = strong_type<struct config_revision_tag, std::uint64_t>;
/// Service tier; 0 is the highest.
using tier = strong_type<struct tier_tag, std::uint8_t>;

} // namespace peridotspar
