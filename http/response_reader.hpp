#pragma once

#include "http/message.hpp"

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace peridotspar::http
{

/// Parses the responses on one connection to a server. Not thread-safe.
class response_reader
{
public:
    response_reader();
    ~response_reader();
    response_reader(const response_reader&) = delete;
    response_reader& operator=(const response_reader&) = delete;

    /// Expects a new response. A response to a HEAD request has no body.
    void begin(bool p_is_head_request);

    /// Parses received bytes; false if they aren't a valid response, or before
    /// the first `begin`. A status outside 100 to 599 isn't valid, nor is 101,
    /// as no request asks for another protocol. A head, a line with a chunk's
    /// size, trailers and interim responses are limited in size, so little is
    /// kept but the body.
    [[nodiscard]] bool feed(std::string_view p_bytes);
    /// The server closed the connection; false if the response is incomplete.
    [[nodiscard]] bool feed_eof();

    /// The head, once it was parsed. Interim responses (1xx) are skipped.
    [[nodiscard]] const std::optional<response_head>& head() const
    {
        return head_;
    }
    /// Returns the body bytes parsed since the last call.
    [[nodiscard]] std::string take_body();
    /// Whether the response was received completely.
    [[nodiscard]] bool is_complete() const;
    /// Whether bytes were received after the end of the response.
    [[nodiscard]] bool has_excess() const { return !buffer_.empty(); }
    /// Expects another response, beginning with the excess bytes; false if
    /// these aren't a valid response.
    [[nodiscard]] bool begin_next();

private:
    struct parser_state;

    void start_parser();
    [[nodiscard]] bool parse();
    void store_head();

    std::unique_ptr<parser_state> state_;
    std::optional<response_head> head_;
    std::string buffer_;
    unsigned interim_responses_ = 0; ///< Before the current response.
    bool is_head_request_ = false;
};

} // namespace peridotspar::http
