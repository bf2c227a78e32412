#pragma once

#include "backend/connection_pool.hpp"

#include <functional>
#include <list>
#include <memory>
#include <string>

namespace peridotspar::backend
{

/// The response to a call; `status_` is 0 if the call failed, and `body_` is
/// then empty.
struct client_response
{
    int status_ = 0;
    std::string body_;
    /// Set if the call failed and provably no byte of the request was sent.
    bool unsent_ = false;
};

/// HTTP client that delivers each response as a whole, with a timeout per call.
/// A call fails if its response's body exceeds `max_response_bytes`.
/// Use only from the thread that runs `p_context`.
class buffered_client
{
public:
    using response_callback = std::function<void(const client_response&)>;
    static constexpr std::size_t max_response_bytes = 16U << 20U;

    explicit buffered_client(boost::asio::io_context& p_context);

    /// Sends a request to `p_address` (IP:PORT). `p_callback` is called exactly
    /// once, after the return. It isn't called if the client is destroyed
    /// first.
    void send(const std::string& p_address, std::string p_request,
              duration p_timeout, response_callback p_callback);
    /// Enforces the timeouts. Call periodically.
    void tick(time_point p_now);

private:
    struct pending_call;

    boot_clock clock_;
    connection_pool pool_;
    std::list<std::shared_ptr<pending_call>> calls_;
};

} // namespace peridotspar::backend
