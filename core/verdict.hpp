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
    completed,    ///< The backend server's whole answer was received.
};

/// The verdict's name as callers and logs see it.
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

/// A request's failure: what happened to it and when to come back.
struct failure
{
    int status_ = 500;                         ///< HTTP status.
    std::string code_;                         ///< Stable, machine-readable.
    std::string message_;                      ///< For people.
    verdict verdict_ = verdict::not_run;       ///< Whether it may have run.
    std::chrono::milliseconds retry_after_{0}; ///< Zero: don't come back.
};

/// The result of an operation on a request.
template <class Value>
using outcome = tl::expected<Value, failure>;

} // namespace peridotspar
