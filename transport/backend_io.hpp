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
        completed, ///< The whole answer came.
        refused,   ///< An engine said 429 or 503 before it began.
        unsent,    ///< Provably no byte of the request left.
        broken,    ///< The connection broke after bytes had left.
        timed_out, ///< No answer within the limit after bytes had left.
    };
    kind kind_ = kind::broken;
    int status_ = 0;
    std::string message_;
};

/// Receives what an attempt yields, on the I/O thread; must not block.
class attempt_sink
{
public:
    virtual ~attempt_sink() = default;
    /// Status and content type of an answer; a stream of events has none.
    virtual void on_head(attempt_id p_attempt, int p_status,
                         const std::string& p_content_type) = 0;
    /// Bytes of the answer; false asks to be offered them again later.
    virtual bool on_bytes(attempt_id p_attempt, const std::string& p_bytes,
                          std::uint32_t p_events) = 0;
    virtual void on_end(attempt_id p_attempt, const attempt_end& p_end) = 0;
};

struct backend_call
{
    attempt_id attempt_;
    endpoint server_;
    http_call call_;
    bool event_stream_ = false; ///< Split into server-sent events.
    bool may_repeat_ = true;    ///< False: never resent by any layer.
    std::shared_ptr<attempt_sink> sink_;
};

/// Talks to all backend servers on one thread, with libcurl. CivetWeb's client
/// delays streamed events (docs/design/transport.md), so it isn't used here.
class backend_io
{
public:
    backend_io();
    ~backend_io();
    backend_io(const backend_io&) = delete;
    backend_io& operator=(const backend_io&) = delete;

    /// Starts a call; false when too many wait to be started. Any thread.
    [[nodiscard]] bool submit(backend_call p_call);
    /// Ends an attempt by closing its connection; its sink hears no more.
    /// False when too many commands wait.
    [[nodiscard]] bool cancel(attempt_id p_attempt);
    void stop();

private:
    struct worker;
    using command = std::variant<backend_call, attempt_id>;

    bounded_queue<command> commands_;
    std::unique_ptr<worker> worker_;
    std::thread thread_;
};

} // namespace peridotspar
