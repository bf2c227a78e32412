#pragma once

#include "core/verdict.hpp"
#include "policy/events.hpp"
#include "transport/http_server.hpp"

#include <string>

namespace peridotspar
{

/// The failure that a refusal means to its caller.
[[nodiscard]] failure to_failure(const policy::refuse& p_refuse);

/// A failure's body in the OpenAI error form.
[[nodiscard]] std::string error_body(const failure& p_failure,
                                     const std::string& p_request_id);

/// Sends a failure with its verdict and when to come back.
void send_error_response(http_exchange& r_exchange, const failure& p_failure,
                         const std::string& p_request_id);

} // namespace peridotspar
