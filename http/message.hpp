#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// HTTP/1.1 messages without I/O.
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
    std::string target_; ///< As received, with its query.
    header_list headers_;
    bool keep_alive_ = true;
    bool expects_continue_ = false;
};

struct request
{
    request_head head_;
    std::string body_; ///< Decoded, when it came in chunks.
};

struct response_head
{
    int status_ = 0;
    std::string reason_;
    header_list headers_;
    bool keep_alive_ = true;
    /// The body ends with its connection; it has no length of its own.
    bool close_delimited_ = false;
    std::optional<std::uint64_t> content_length_;
};

/// An answer that is made here, whole.
struct response
{
    int status_ = 200;
    header_list headers_;
    std::string body_;
};

/// Whether two names are the same but for the case of letters.
[[nodiscard]] bool iequals(std::string_view p_left, std::string_view p_right);
/// The first header of that name; null if there is none.
[[nodiscard]] const std::string* find_header(const header_list& p_headers,
                                             std::string_view p_name);
[[nodiscard]] std::size_t count_headers(const header_list& p_headers,
                                        std::string_view p_name);
/// Whether a header concerns one connection only, by its name or because
/// `Connection` names it.
[[nodiscard]] bool is_hop_by_hop(const header_list& p_headers,
                                 std::string_view p_name);

/// The usual words for a status.
[[nodiscard]] std::string_view reason_phrase(int p_status);

/// The head of a message, ready to be sent. `p_start` is its first line.
[[nodiscard]] std::string write_head(std::string_view p_start,
                                     const header_list& p_headers);
/// A whole answer, ready to be sent.
[[nodiscard]] std::string write_response(const response& p_response,
                                         bool p_keep_alive);

} // namespace peridotspar::http
