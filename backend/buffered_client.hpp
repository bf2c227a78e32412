#pragma once

#include "backend/connection_pool.hpp"
#include "core/strong_type.hpp"

#include <functional>
#include <list>
#include <memory>
#include <string>

namespace peridotspar::backend
{

/// The response to a call; `status_` is 0 if the call failed, and the rest is
/// then empty.
struct client_response
{
    int status_ = 0;
    http::header_list headers_;
    std::string body_;
    /// Set if the call failed and provably no byte of the request was sent.
    bool unsent_ = false;
    /// Set if the call failed because its response's body is larger than
    /// `buffered_client::max_response_bytes`.
    bool too_large_ = false;
};

/// HTTP client that delivers each response as a whole, with a timeout per call.
/// A call whose response arrives slowly may take longer than that, up to
/// `max_response_time`, as long as no pause exceeds `max_response_pause`. A
/// call fails if its response's body exceeds `max_response_bytes`. After a
/// timeout, idle connections to the same address aren't reused.
/// Use only from the thread that runs `p_context`.
class buffered_client
{
public:
    using response_callback = std::function<void(const client_response&)>;
    static constexpr std::size_t max_response_bytes = 16U << 20U;
    static constexpr duration max_response_pause =
        std::chrono::milliseconds(500);
    /// From the timeout of the call to the end of its response.
    static constexpr duration max_response_time = std::chrono::seconds(10);
    using call_id = strong_type<struct call_id_tag, std::uint64_t>;

    explicit buffered_client(boost::asio::io_context& p_context);

    /// Sends a request to `p_address` (IP:PORT). `p_callback` is called exactly
    /// once, after the return. It isn't called if the client is destroyed
    /// first or the call is cancelled. `p_timeout`: until the response begins.
    call_id send(const std::string& p_address, std::string p_request,
                 duration p_timeout, response_callback p_callback);
    /// Closes the connection of a call and the idle ones to its address; the
    /// callback isn't called. A call that is complete is ignored.
    void cancel(call_id p_call);
    /// Enforces the timeouts. Call periodically.
    void tick(time_point p_now);

private:
    struct pending_call;

    boot_clock clock_;
    connection_pool pool_;
    std::list<std::shared_ptr<pending_call>> calls_;
    std::uint64_t last_call_id_ = 0;
};

} // namespace peridotspar::backend
