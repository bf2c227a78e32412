#include "backend/buffered_client.hpp"

#include "core/log.hpp"

#include <algorithm>
#include <utility>

namespace peridotspar::backend
{

namespace
{

constexpr duration connect_timeout = std::chrono::milliseconds(800);

} // namespace

struct buffered_client::pending_call : public call_handler
{
    bool on_head(const http::response_head& p_head) override
    {
        response_.status_ = p_head.status_;
        response_.headers_ = p_head.headers_;
        extend_deadline();
        return true;
    }
    void on_body(std::string p_bytes) override
    {
        if (response_.body_.size() + p_bytes.size() > max_response_bytes)
        {
            log_event(log_level::warning, "call.response_too_large")
                .with("server", address_)
                .with("max_bytes", max_response_bytes);
            close_connection();
            response_ = {};
            response_.too_large_ = true;
            finish();
            return;
        }
        response_.body_ += p_bytes;
        extend_deadline();
    }
    void on_complete() override { finish(); }
    void on_failure(call_failure p_failure) override
    {
        response_ = {};
        response_.unsent_ = p_failure == call_failure::unsent;
        finish();
    }
    void extend_deadline()
    {
        deadline_ =
            std::min(std::max(deadline_, clock_.now() + max_response_pause),
                     response_due_at_ + max_response_time);
    }
    /// Closes the connection and fails the call.
    void close_and_fail()
    {
        close_connection();
        on_failure(call_failure::connection_lost);
    }
    void close_connection()
    {
        if (const auto connection = connection_.lock())
        {
            connection->close();
        }
    }
    void finish()
    {
        done_ = true;
        if (const auto callback = std::exchange(callback_, nullptr))
        {
            callback(response_);
        }
    }

    boot_clock clock_;
    call_id id_;
    std::string address_;
    response_callback callback_;
    client_response response_;
    time_point response_due_at_{}; ///< When it must begin.
    time_point deadline_{};
    std::weak_ptr<connection> connection_;
    bool done_ = false;
};

buffered_client::buffered_client(boost::asio::io_context& p_context)
    : pool_(p_context, {connect_timeout, std::chrono::seconds(20),
                        std::chrono::milliseconds(500)})
{
}

buffered_client::call_id buffered_client::send(const std::string& p_address,
                                               std::string p_request,
                                               duration p_timeout,
                                               response_callback p_callback)
{
    const auto call = std::make_shared<pending_call>();
    call->id_ = call_id(++last_call_id_);
    call->address_ = p_address;
    call->callback_ = std::move(p_callback);
    call->response_due_at_ = clock_.now() + p_timeout;
    call->deadline_ = call->response_due_at_;
    calls_.push_back(call);
    const auto connection =
        pool_.send(p_address, p_address, std::move(p_request), false, call);
    call->connection_ = connection;
    if (!connection)
    {
        call->deadline_ = clock_.now();
    }
    return call->id_;
}

void buffered_client::cancel(call_id p_call)
{
    const auto found = std::find_if(calls_.begin(), calls_.end(),
                                    [p_call](const auto& p_each)
                                    { return p_each->id_ == p_call; });
    if (found == calls_.end() || (*found)->done_)
    {
        return;
    }
    const auto call = *found;
    calls_.erase(found);
    call->callback_ = nullptr;
    call->done_ = true;
    call->close_connection();
    pool_.close_idle(call->address_);
}

void buffered_client::tick(time_point p_now)
{
    pool_.tick(p_now);
    std::vector<std::shared_ptr<pending_call>> overdue;
    for (auto it = calls_.begin(); it != calls_.end();)
    {
        if (!(*it)->done_ && p_now >= (*it)->deadline_)
        {
            overdue.push_back(*it);
        }
        it = (*it)->done_ ? calls_.erase(it) : std::next(it);
    }
    for (const auto& call : overdue)
    {
        call->close_and_fail();
        pool_.close_idle(call->address_);
    }
}

} // namespace peridotspar::backend
