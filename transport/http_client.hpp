#pragma once

#include "core/verdict.hpp"
#include "transport/http_server.hpp"

#include <chrono>
#include <cstdint>
#include <string>

#include <tl/expected.hpp>

namespace peridotspar
{

/// The IP address and the port of a server.
struct endpoint
{
    std::string address_;
    std::uint16_t port_ = 0;

    friend bool operator==(const endpoint&, const endpoint&) = default;
};

/// An HTTP request and the time limit for its response.
struct http_request
{
    std::string method_ = "GET";
    std::string target_ = "/"; ///< Path and query.
    http_headers headers_;
    std::string body_;
    /// For each wait for data from the server.
    std::chrono::milliseconds timeout_{2000};
};

struct http_response
{
    int status_ = 0;
    std::string body_;
    http_headers headers_;

    /// The value of the first header with this name, compared without regard
    /// to case; empty if there is none.
    [[nodiscard]] std::string header(std::string_view p_name) const;
};

/// Why a call got no response, and whether the server may have acted on the
/// request.
struct call_error
{
    verdict verdict_ = verdict::not_run;
    std::string message_;
};

/// Sends a request on a new connection and waits for the whole response, with
/// CivetWeb's client. Blocks for up to the timeout on each read, so for small
/// responses only. May be called from any thread.
[[nodiscard]] tl::expected<http_response, call_error>
call(const endpoint& p_server, const http_request& p_request);

} // namespace peridotspar
