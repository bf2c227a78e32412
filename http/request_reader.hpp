#pragma once

#include "http/message.hpp"

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

namespace peridotspar::http
{

/// Size limits for one request; larger ones are errors (431 and 413).
struct size_limits
{
    std::size_t header_bytes_ = 16384;
    std::size_t body_bytes_ = 4U << 20U;
};

/// Why a request is refused.
struct request_error
{
    int status_ = 400; ///< HTTP status: 400, 413, 431 or 501.
    std::string message_;
};

/// Parses the requests of one connection. Strict, to prevent request
/// smuggling: anything that two parsers could interpret differently is an
/// error. Not thread-safe.
class request_reader
{
public:
    explicit request_reader(size_limits p_limits);
    ~request_reader();
    request_reader(const request_reader&) = delete;
    request_reader& operator=(const request_reader&) = delete;

    /// Appends received bytes to the buffer.
    void feed(std::string_view p_bytes);
    /// Returns the next request, or nothing while it is incomplete. After an
    /// error the connection must be closed.
    [[nodiscard]] tl::expected<std::optional<request>, request_error> next();
    /// Sets the limits for the requests that haven't begun to arrive yet.
    void set_limits(size_limits p_limits) { next_limits_ = p_limits; }

    /// Whether a part of a request was received.
    [[nodiscard]] bool has_partial_request() const;
    /// Whether the head of the current request was parsed.
    [[nodiscard]] bool has_head() const { return partial_ != nullptr; }
    /// Whether the caller waits for a 100 (Continue) response before it sends
    /// the body.
    [[nodiscard]] bool awaits_continue() const;
    /// Number of received bytes that weren't parsed yet.
    [[nodiscard]] std::size_t buffered_bytes() const { return buffer_.size(); }

private:
    struct partial;

    /// Parses the head and what follows it; false while the head is incomplete.
    [[nodiscard]] tl::expected<bool, request_error> read_head();
    [[nodiscard]] std::optional<request_error> parse_buffer();
    /// Limits the bytes that wait for the end of a line.
    [[nodiscard]] std::optional<request_error> check_unparsed() const;

    size_limits next_limits_; ///< For the requests that come next.
    size_limits limits_;      ///< For the current request.
    std::string buffer_;
    /// Where in the buffer the search for the end of the head continues.
    std::size_t search_offset_ = 0;
    std::unique_ptr<partial> partial_;
};

} // namespace peridotspar::http
