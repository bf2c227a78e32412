#pragma once

#include "core/verdict.hpp"
#include "policy/events.hpp"
#include "transport/http_server.hpp"

#include <string>

namespace peridotspar
{

/// Converts a refusal of the decider to the failure that the caller is sent.
[[nodiscard]] failure to_failure(const policy::refuse& p_refuse);

/// Returns the body of an error response in the OpenAI error format.
[[nodiscard]] std::string error_body(const failure& p_failure,
                                     const std::string& p_request_id);

/// Sends an error response with the headers X-Request-Id, X-Verdict and, if the
/// caller may retry, Retry-After.
void send_error_response(http_exchange& r_exchange, const failure& p_failure,
                         const std::string& p_request_id);

} // namespace peridotspar
