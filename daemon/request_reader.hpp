#pragma once

#include "core/settings.hpp"
#include "daemon/caller_work.hpp"
#include "transport/http_server.hpp"

#include <optional>

namespace peridotspar
{

/// Reads and checks what callers ask for. Its members may be called by any
/// worker thread.
class request_reader
{
public:
    explicit request_reader(const settings& p_settings) : settings_(p_settings)
    {
    }

    /// Reads a chat or a plain completion.
    [[nodiscard]] outcome<caller_work>
    read_completion(http_exchange& r_exchange, const caller_identity& p_caller,
                    bool p_chat) const;
    /// Reads a call of a plain service.
    [[nodiscard]] outcome<caller_work>
    read_service(http_exchange& r_exchange,
                 const caller_identity& p_caller) const;

private:
    [[nodiscard]] std::optional<failure>
    read_common(http_exchange& r_exchange, const caller_identity& p_caller,
                caller_work& r_work) const;
    [[nodiscard]] std::optional<failure>
    read_key(http_exchange& r_exchange, const caller_identity& p_caller,
             bool p_required, caller_work& r_work) const;

    const settings& settings_;
};

} // namespace peridotspar
