#pragma once

#include "core/verdict.hpp"
#include "transport/http_server.hpp"

#include <chrono>
#include <cstdint>
#include <string>

#include <tl/expected.hpp>

namespace peridotspar
{

/// A server by its IP number and port.
struct endpoint
{
    std::string address_;
    std::uint16_t port_ = 0;

    friend bool operator==(const endpoint&, const endpoint&) = default;
};

struct http_request
{
    std::string method_ = "GET";
    std::string target_ = "/"; ///< Path and query.
    http_headers headers_;
    std::string body_;
    std::chrono::milliseconds timeout_{2000};
};

struct http_response
{
    int status_ = 0;
    std::string body_;
    http_headers headers_;

    /// One header by its name in any case, empty if it isn't there.
    [[nodiscard]] std::string header(std::string_view p_name) const;
};

/// Why a call has no answer, and whether the server may have acted on it.
struct call_error
{
    verdict verdict_ = verdict::not_run;
    std::string message_;
};

/// Makes one short call on a connection of its own, with CivetWeb's client.
/// May be called from any thread; blocks for `timeout_` at most a read.
[[nodiscard]] tl::expected<http_response, call_error>
call(const endpoint& p_server, const http_request& p_request);

} // namespace peridotspar
