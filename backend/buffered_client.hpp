#pragma once

#include "backend/connection_pool.hpp"

#include <functional>
#include <list>
#include <memory>
#include <string>

namespace peridotspar::backend
{

/// A short call's answer; status 0 where none came.
struct client_response
{
    int status_ = 0;
    std::string body_;
    /// Provably nothing was sent, where no answer came.
    bool unsent_ = false;
};

/// Calls whose answers are taken whole, each with a time limit. Belongs to the
/// thread of its context.
class buffered_client
{
public:
    using response_callback = std::function<void(const client_response&)>;

    explicit buffered_client(boost::asio::io_context& p_context);

    /// Sends a request to IP:PORT; the answer comes once, later.
    void send(const std::string& p_address, std::string p_request,
              duration p_timeout, response_callback p_callback);
    /// Applies the time limits; call it regularly.
    void tick(time_point p_now);

private:
    struct pending_call;

    boot_clock clock_;
    connection_pool pool_;
    std::list<std::shared_ptr<pending_call>> calls_;
};

} // namespace peridotspar::backend
