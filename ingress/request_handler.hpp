#pragma once

#include "http/message.hpp"

#include <memory>
#include <string>

/// Callers' connections and the requests on them.
namespace peridotspar::ingress
{

/// Takes the answer to one request. An answer is either sent whole, or begun,
/// continued and ended; `abort` ends it so that it can't look complete.
class response_writer
{
public:
    virtual ~response_writer() = default;
    virtual void send(const http::response& p_response) = 0;
    /// Begins an answer; with `p_length` bytes of body, or in chunks.
    virtual void begin(int p_status, const std::string& p_reason,
                       http::header_list p_headers,
                       std::optional<std::uint64_t> p_content_length) = 0;
    virtual void write_body(std::string p_bytes) = 0;
    virtual void end() = 0;
    virtual void abort() = 0;
    /// Bytes that the caller hasn't taken yet.
    [[nodiscard]] virtual std::size_t unsent_bytes() const = 0;
};

/// A request in progress.
class active_request
{
public:
    virtual ~active_request() = default;
    /// The caller closed its connection.
    virtual void on_caller_disconnected() = 0;
};

/// Starts requests. Null if the answer was sent at once.
class request_handler
{
public:
    virtual ~request_handler() = default;
    virtual std::shared_ptr<active_request>
    start(http::request p_request,
          std::shared_ptr<response_writer> p_writer) = 0;
    /// The answer to bytes that are no proper request.
    [[nodiscard]] virtual http::response
    refuse_malformed(int p_status, const std::string& p_message) = 0;
    [[nodiscard]] virtual bool is_leaving() const = 0;
};

} // namespace peridotspar::ingress
