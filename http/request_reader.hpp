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

struct size_limits
{
    std::size_t header_bytes_ = 16384;
    std::size_t body_bytes_ = 4U << 20U;
};

/// Why bytes are no request that may be served.
struct request_error
{
    int status_ = 400; ///< 400, 413, 431 or 501.
    std::string message_;
};

/// Reads requests from the bytes of one connection, strictly: whatever two
/// readers could understand differently is an error. Not for several threads.
class request_reader
{
public:
    explicit request_reader(size_limits p_limits);
    ~request_reader();
    request_reader(const request_reader&) = delete;
    request_reader& operator=(const request_reader&) = delete;

    /// Adds bytes that were received.
    void feed(std::string_view p_bytes);
    /// The next whole request; nothing while it is incomplete. After an error
    /// the connection must be closed.
    [[nodiscard]] tl::expected<std::optional<request>, request_error> next();
    /// Applies to the requests that begin later.
    void set_limits(size_limits p_limits) { limits_ = p_limits; }

    /// Whether a part of a request is here.
    [[nodiscard]] bool has_partial_request() const;
    /// Whether the head of the request that is being read is whole.
    [[nodiscard]] bool has_head() const { return partial_ != nullptr; }
    /// The head is here, its body isn't, and the caller waits to be told to
    /// send it.
    [[nodiscard]] bool awaits_continue() const;
    /// Bytes that were received and not yet used.
    [[nodiscard]] std::size_t buffered_bytes() const { return buffer_.size(); }

private:
    struct partial;

    [[nodiscard]] tl::expected<bool, request_error> read_head();
    [[nodiscard]] std::optional<request_error> parse_buffer();

    size_limits limits_;
    std::string buffer_;
    std::size_t search_offset_ = 0; ///< Of the buffer, for the end of the head.
    std::unique_ptr<partial> partial_;
};

} // namespace peridotspar::http
