#include "http/message.hpp"

#include <algorithm>
#include <array>
#include <ostream>

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <boost/beast/http/status.hpp>

namespace peridotspar::http
{

namespace
{

/// Includes the framing headers, which are set anew for each connection.
constexpr std::array<std::string_view, 9> hop_by_hop_headers{
    "connection", "keep-alive",        "proxy-connection",
    "te",         "trailer",           "upgrade",
    "expect",     "transfer-encoding", "content-length"};

/// Appends a header's value. Characters that would end its line are replaced,
/// as RFC 9110, section 5.5, allows: a value may come from outside.
void append_value(std::string& r_text, std::string_view p_value)
{
    constexpr std::string_view line_ends("\r\n\0", 3);
    if (p_value.find_first_of(line_ends) == std::string_view::npos)
    {
        r_text += p_value;
        return;
    }
    for (const char c : p_value)
    {
        r_text += line_ends.find(c) == std::string_view::npos ? c : ' ';
    }
}

} // namespace

bool iequals(std::string_view p_left, std::string_view p_right)
{
    return boost::beast::iequals({p_left.data(), p_left.size()},
                                 {p_right.data(), p_right.size()});
}

const std::string* find_header(const header_list& p_headers,
                               std::string_view p_name)
{
    for (const auto& [name, value] : p_headers)
    {
        if (iequals(name, p_name))
        {
            return &value;
        }
    }
    return nullptr;
}

std::size_t count_headers(const header_list& p_headers, std::string_view p_name)
{
    return static_cast<std::size_t>(
        std::count_if(p_headers.begin(), p_headers.end(),
                      [&](const header& p_header)
                      { return iequals(p_header.name_, p_name); }));
}

bool is_hop_by_hop(const header_list& p_headers, std::string_view p_name)
{
    const auto matches = [&](std::string_view p_other)
    { return iequals(p_other, p_name); };
    if (std::any_of(hop_by_hop_headers.begin(), hop_by_hop_headers.end(),
                    matches))
    {
        return true;
    }
    for (const auto& [name, value] : p_headers)
    {
        if (iequals(name, "Connection") &&
            boost::beast::http::token_list(value).exists(
                {p_name.data(), p_name.size()}))
        {
            return true;
        }
    }
    return false;
}

bool is_response_status(int p_status)
{
    constexpr int first = 100;
    constexpr int last = 599;
    constexpr int switching_protocols = 101;
    return p_status >= first && p_status <= last &&
           p_status != switching_protocols;
}

std::string_view reason_phrase(int p_status)
{
    const auto reason = boost::beast::http::obsolete_reason(
        boost::beast::http::int_to_status(static_cast<unsigned>(p_status)));
    return {reason.data(), reason.size()};
}

std::string write_head(std::string_view p_start, const header_list& p_headers)
{
    std::string text;
    constexpr std::size_t typical_head_bytes = 512;
    text.reserve(typical_head_bytes);
    text += p_start;
    text += "\r\n";
    for (const auto& [name, value] : p_headers)
    {
        text += name;
        text += ": ";
        append_value(text, value);
        text += "\r\n";
    }
    text += "\r\n";
    return text;
}

std::string write_response(const response& p_response, bool p_keep_alive)
{
    header_list headers = p_response.headers_;
    headers.push_back(
        {"Content-Length", std::to_string(p_response.body_.size())});
    if (!p_keep_alive)
    {
        headers.push_back({"Connection", "close"});
    }
    std::string start = "HTTP/1.1 " + std::to_string(p_response.status_) + " ";
    start += reason_phrase(p_response.status_);
    return write_head(start, headers) + p_response.body_;
}

bool is_event_stream_type(std::string_view p_content_type)
{
    constexpr std::string_view event_stream = "text/event-stream";
    std::string_view type = p_content_type.substr(0, p_content_type.find(';'));
    type = type.substr(0, type.find_last_not_of(" \t") + 1);
    return iequals(type, event_stream);
}

framing framing_of(const response_head& p_head)
{
    if (p_head.close_delimited_)
    {
        return framing::close;
    }
    const bool is_chunked =
        find_header(p_head.headers_, "Transfer-Encoding") != nullptr;
    return is_chunked ? framing::chunked : framing::length;
}

std::string_view to_string(framing p_framing)
{
    switch (p_framing)
    {
    case framing::length:
        return "length";
    case framing::chunked:
        return "chunked";
    case framing::close:
        return "close";
    }
    return "unknown";
}

} // namespace peridotspar::http
