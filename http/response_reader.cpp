#include "http/response_reader.hpp"

#include "http/message_parser.hpp"

#include <limits>
#include <ostream>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>

namespace peridotspar::http
{

namespace
{

/// Lower status codes (1xx) are interim responses.
constexpr int first_final_status = 200;
/// Also of a line with a chunk's size, and of trailers.
constexpr std::uint32_t max_head_bytes = 65536;
/// Before the final response.
constexpr unsigned max_interim_responses = 64;

} // namespace

struct response_reader::parser_state
{
    message_parser<false> parser_;
};

response_reader::response_reader() = default;
response_reader::~response_reader() = default;

void response_reader::begin(bool p_is_head_request)
{
    is_head_request_ = p_is_head_request;
    interim_responses_ = 0;
    start_parser();
}

void response_reader::start_parser()
{
    head_.reset();
    state_ = std::make_unique<parser_state>();
    auto& parser = state_->parser_;
    parser.eager(true);
    parser.header_limit(max_head_bytes);
    // Without a limit this version of Beast takes a head that arrives before
    // its body for one whose body is too long.
    parser.body_limit(std::numeric_limits<std::uint64_t>::max());
    parser.skip(is_head_request_);
}

bool response_reader::feed(std::string_view p_bytes)
{
    buffer_.append(p_bytes);
    return state_ != nullptr && parse();
}

bool response_reader::begin_next()
{
    begin(is_head_request_);
    return parse();
}

bool response_reader::parse()
{
    auto& parser = state_->parser_;
    while (!parser.is_done() && !buffer_.empty() &&
           parser.accepts(buffer_.size()))
    {
        boost::beast::error_code error;
        const std::size_t consumed = parser.put(
            boost::asio::const_buffer(buffer_.data(), buffer_.size()), error);
        buffer_.erase(0, consumed);
        if (error && error != boost::beast::http::error::need_more)
        {
            return false;
        }
        if (parser.is_header_done() && !is_response_status(parser.status()))
        {
            return false;
        }
        if (parser.is_header_done() && parser.status() < first_final_status)
        {
            start_parser();
            return ++interim_responses_ <= max_interim_responses && parse();
        }
        store_head();
        if (error || consumed == 0)
        {
            // The end of a head, of a line with a chunk's size or of trailers
            // is missing.
            return buffer_.size() <= max_head_bytes;
        }
    }
    return true;
}

void response_reader::store_head()
{
    auto& parser = state_->parser_;
    if (head_ || !parser.is_header_done())
    {
        return;
    }
    response_head head;
    head.status_ = parser.status();
    head.reason_ = parser.reason();
    head.keep_alive_ = parser.keep_alive();
    head.close_delimited_ = parser.need_eof();
    if (const auto length = parser.content_length())
    {
        head.content_length_ = *length;
    }
    head.headers_ = parser.take_headers();
    head_ = std::move(head);
}

bool response_reader::feed_eof()
{
    if (state_ == nullptr)
    {
        return false;
    }
    boost::beast::error_code error;
    state_->parser_.put_eof(error);
    return !error && state_->parser_.is_done();
}

std::string response_reader::take_body()
{
    return state_ == nullptr ? std::string() : state_->parser_.take_body();
}

bool response_reader::is_complete() const
{
    return state_ != nullptr && state_->parser_.is_done();
}

} // namespace peridotspar::http
