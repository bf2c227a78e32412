#pragma once

#include "http/message.hpp"

#include <memory>
#include <string>

/// Callers' connections and the requests on them.
namespace peridotspar::ingress
{

/// Takes the answer to one request. An answer is either sent whole, or begun,
/// continued and ended; `abort` ends it so that it can't look complete.
class reply
{
public:
    virtual ~reply() = default;
    virtual void send(const http::answer& p_answer) = 0;
    /// Begins an answer; with `p_length` bytes of body, or in chunks.
    virtual void begin(int p_status, const std::string& p_reason,
                       http::header_list p_headers,
                       std::optional<std::uint64_t> p_length) = 0;
    virtual void add(std::string p_bytes) = 0;
    virtual void end() = 0;
    virtual void abort() = 0;
    /// Bytes that the caller hasn't taken yet.
    [[nodiscard]] virtual std::size_t unsent() const = 0;
};

/// A request in progress.
class job
{
public:
    virtual ~job() = default;
    /// The caller closed its connection.
    virtual void on_caller_gone() = 0;
};

/// Starts requests. Null if the answer was sent at once.
class request_handler
{
public:
    virtual ~request_handler() = default;
    virtual std::shared_ptr<job> start(http::request p_request,
                                       std::shared_ptr<reply> p_reply) = 0;
    /// The answer to bytes that are no proper request.
    [[nodiscard]] virtual http::answer
    refuse_malformed(int p_status, const std::string& p_message) = 0;
    [[nodiscard]] virtual bool is_leaving() const = 0;
};

} // namespace peridotspar::ingress
