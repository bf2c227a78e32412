#pragma once

#include "core/settings.hpp"
#include "daemon/caller_request.hpp"
#include "transport/http_server.hpp"

#include <optional>

namespace peridotspar
{

/// Reads and checks what callers ask for. Its members may be called by any
/// worker thread.
class caller_request_parser
{
public:
    explicit caller_request_parser(const settings& p_settings)
        : settings_(p_settings)
    {
    }

    /// Reads a chat or a plain completion.
    [[nodiscard]] outcome<caller_request>
    parse_completion(http_exchange& r_exchange,
                     const request_context& p_context, bool p_chat) const;
    /// Reads a call of a plain service.
    [[nodiscard]] outcome<caller_request>
    parse_service_call(http_exchange& r_exchange,
                       const request_context& p_context) const;

private:
    [[nodiscard]] std::optional<failure>
    parse_common_headers(http_exchange& r_exchange,
                         const request_context& p_context,
                         caller_request& r_request) const;
    [[nodiscard]] std::optional<failure>
    parse_idempotency_key(http_exchange& r_exchange,
                          const request_context& p_context, bool p_required,
                          caller_request& r_request) const;

    const settings& settings_;
};

} // namespace peridotspar
