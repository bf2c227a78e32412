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

/// One request being served. It lives on the worker thread that serves it and
/// is used by that thread alone.
class http_exchange
{
public:
    explicit http_exchange(mg_connection* p_connection);

    [[nodiscard]] std::string_view method() const;
    /// The path, decoded, without the query.
    [[nodiscard]] std::string_view path() const;
    [[nodiscard]] std::string_view query() const;
    /// One decoded value of the query, empty if it isn't there.
    [[nodiscard]] std::string query_value(const std::string& p_name) const;
    /// One header, empty if it isn't there.
    [[nodiscard]] std::string header(const char* p_name) const;

    /// Reads the whole body. Refuses one over `p_limit` bytes, one that ends
    /// early and one that takes longer than `p_time_limit`.
    [[nodiscard]] outcome<std::string>
    read_body(std::size_t p_limit, std::chrono::milliseconds p_time_limit);

    /// Sends a whole answer; false if the peer is gone.
    bool send(int p_status, std::string_view p_content_type,
              std::string_view p_body, const http_headers& p_headers = {});

    /// Starts a streamed answer; follow with `write_stream` and `end_stream`.
    bool begin_stream(int p_status, std::string_view p_content_type,
                      const http_headers& p_headers = {});
    bool write_stream(std::string_view p_bytes);
    bool end_stream();

    /// Whether the peer has closed its connection. The first call searches
    /// for the connection's socket, so call it only on requests that wait.
    [[nodiscard]] bool peer_disconnected();

    /// Ends the connection after this answer.
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
    std::chrono::milliseconds read_timeout_{10000};
    std::chrono::milliseconds keep_alive_timeout_{500};
};

/// An HTTP server whose handler runs on worker threads.
class http_server
{
public:
    using handler = std::function<void(http_exchange&)>;

    /// Starts serving; throws std::runtime_error if the port can't be had.
    http_server(const http_server_options& p_options, handler p_handler);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /// Closes the listener, lets the handlers return and joins them.
    void stop();

private:
    static int on_request(mg_connection* p_connection, void* p_server);

    handler handler_;
    mg_context* context_ = nullptr;
};

} // namespace peridotspar
