#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// HTTP/1.1 messages: types, parsing and formatting, without I/O.
namespace peridotspar::http
{

struct header
{
    std::string name_;
    std::string value_;
};
using header_list = std::vector<header>;

struct request_head
{
    std::string method_;
    std::string target_; ///< As received, including the query.
    header_list headers_;
    bool keep_alive_ = true;
    bool expects_continue_ = false;
};

struct request
{
    request_head head_;
    std::string body_; ///< Without chunked framing.
};

struct response_head
{
    int status_ = 0;
    std::string reason_;
    header_list headers_;
    bool keep_alive_ = true;
    /// The body has no framing and ends when the connection is closed.
    bool close_delimited_ = false;
    std::optional<std::uint64_t> content_length_;
};

/// How a response says where its body ends.
enum class framing : std::uint8_t
{
    length, ///< `Content-Length`, or a status without a body.
    chunked,
    close, ///< Neither: the body ends with the connection.
};
[[nodiscard]] framing framing_of(const response_head& p_head);
[[nodiscard]] std::string_view to_string(framing p_framing);

/// A complete response that this process creates.
struct response
{
    int status_ = 200;
    header_list headers_;
    std::string body_;
};

/// Compares two strings, ignoring the case of ASCII letters.
[[nodiscard]] bool iequals(std::string_view p_left, std::string_view p_right);
/// The value of the first header with this name; null if there is none.
[[nodiscard]] const std::string* find_header(const header_list& p_headers,
                                             std::string_view p_name);
[[nodiscard]] std::size_t count_headers(const header_list& p_headers,
                                        std::string_view p_name);
/// Whether a `Content-Type` is that of server-sent events.
[[nodiscard]] bool is_event_stream_type(std::string_view p_content_type);
/// Whether a header must not be forwarded, either by its name (hop-by-hop and
/// framing headers) or because a `Connection` header lists it.
[[nodiscard]] bool is_hop_by_hop(const header_list& p_headers,
                                 std::string_view p_name);

/// Whether a response may have this status: one from 100 to 599, but not 101
/// (Switching Protocols), as no request asks for another protocol.
[[nodiscard]] bool is_response_status(int p_status);
/// The standard reason phrase for a status code.
[[nodiscard]] std::string_view reason_phrase(int p_status);

/// Formats the head of a message. `p_start` is the start line without CRLF. In
/// values, CR, LF and NUL become spaces.
[[nodiscard]] std::string write_head(std::string_view p_start,
                                     const header_list& p_headers);
/// Formats a complete response and adds `Content-Length`, and `Connection:
/// close` without `p_keep_alive`.
[[nodiscard]] std::string write_response(const response& p_response,
                                         bool p_keep_alive);

} // namespace peridotspar::http
