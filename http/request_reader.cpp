#include "http/request_reader.hpp"

#include "http/message_parser.hpp"

#include <algorithm>

#include <ostream>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>

namespace peridotspar::http
{

namespace
{

constexpr std::string_view head_end = "\r\n\r\n";

/// Finds what Beast's parser accepts but another parser could interpret
/// differently.
std::optional<request_error> find_ambiguity(std::string_view p_head)
{
    for (std::size_t at = p_head.find('\n'); at != std::string_view::npos;
         at = p_head.find('\n', at + 1))
    {
        if (at == 0 || p_head[at - 1] != '\r')
        {
            return request_error{400, "a line ends without carriage return"};
        }
        const bool folded = at + 1 < p_head.size() &&
                            (p_head[at + 1] == ' ' || p_head[at + 1] == '\t');
        if (folded)
        {
            return request_error{400, "a header is folded"};
        }
    }
    if (p_head.find('\0') != std::string_view::npos)
    {
        return request_error{400, "the head holds a null byte"};
    }
    return std::nullopt;
}

std::optional<request_error> check_headers(const header_list& p_headers)
{
    if (count_headers(p_headers, "Host") != 1)
    {
        return request_error{400, "there must be one Host header"};
    }
    const std::size_t lengths = count_headers(p_headers, "Content-Length");
    const std::size_t encodings = count_headers(p_headers, "Transfer-Encoding");
    if (lengths + encodings > 1)
    {
        return request_error{400, "the body's length is given twice"};
    }
    const std::string* encoding = find_header(p_headers, "Transfer-Encoding");
    if (encoding != nullptr && !iequals(*encoding, "chunked"))
    {
        return request_error{501, "only the chunked transfer coding is known"};
    }
    const std::string* length = find_header(p_headers, "Content-Length");
    if (length != nullptr &&
        (length->empty() ||
         length->find_first_not_of("0123456789") != std::string::npos))
    {
        return request_error{400, "Content-Length is no number"};
    }
    return std::nullopt;
}

} // namespace

struct request_reader::partial
{
    message_parser<true> parser_;
    request request_;
};

request_reader::request_reader(size_limits p_limits)
    : next_limits_(p_limits), limits_(p_limits)
{
}
request_reader::~request_reader() = default;

void request_reader::feed(std::string_view p_bytes)
{
    if (!has_partial_request())
    {
        limits_ = next_limits_;
    }
    buffer_.append(p_bytes);
}

bool request_reader::has_partial_request() const
{
    return partial_ != nullptr || !buffer_.empty();
}

bool request_reader::awaits_continue() const
{
    return partial_ != nullptr && partial_->request_.head_.expects_continue_ &&
           partial_->request_.body_.empty() && buffer_.empty();
}

std::optional<request_error> request_reader::parse_buffer()
{
    namespace beast_http = boost::beast::http;
    auto& parser = partial_->parser_;
    while (!parser.is_done() && !buffer_.empty() &&
           parser.accepts(buffer_.size()))
    {
        boost::beast::error_code error;
        const std::size_t consumed = parser.put(
            boost::asio::const_buffer(buffer_.data(), buffer_.size()), error);
        buffer_.erase(0, consumed);
        if (error == beast_http::error::need_more)
        {
            return check_unparsed();
        }
        if (error == beast_http::error::body_limit)
        {
            return request_error{413, "the body is too long"};
        }
        if (error)
        {
            return request_error{400, error.message()};
        }
    }
    return std::nullopt;
}

std::optional<request_error> request_reader::check_unparsed() const
{
    // A line with a chunk's size or the trailers, whose end is missing.
    if (buffer_.size() > limits_.header_bytes_)
    {
        return request_error{400, "a chunk's head is too long"};
    }
    return std::nullopt;
}

tl::expected<bool, request_error> request_reader::read_head()
{
    // RFC 9112, section 2.2, allows empty lines before a request.
    while (buffer_.starts_with("\r\n"))
    {
        buffer_.erase(0, 2);
    }
    const std::size_t end = buffer_.find(head_end, search_offset_);
    const std::size_t head_size =
        end == std::string::npos ? buffer_.size() : end + head_end.size();
    if (head_size > limits_.header_bytes_)
    {
        return tl::unexpected(request_error{431, "the head is too long"});
    }
    if (end == std::string::npos)
    {
        search_offset_ =
            buffer_.size() - std::min<std::size_t>(buffer_.size(), 3);
        // Reject a bare line feed at once: with it, the end of the head would
        // never be found.
        if (auto error = find_ambiguity(buffer_))
        {
            return tl::unexpected(*error);
        }
        return false;
    }
    search_offset_ = 0;
    if (auto error = find_ambiguity(std::string_view(buffer_).substr(0, end)))
    {
        return tl::unexpected(*error);
    }
    partial_ = std::make_unique<partial>();
    auto& parser = partial_->parser_;
    parser.eager(true);
    parser.header_limit(static_cast<std::uint32_t>(head_size + 1));
    parser.body_limit(limits_.body_bytes_);
    if (auto error = parse_buffer())
    {
        return tl::unexpected(*error);
    }
    if (auto error = check_headers(parser.headers()))
    {
        return tl::unexpected(*error);
    }
    auto& head = partial_->request_.head_;
    head.method_ = parser.method();
    head.target_ = parser.target();
    head.keep_alive_ = parser.keep_alive();
    head.headers_ = parser.take_headers();
    const std::string* expect = find_header(head.headers_, "Expect");
    head.expects_continue_ =
        expect != nullptr && iequals(*expect, "100-continue");
    parser.eager(true);
    return true;
}

tl::expected<std::optional<request>, request_error> request_reader::next()
{
    if (partial_ == nullptr)
    {
        const auto found = read_head();
        if (!found)
        {
            return tl::unexpected(found.error());
        }
        if (!*found)
        {
            return std::nullopt;
        }
    }
    else if (auto error = parse_buffer())
    {
        return tl::unexpected(*error);
    }
    partial_->request_.body_ += partial_->parser_.take_body();
    if (partial_->request_.body_.size() > limits_.body_bytes_)
    {
        return tl::unexpected(request_error{413, "the body is too long"});
    }
    if (!partial_->parser_.is_done())
    {
        return std::nullopt;
    }
    std::optional<request> whole(std::move(partial_->request_));
    partial_.reset();
    limits_ = next_limits_;
    return whole;
}

} // namespace peridotspar::http
