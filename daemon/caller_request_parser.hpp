#pragma once

#include "core/settings.hpp"
#include "daemon/caller_request.hpp"
#include "transport/http_server.hpp"

#include <optional>

namespace peridotspar
{

/// Reads and validates the requests of callers. Any worker thread may call its
/// members.
class caller_request_parser
{
public:
    explicit caller_request_parser(const settings& p_settings)
        : settings_(p_settings)
    {
    }

    /// Parses an OpenAI chat completion (`p_chat`) or text completion request.
    /// Returns the failure to send to the caller if it isn't valid.
    [[nodiscard]] outcome<caller_request>
    parse_completion(http_exchange& r_exchange,
                     const request_context& p_context, bool p_chat) const;
    /// Parses a call to a plain service, `/v1/services/<name>/...`. Returns the
    /// failure to send to the caller if it isn't valid.
    [[nodiscard]] outcome<caller_request>
    parse_service_call(http_exchange& r_exchange,
                       const request_context& p_context) const;

private:
    /// Parses the class and the deadline of a request.
    [[nodiscard]] std::optional<failure>
    parse_common_headers(http_exchange& r_exchange,
                         const request_context& p_context,
                         caller_request& r_request) const;
    /// Parses and validates the idempotency key. A missing key is a failure if
    /// `p_required`.
    [[nodiscard]] std::optional<failure>
    parse_idempotency_key(http_exchange& r_exchange,
                          const request_context& p_context, bool p_required,
                          caller_request& r_request) const;

    const settings& settings_;
};

} // namespace peridotspar
