#include "http/answer_reader.hpp"

#include "http/message_parser.hpp"

#include <ostream>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>

namespace peridotspar::http
{

namespace
{

constexpr int first_final_status = 200;
constexpr std::uint32_t head_limit = 65536;

} // namespace

struct answer_reader::state
{
    message_parser<false> parser_;
};

answer_reader::answer_reader() = default;
answer_reader::~answer_reader() = default;

void answer_reader::begin(bool p_without_body)
{
    without_body_ = p_without_body;
    head_.reset();
    state_ = std::make_unique<state>();
    auto& parser = state_->parser_;
    parser.eager(true);
    parser.header_limit(head_limit);
    parser.body_limit(boost::none);
    parser.skip(p_without_body);
}

bool answer_reader::feed(std::string_view p_bytes)
{
    buffer_.append(p_bytes);
    return state_ != nullptr && parse();
}

bool answer_reader::begin_next()
{
    begin(without_body_);
    return parse();
}

bool answer_reader::parse()
{
    auto& parser = state_->parser_;
    while (!parser.is_done() && !buffer_.empty())
    {
        boost::beast::error_code error;
        const std::size_t used = parser.put(
            boost::asio::const_buffer(buffer_.data(), buffer_.size()), error);
        buffer_.erase(0, used);
        if (error && error != boost::beast::http::error::need_more)
        {
            return false;
        }
        if (parser.is_header_done() && parser.status() < first_final_status)
        {
            begin(without_body_);
            return parse();
        }
        note_head();
        if (error || used == 0)
        {
            return true;
        }
    }
    return true;
}

void answer_reader::note_head()
{
    auto& parser = state_->parser_;
    if (head_ || !parser.is_header_done())
    {
        return;
    }
    answer_head head;
    head.status_ = parser.status();
    head.reason_ = parser.reason();
    head.keep_alive_ = parser.keep_alive();
    head.ends_with_connection_ = parser.need_eof();
    if (const auto length = parser.content_length())
    {
        head.length_ = *length;
    }
    head.headers_ = parser.take_headers();
    head_ = std::move(head);
}

bool answer_reader::feed_end()
{
    if (state_ == nullptr)
    {
        return false;
    }
    boost::beast::error_code error;
    state_->parser_.put_eof(error);
    return !error && state_->parser_.is_done();
}

std::string answer_reader::take_body()
{
    return state_ == nullptr ? std::string() : state_->parser_.take_body();
}

bool answer_reader::is_whole() const
{
    return state_ != nullptr && state_->parser_.is_done();
}

} // namespace peridotspar::http
