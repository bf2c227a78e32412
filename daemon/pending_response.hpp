#pragma once

#include "core/ids.hpp"
#include "core/verdict.hpp"
#include "transport/backend_io.hpp"

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <variant>

namespace peridotspar
{

/// The HTTP request for a backend server, without the parts that differ between
/// attempts.
struct call_template
{
    std::string method_ = "POST";
    std::string target_;
    http_headers headers_;
    std::string body_;
    /// The backend server is a model engine. The body is a JSON object, to
    /// which each attempt adds fields.
    bool is_engine_call_ = true;
    bool idempotent_ = true; ///< The request may be repeated.
    std::chrono::milliseconds timeout_{600'000};
};

/// The response to one request, as a bounded queue from the I/O thread to the
/// worker thread that serves the caller. While the queue is full, nothing more
/// is read from the backend server. Any thread may call the members.
class pending_response : public attempt_sink
{
public:
    /// Status and content type of a response that isn't an event stream.
    struct head
    {
        int status_ = 200;
        std::string content_type_;
    };
    /// Part of the body.
    struct chunk
    {
        std::string data_;
        std::uint32_t events_ = 0; ///< Server-sent events in `data_`.
    };
    /// A call whose idempotency key the worker must claim before it is sent.
    struct call_to_claim
    {
        backend_call call_;
    };
    /// End of the response.
    struct response_end
    {
        std::optional<failure> failure_; ///< Empty if it is complete.
    };
    using part = std::variant<head, chunk, call_to_claim, response_end>;

    /// Callbacks for the output of attempts, with its number of events, and for
    /// the end of an attempt. Called on the I/O thread.
    struct listener
    {
        std::function<void(attempt_id, std::uint32_t)> on_output_;
        std::function<void(attempt_id, const attempt_end&)> on_end_;
    };

    pending_response(request_id p_id, call_template p_call,
                     listener p_listener);

    [[nodiscard]] request_id id() const { return id_; }
    [[nodiscard]] bool idempotent() const { return call_.idempotent_; }

    /// Makes an attempt the current one and returns its call. Output of earlier
    /// attempts is discarded from now on.
    [[nodiscard]] backend_call begin_attempt(attempt_id p_attempt,
                                             const endpoint& p_server,
                                             tier p_priority);
    /// Discards further output of an attempt.
    void abandon_attempt(attempt_id p_attempt);
    /// Queues a call for the worker, which claims its key and then sends it.
    void queue_for_claim(backend_call p_call);
    /// Ends the response. Parts that are already queued are delivered first.
    void finish(response_end p_end);

    /// Waits up to `p_wait` for the next part and returns it, if there is one.
    /// For the worker thread.
    [[nodiscard]] std::optional<part> next_part(duration p_wait);
    /// Number of server-sent events queued for the caller so far.
    [[nodiscard]] std::uint32_t delivered_events() const;
    /// The backend server of the last attempt.
    [[nodiscard]] endpoint last_server() const;

    void on_head(attempt_id p_attempt, int p_status,
                 const std::string& p_content_type) override;
    bool on_bytes(attempt_id p_attempt, const std::string& p_bytes,
                  std::uint32_t p_events) override;
    void on_end(attempt_id p_attempt, const attempt_end& p_end) override;

private:
    const request_id id_;
    const call_template call_;
    const listener listener_;
    mutable std::mutex mutex_;
    std::condition_variable part_available_;
    std::deque<part> parts_;
    std::optional<response_end> response_end_;
    std::optional<attempt_id> current_attempt_;
    endpoint last_server_;
    std::uint32_t delivered_events_ = 0;
    /// Events of the current attempt not yet reported to the listener.
    std::uint32_t unreported_events_ = 0;
    /// Whether the first event of the current attempt has been reported.
    bool first_event_reported_ = false;
    /// The current attempt's response isn't the rest of the stream.
    bool brought_error_ = false;
};

} // namespace peridotspar
