#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

namespace peridotspar
{

/// Whether a request may have run at a backend server.
enum class verdict : std::uint8_t
{
    not_run,      ///< No byte of the request reached a backend server.
    may_have_run, ///< Some of the request was sent; its effect is unknown.
    completed,    ///< The whole response of the backend server was received.
};

/// Returns the name of a verdict as used in responses and logs.
[[nodiscard]] constexpr std::string_view to_string(verdict p_verdict) noexcept
{
    switch (p_verdict)
    {
    case verdict::not_run:
        return "not_run";
    case verdict::may_have_run:
        return "may_have_run";
    case verdict::completed:
        return "completed";
    }
    return "may_have_run";
}

/// The failure of a request, with whether and when to retry it.
struct failure
{
    int status_ = 500; ///< HTTP status.
    /// Stable, machine-readable error code.
    std::string code_;
    /// Human-readable description.
    std::string message_;
    /// Whether the request may have run.
    verdict verdict_ = verdict::not_run;
    /// Zero if the request should not be retried.
    std::chrono::milliseconds retry_after_{0};
};

/// The result of an operation on a request.
template <class Value>
using outcome = tl::expected<Value, failure>;

} // namespace peridotspar
