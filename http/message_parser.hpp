#pragma once

#include "http/message.hpp"

#include <ostream>
#include <string>
#include <string_view>

#include <boost/beast/http/basic_parser.hpp>

namespace peridotspar::http
{

/// Beast parser that stores the head and the decoded body of one message.
/// Drops the trailers of a chunked body.
template <bool IsRequest>
class message_parser : public boost::beast::http::basic_parser<IsRequest>
{
public:
    [[nodiscard]] const header_list& headers() const { return headers_; }
    [[nodiscard]] header_list take_headers() { return std::move(headers_); }
    [[nodiscard]] const std::string& method() const { return method_; }
    [[nodiscard]] const std::string& target() const { return target_; }
    [[nodiscard]] int status() const { return status_; }
    [[nodiscard]] const std::string& reason() const { return reason_; }
    /// Returns the body bytes parsed since the last call.
    [[nodiscard]] std::string take_body() { return std::move(body_); }
    /// Whether `put` may be called with so many unparsed bytes. While a chunked
    /// body is incomplete, further calls must bring the shortest end of it at
    /// least, or Beast's assertions end the process.
    [[nodiscard]] bool accepts(std::size_t p_unparsed_bytes) const
    {
        constexpr std::string_view shortest_end = "0\r\n\r\n";
        return p_unparsed_bytes >= shortest_end.size() ||
               !this->is_header_done() || !this->chunked();
    }

private:
    using view = boost::beast::string_view;
    using error_code = boost::beast::error_code;

    void on_request_impl(boost::beast::http::verb, view p_method, view p_target,
                         int, error_code& r_error) override
    {
        method_.assign(p_method.data(), p_method.size());
        target_.assign(p_target.data(), p_target.size());
        r_error = {};
    }
    void on_response_impl(int p_status, view p_reason, int,
                          error_code& r_error) override
    {
        status_ = p_status;
        reason_.assign(p_reason.data(), p_reason.size());
        r_error = {};
    }
    void on_field_impl(boost::beast::http::field, view p_name, view p_value,
                       error_code& r_error) override
    {
        r_error = {};
        if (!in_trailer_)
        {
            headers_.push_back({std::string(p_name.data(), p_name.size()),
                                std::string(p_value.data(), p_value.size())});
        }
    }
    void on_header_impl(error_code& r_error) override
    {
        in_trailer_ = true;
        r_error = {};
    }
    void on_body_init_impl(boost::optional<std::uint64_t> const&,
                           error_code& r_error) override
    {
        r_error = {};
    }
    std::size_t on_body_impl(view p_bytes, error_code& r_error) override
    {
        r_error = {};
        body_.append(p_bytes.data(), p_bytes.size());
        return p_bytes.size();
    }
    void on_chunk_header_impl(std::uint64_t, view, error_code& r_error) override
    {
        r_error = {};
    }
    std::size_t on_chunk_body_impl(std::uint64_t, view p_bytes,
                                   error_code& r_error) override
    {
        r_error = {};
        body_.append(p_bytes.data(), p_bytes.size());
        return p_bytes.size();
    }
    void on_finish_impl(error_code& r_error) override { r_error = {}; }

    std::string method_;
    std::string target_;
    int status_ = 0;
    std::string reason_;
    header_list headers_;
    std::string body_;
    bool in_trailer_ = false;
};

} // namespace peridotspar::http
