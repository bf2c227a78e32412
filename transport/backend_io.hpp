#pragma once

#include "core/bounded_queue.hpp"
#include "core/ids.hpp"
#include "core/verdict.hpp"
#include "transport/http_client.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <thread>
#include <variant>

namespace peridotspar
{

/// How an attempt at a backend server ended.
struct attempt_end
{
    enum class kind : std::uint8_t
    {
        completed, ///< The whole response was received.
        refused,   ///< An engine responded with status 429 or 503.
        unsent,    ///< Certainly no byte of the request was sent.
        broken,    ///< The connection broke after bytes were sent.
        timed_out, ///< The response wasn't complete within the time limit.
    };
    kind kind_ = kind::broken;
    int status_ = 0;      ///< HTTP status; 0 if there was no response.
    std::string message_; ///< libcurl's description of the result.
};

/// Receives the response of an attempt. Its functions are called on the I/O
/// thread and must not block.
class attempt_sink
{
public:
    virtual ~attempt_sink() = default;
    /// Gets the status and the content type of a response before its bytes. Not
    /// called for an event stream of status 200.
    virtual void on_head(attempt_id p_attempt, int p_status,
                         const std::string& p_content_type) = 0;
    /// Gets the next bytes of the response; of an event stream, whole events,
    /// `p_events` in number. If it returns false, the same bytes and any new
    /// ones are offered again later.
    virtual bool on_bytes(attempt_id p_attempt, const std::string& p_bytes,
                          std::uint32_t p_events) = 0;
    /// Called once, after all bytes, unless the attempt was cancelled.
    virtual void on_end(attempt_id p_attempt, const attempt_end& p_end) = 0;
};

/// One attempt to send a request to a backend server.
struct backend_call
{
    attempt_id attempt_;
    endpoint server_;
    http_request request_;
    /// Whether a response of status 200 is a stream of server-sent events, as
    /// that of an engine.
    bool event_stream_ = false;
    /// If false, no layer sends the request a second time. libcurl then uses a
    /// new connection, because it resends by itself on a reused one.
    bool may_resend_ = true;
    std::shared_ptr<attempt_sink> sink_;
};

/// Sends requests to all backend servers from one thread, with libcurl.
/// CivetWeb's client isn't used here because it delays streamed events; see
/// docs/design/transport.md.
class backend_io
{
public:
    backend_io();
    ~backend_io();
    backend_io(const backend_io&) = delete;
    backend_io& operator=(const backend_io&) = delete;

    /// Queues a call. Returns false if the queue is full; the sink is then not
    /// called. May be called from any thread.
    [[nodiscard]] bool submit(backend_call p_call);
    /// Queues the end of an attempt: the I/O thread closes its connection and
    /// calls its sink no more. Returns false if the queue is full. May be
    /// called from any thread.
    [[nodiscard]] bool cancel(attempt_id p_attempt);
    /// Stops the I/O thread and waits for it. Attempts in progress are dropped
    /// without a call of their sinks.
    void stop();

private:
    struct worker;
    using command = std::variant<backend_call, attempt_id>;

    bounded_queue<command> commands_;
    std::unique_ptr<worker> worker_;
    std::thread thread_;
};

} // namespace peridotspar
