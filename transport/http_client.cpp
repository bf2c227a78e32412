#include "transport/http_client.hpp"

#include <array>
#include <memory>

#include <civetweb.h>
#include <strings.h>

namespace peridotspar
{

namespace
{

std::string serialize_request(const endpoint& p_server,
                              const http_request& p_request)
{
    std::string text = p_request.method_ + " " + p_request.target_ +
                       " HTTP/1.1\r\nHost: " + p_server.address_ + ":" +
                       std::to_string(p_server.port_) +
                       "\r\nConnection: close\r\n";
    for (const auto& [name, value] : p_request.headers_)
    {
        text += name + ": " + value + "\r\n";
    }
    if (!p_request.body_.empty() || p_request.method_ != "GET")
    {
        text += "Content-Length: " + std::to_string(p_request.body_.size()) +
                "\r\n";
    }
    return text + "\r\n" + p_request.body_;
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

std::string http_response::header(std::string_view p_name) const
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

tl::expected<http_response, call_error> call(const endpoint& p_server,
                                             const http_request& p_request)
{
    constexpr std::size_t error_bytes = 256;
    constexpr std::size_t buffer_bytes = 65536;
    std::array<char, error_bytes> error{};
    const std::unique_ptr<mg_connection, void (*)(mg_connection*)> connection(
        mg_connect_client(p_server.address_.c_str(), p_server.port_, 0,
                          error.data(), error.size()),
        &mg_close_connection);
    if (!connection)
    {
        return tl::unexpected(call_error{verdict::not_run, error.data()});
    }
    const std::string serialized = serialize_request(p_server, p_request);
    if (mg_write(connection.get(), serialized.data(), serialized.size()) !=
        static_cast<int>(serialized.size()))
    {
        return tl::unexpected(
            call_error{verdict::may_have_run,
                       "the connection broke while the request was sent"});
    }
    if (mg_get_response(connection.get(), error.data(), error.size(),
                        static_cast<int>(p_request.timeout_.count())) < 0)
    {
        return tl::unexpected(call_error{
            verdict::may_have_run, "no valid response within the time limit"});
    }
    const auto* info = mg_get_response_info(connection.get());
    http_response response{info->status_code, {}, headers_of(*info)};
    std::string buffer(buffer_bytes, '\0');
    int received = 0;
    while ((received =
                mg_read(connection.get(), buffer.data(), buffer.size())) > 0)
    {
        response.body_.append(buffer.data(),
                              static_cast<std::size_t>(received));
    }
    const auto declared = info->content_length;
    if (received < 0 ||
        (declared >= 0 &&
         response.body_.size() < static_cast<std::size_t>(declared)))
    {
        return tl::unexpected(
            call_error{verdict::may_have_run,
                       "the connection broke before the end of the response"});
    }
    return response;
}

} // namespace peridotspar
