#pragma once

#include "http/message.hpp"

#include <memory>
#include <string>

/// Accepts callers' connections and serves the requests on them.
namespace peridotspar::ingress
{

/// Writes the response to one request: either `send` alone, or `begin`, any
/// number of `write_body` and then `end` or `abort`. Calls after the connection
/// was closed have no effect.
class response_writer
{
public:
    virtual ~response_writer() = default;
    virtual void send(const http::response& p_response) = 0;
    /// Writes the head. The body has `p_content_length` bytes, or is chunked if
    /// there is none.
    virtual void begin(int p_status, const std::string& p_reason,
                       http::header_list p_headers,
                       std::optional<std::uint64_t> p_content_length) = 0;
    virtual void write_body(std::string p_bytes) = 0;
    virtual void end() = 0;
    /// Closes the connection, so that the caller sees the response as
    /// incomplete.
    virtual void abort() = 0;
    /// Whether the caller has closed its connection, also if this wasn't read
    /// yet. Unread bytes of a further request hide the close.
    [[nodiscard]] virtual bool is_caller_gone() = 0;
    /// The IP address of the other end; empty if it isn't known.
    [[nodiscard]] virtual std::string remote_ip() const = 0;
    /// Bytes that are queued and not yet written to the socket.
    [[nodiscard]] virtual std::size_t unsent_bytes() const = 0;
};

/// A request in progress.
class active_request
{
public:
    virtual ~active_request() = default;
    /// The caller closed the connection, or it failed. No response can be sent.
    virtual void on_caller_disconnected() = 0;
};

/// Serves the requests that connections receive.
class request_handler
{
public:
    virtual ~request_handler() = default;
    /// Starts a request. Null if the response was sent before the return.
    virtual std::shared_ptr<active_request>
    start(http::request p_request,
          std::shared_ptr<response_writer> p_writer) = 0;
    /// The response to a request that can't be parsed or exceeds a limit.
    [[nodiscard]] virtual http::response
    refuse_malformed(int p_status, const std::string& p_message) = 0;
    /// Whether this node shuts down; responses then close their connection.
    [[nodiscard]] virtual bool is_leaving() const = 0;
};

} // namespace peridotspar::ingress
