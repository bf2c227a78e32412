#include "transport/http_client.hpp"

#include <array>
#include <memory>

#include <civetweb.h>
#include <strings.h>

namespace peridotspar
{

namespace
{

std::string render(const endpoint& p_server, const http_call& p_call)
{
    std::string text = p_call.method_ + " " + p_call.target_ +
                       " HTTP/1.1\r\nHost: " + p_server.address_ + ":" +
                       std::to_string(p_server.port_) +
                       "\r\nConnection: close\r\n";
    for (const auto& [name, value] : p_call.headers_)
    {
        text += name + ": " + value + "\r\n";
    }
    if (!p_call.body_.empty() || p_call.method_ != "GET")
    {
        text +=
            "Content-Length: " + std::to_string(p_call.body_.size()) + "\r\n";
    }
    return text + "\r\n" + p_call.body_;
}

http_headers headers_of(const mg_response_info& p_info)
{
    http_headers headers;
    for (int i = 0; i < p_info.num_headers; ++i)
    {
        headers.emplace_back(p_info.http_headers[i].name,
                             p_info.http_headers[i].value);
    }
    return headers;
}

} // namespace

std::string http_answer::header(std::string_view p_name) const
{
    for (const auto& [name, value] : headers_)
    {
        if (name.size() == p_name.size() &&
            strncasecmp(name.data(), p_name.data(), name.size()) == 0)
        {
            return value;
        }
    }
    return {};
}

tl::expected<http_answer, call_error> call(const endpoint& p_server,
                                           const http_call& p_call)
{
    constexpr std::size_t error_bytes = 256;
    constexpr std::size_t piece_bytes = 65536;
    std::array<char, error_bytes> error{};
    const std::unique_ptr<mg_connection, void (*)(mg_connection*)> connection(
        mg_connect_client(p_server.address_.c_str(), p_server.port_, 0,
                          error.data(), error.size()),
        &mg_close_connection);
    if (!connection)
    {
        return tl::unexpected(call_error{verdict::not_run, error.data()});
    }
    const std::string request = render(p_server, p_call);
    if (mg_write(connection.get(), request.data(), request.size()) !=
        static_cast<int>(request.size()))
    {
        return tl::unexpected(
            call_error{verdict::may_have_run, "the request broke off"});
    }
    if (mg_get_response(connection.get(), error.data(), error.size(),
                        static_cast<int>(p_call.timeout_.count())) < 0)
    {
        return tl::unexpected(
            call_error{verdict::may_have_run, "no answer in time"});
    }
    const auto* info = mg_get_response_info(connection.get());
    http_answer answer{info->status_code, {}, headers_of(*info)};
    std::string piece(piece_bytes, '\0');
    int got = 0;
    while ((got = mg_read(connection.get(), piece.data(), piece.size())) > 0)
    {
        answer.body_.append(piece.data(), static_cast<std::size_t>(got));
    }
    const auto declared = info->content_length;
    if (got < 0 || (declared >= 0 &&
                    answer.body_.size() < static_cast<std::size_t>(declared)))
    {
        return tl::unexpected(
            call_error{verdict::may_have_run, "the answer broke off"});
    }
    return answer;
}

} // namespace peridotspar
