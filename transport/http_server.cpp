#include "transport/http_server.hpp"

#include <array>
#include <cstring>
#include <stdexcept>

#include <arpa/inet.h>
#include <civetweb.h>
#include <dirent.h>
#include <poll.h>
#include <sys/socket.h>

namespace peridotspar
{

namespace
{

constexpr std::size_t read_buffer_bytes = 16384;

failure body_failure(int p_status, std::string p_code, std::string p_message)
{
    return {p_status, std::move(p_code), std::move(p_message), verdict::not_run,
            std::chrono::milliseconds(0)};
}

/// Whether a socket is connected to this remote address and port.
bool is_connected_to(int p_socket, const in_addr& p_address,
                     std::uint16_t p_port)
{
    sockaddr_in peer{};
    socklen_t size = sizeof(peer);
    return getpeername(p_socket, reinterpret_cast<sockaddr*>(&peer), &size) ==
               0 &&
           peer.sin_family == AF_INET && ntohs(peer.sin_port) == p_port &&
           peer.sin_addr.s_addr == p_address.s_addr;
}

/// Finds the socket of an accepted connection among the process's file
/// descriptors; -1 if it isn't found. CivetWeb doesn't expose the socket, and
/// without it a caller's disconnect is noticed only at the next write.
int find_socket(const char* p_address, int p_port, int p_local_port)
{
    in_addr address{};
    if (inet_pton(AF_INET, p_address, &address) != 1)
    {
        return -1;
    }
    const std::unique_ptr<DIR, int (*)(DIR*)> list(opendir("/proc/self/fd"),
                                                   &closedir);
    if (!list)
    {
        return -1;
    }
    while (const dirent* entry = readdir(list.get()))
    {
        const int candidate = std::atoi(entry->d_name);
        sockaddr_in local{};
        socklen_t size = sizeof(local);
        if (is_connected_to(candidate, address,
                            static_cast<std::uint16_t>(p_port)) &&
            getsockname(candidate, reinterpret_cast<sockaddr*>(&local),
                        &size) == 0 &&
            ntohs(local.sin_port) == p_local_port)
        {
            return candidate;
        }
    }
    return -1;
}

} // namespace

http_exchange::http_exchange(mg_connection* p_connection)
    : connection_(p_connection)
{
}

std::string_view http_exchange::method() const
{
    return mg_get_request_info(connection_)->request_method;
}

std::string_view http_exchange::path() const
{
    return mg_get_request_info(connection_)->local_uri;
}

std::string_view http_exchange::query() const
{
    const char* text = mg_get_request_info(connection_)->query_string;
    return text == nullptr ? std::string_view() : std::string_view(text);
}

std::string http_exchange::query_value(const std::string& p_name) const
{
    std::array<char, 1024> value{};
    const auto text = query();
    const int size = mg_get_var(text.data(), text.size(), p_name.c_str(),
                                value.data(), value.size());
    return size > 0 ? std::string(value.data(), static_cast<std::size_t>(size))
                    : std::string();
}

std::string http_exchange::header(const char* p_name) const
{
    const char* value = mg_get_header(connection_, p_name);
    return value == nullptr ? std::string() : std::string(value);
}

outcome<std::string>
http_exchange::read_body(std::size_t p_limit,
                         std::chrono::milliseconds p_time_limit)
{
    const long long declared = mg_get_request_info(connection_)->content_length;
    if (declared > static_cast<long long>(p_limit))
    {
        close_after_response();
        return tl::unexpected(body_failure(413, "body_too_large",
                                           "the body is over the limit of " +
                                               std::to_string(p_limit) +
                                               " bytes"));
    }
    const auto deadline = std::chrono::steady_clock::now() + p_time_limit;
    std::string body;
    std::array<char, read_buffer_bytes> buffer{};
    while (declared < 0 || body.size() < static_cast<std::size_t>(declared))
    {
        const int received = mg_read(connection_, buffer.data(), buffer.size());
        if (received <= 0)
        {
            break;
        }
        body.append(buffer.data(), static_cast<std::size_t>(received));
        if (body.size() > p_limit)
        {
            close_after_response();
            return tl::unexpected(
                body_failure(413, "body_too_large",
                             "the body is over the limit of " +
                                 std::to_string(p_limit) + " bytes"));
        }
        if (std::chrono::steady_clock::now() > deadline)
        {
            close_after_response();
            return tl::unexpected(body_failure(
                408, "request_timeout", "the body took too long to arrive"));
        }
    }
    if (declared >= 0 && body.size() < static_cast<std::size_t>(declared))
    {
        close_after_response();
        return tl::unexpected(body_failure(400, "incomplete_body",
                                           "the body ended before its length"));
    }
    return body;
}

std::string http_exchange::make_head(int p_status, std::string_view p_type,
                                     const http_headers& p_headers) const
{
    std::string text = "HTTP/1.1 " + std::to_string(p_status) + " " +
                       mg_get_response_code_text(connection_, p_status) +
                       "\r\nContent-Type: ";
    text += p_type;
    text += "\r\n";
    for (const auto& [name, value] : p_headers)
    {
        text += name + ": " + value + "\r\n";
    }
    return text;
}

bool http_exchange::write_all(std::string_view p_bytes)
{
    const int written = mg_write(connection_, p_bytes.data(), p_bytes.size());
    return written == static_cast<int>(p_bytes.size());
}

bool http_exchange::send(int p_status, std::string_view p_content_type,
                         std::string_view p_body, const http_headers& p_headers)
{
    std::string response = make_head(p_status, p_content_type, p_headers);
    response += "Content-Length: " + std::to_string(p_body.size()) + "\r\n\r\n";
    response += p_body;
    return write_all(response);
}

bool http_exchange::begin_stream(int p_status, std::string_view p_content_type,
                                 const http_headers& p_headers)
{
    std::string response = make_head(p_status, p_content_type, p_headers);
    response += "Transfer-Encoding: chunked\r\nCache-Control: no-cache\r\n\r\n";
    return write_all(response);
}

bool http_exchange::write_stream(std::string_view p_bytes)
{
    if (p_bytes.empty())
    {
        return true;
    }
    std::array<char, 24> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", p_bytes.size());
    // Size and data go out in one write, so that an event isn't split into
    // several packets.
    std::string chunk(size.data());
    chunk += p_bytes;
    chunk += "\r\n";
    return write_all(chunk);
}

bool http_exchange::end_stream()
{
    return write_all("0\r\n\r\n");
}

void http_exchange::break_off_stream()
{
    close_after_response();
}

bool http_exchange::peer_disconnected()
{
    const auto* info = mg_get_request_info(connection_);
    if (!socket_searched_)
    {
        socket_searched_ = true;
        socket_ = find_socket(info->remote_addr, info->remote_port,
                              info->server_port);
    }
    if (socket_ < 0)
    {
        return false;
    }
    pollfd state{socket_, POLLRDHUP, 0};
    return poll(&state, 1, 0) > 0 &&
           (state.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

void http_exchange::close_after_response()
{
    mg_disable_connection_keep_alive(connection_);
}

http_server::http_server(const http_server_options& p_options,
                         handler p_handler)
    : handler_(std::move(p_handler))
{
    mg_init_library(0);
    const std::string port =
        p_options.address_ + ":" + std::to_string(p_options.port_);
    const std::string threads = std::to_string(p_options.threads_);
    const std::string read_timeout =
        std::to_string(p_options.read_timeout_.count());
    const std::string keep_alive =
        std::to_string(p_options.keep_alive_timeout_.count());
    const std::array<const char*, 17> options{"listening_ports",
                                              port.c_str(),
                                              "num_threads",
                                              threads.c_str(),
                                              "request_timeout_ms",
                                              read_timeout.c_str(),
                                              "enable_keep_alive",
                                              "yes",
                                              "keep_alive_timeout_ms",
                                              keep_alive.c_str(),
                                              "tcp_nodelay",
                                              "1",
                                              "connection_queue",
                                              "512",
                                              "decode_url",
                                              "yes",
                                              nullptr};
    mg_callbacks callbacks{};
    context_ =
        mg_start(&callbacks, this, const_cast<const char**>(options.data()));
    if (context_ == nullptr)
    {
        throw std::runtime_error("cannot listen on " + port);
    }
    mg_set_request_handler(context_, "/", &http_server::on_request, this);
}

http_server::~http_server()
{
    stop();
}

void http_server::stop()
{
    if (context_ != nullptr)
    {
        mg_stop(context_);
        context_ = nullptr;
    }
}

int http_server::on_request(mg_connection* p_connection, void* p_server)
{
    http_exchange exchange(p_connection);
    static_cast<http_server*>(p_server)->handler_(exchange);
    return 1;
}

} // namespace peridotspar
