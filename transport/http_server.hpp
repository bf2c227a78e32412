#pragma once

#include "core/clock.hpp"
#include "core/verdict.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

struct mg_connection;
struct mg_context;

namespace peridotspar
{

using http_headers = std::vector<std::pair<std::string, std::string>>;

/// A request being served and its response. Use it only on the worker thread
/// that runs the handler, and only until the handler returns.
class http_exchange
{
public:
    explicit http_exchange(mg_connection* p_connection);

    [[nodiscard]] std::string_view method() const;
    /// The path, percent-decoded, without the query.
    [[nodiscard]] std::string_view path() const;
    /// The query string, still encoded.
    [[nodiscard]] std::string_view query() const;
    /// The decoded value of a query parameter; empty if it is missing or longer
    /// than 1023 bytes.
    [[nodiscard]] std::string query_value(const std::string& p_name) const;
    /// The value of a header; empty if it is missing.
    [[nodiscard]] std::string header(const char* p_name) const;

    /// Reads the whole body. Fails with status 413 if it has more than
    /// `p_limit` bytes, 400 if it ends early, and 408 if it takes longer than
    /// `p_time_limit`; the connection is then closed after the response.
    [[nodiscard]] outcome<std::string>
    read_body(std::size_t p_limit, std::chrono::milliseconds p_time_limit);

    /// Sends a whole response. Like the functions below, returns false if the
    /// bytes couldn't be written, as after a disconnect.
    bool send(int p_status, std::string_view p_content_type,
              std::string_view p_body, const http_headers& p_headers = {});

    /// Starts a chunked response; continue with write_stream(), and end with
    /// end_stream() or break_off_stream().
    bool begin_stream(int p_status, std::string_view p_content_type,
                      const http_headers& p_headers = {});
    /// Sends one chunk at once; does nothing for no bytes.
    bool write_stream(std::string_view p_bytes);
    bool end_stream();
    /// Ends a stream whose rest is missing: the connection is closed without
    /// the final chunk, so that the response doesn't look complete.
    void break_off_stream();

    /// Whether the peer has closed its connection; false if that can't be found
    /// out. The first call searches all file descriptors for the connection's
    /// socket, so use it only for requests that wait.
    [[nodiscard]] bool peer_disconnected();

    /// Closes the connection after this response.
    void close_after_response();

private:
    [[nodiscard]] std::string make_head(int p_status, std::string_view p_type,
                                        const http_headers& p_headers) const;
    bool write_all(std::string_view p_bytes);

    mg_connection* connection_;
    int socket_ = -1;
    bool socket_searched_ = false;
};

struct http_server_options
{
    std::string address_ = "127.0.0.1";
    std::uint16_t port_ = 0;
    std::uint32_t threads_ = 16;
    /// Time limit for reading a request.
    std::chrono::milliseconds read_timeout_{10000};
    /// An idle connection is closed after this long.
    std::chrono::milliseconds keep_alive_timeout_{500};
};

/// An HTTP server, based on CivetWeb. Its handler runs on worker threads, for
/// several requests at a time.
class http_server
{
public:
    using handler = std::function<void(http_exchange&)>;

    /// Starts serving; throws std::runtime_error if it can't listen on the
    /// port.
    http_server(const http_server_options& p_options, handler p_handler);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /// Closes the listening socket and waits until all handlers have returned.
    void stop();

private:
    static int on_request(mg_connection* p_connection, void* p_server);

    handler handler_;
    mg_context* context_ = nullptr;
};

} // namespace peridotspar
