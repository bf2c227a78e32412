#include "daemon/pending_response.hpp"

#include <utility>

namespace peridotspar
{

namespace
{

constexpr std::size_t max_queued_parts = 256;
/// Number of events reported to the listener in one call. The first event of an
/// attempt is reported at once, because the decider measures the time to it.
constexpr std::uint32_t events_per_report = 4;

} // namespace

pending_response::pending_response(request_id p_id, call_template p_call,
                                   listener p_listener)
    : id_(p_id), call_(std::move(p_call)), listener_(std::move(p_listener))
{
}

backend_call pending_response::begin_attempt(attempt_id p_attempt,
                                             const endpoint& p_server,
                                             tier p_priority)
{
    backend_call call;
    call.attempt_ = p_attempt;
    call.server_ = p_server;
    call.request_.method_ = call_.method_;
    call.request_.target_ = call_.target_;
    call.request_.headers_ = call_.headers_;
    call.request_.body_ = call_.body_;
    call.request_.timeout_ = call_.timeout_;
    call.event_stream_ = call_.is_engine_call_;
    call.may_resend_ = call_.idempotent_;
    std::lock_guard lock(mutex_);
    current_attempt_ = p_attempt;
    first_event_reported_ = false;
    brought_error_ = false;
    unreported_events_ = 0;
    last_server_ = p_server;
    if (call_.is_engine_call_)
    {
        // Replace the closing brace of the JSON object.
        call.request_.body_.pop_back();
        call.request_.body_ +=
            ",\"priority\":" + std::to_string(p_priority.value()) +
            ",\"resume_from\":" + std::to_string(delivered_events_) + "}";
    }
    else
    {
        // The response of a plain service can't be resumed and starts over.
        parts_.clear();
    }
    return call;
}

void pending_response::abandon_attempt(attempt_id p_attempt)
{
    std::lock_guard lock(mutex_);
    if (current_attempt_ == p_attempt)
    {
        current_attempt_.reset();
    }
}

void pending_response::queue_for_claim(backend_call p_call)
{
    {
        std::lock_guard lock(mutex_);
        parts_.emplace_back(call_to_claim{std::move(p_call)});
    }
    part_available_.notify_one();
}

void pending_response::finish(response_end p_end)
{
    {
        std::lock_guard lock(mutex_);
        current_attempt_.reset();
        response_end_ = std::move(p_end);
    }
    part_available_.notify_one();
}

std::optional<pending_response::part>
pending_response::next_part(duration p_wait)
{
    std::unique_lock lock(mutex_);
    part_available_.wait_for(
        lock, p_wait, [this] { return !parts_.empty() || response_end_; });
    if (!parts_.empty())
    {
        part first = std::move(parts_.front());
        parts_.pop_front();
        return first;
    }
    if (response_end_)
    {
        return part{*response_end_};
    }
    return std::nullopt;
}

std::uint32_t pending_response::delivered_events() const
{
    std::lock_guard lock(mutex_);
    return delivered_events_;
}

endpoint pending_response::last_server() const
{
    std::lock_guard lock(mutex_);
    return last_server_;
}

void pending_response::on_head(attempt_id p_attempt, int p_status,
                               const std::string& p_content_type)
{
    {
        std::lock_guard lock(mutex_);
        if (current_attempt_ != p_attempt)
        {
            return;
        }
        if (delivered_events_ > 0)
        {
            // An error, which has no place in the middle of a stream.
            brought_error_ = true;
            return;
        }
        parts_.emplace_back(head{p_status, p_content_type});
    }
    part_available_.notify_one();
}

bool pending_response::on_bytes(attempt_id p_attempt,
                                const std::string& p_bytes,
                                std::uint32_t p_events)
{
    std::uint32_t to_report = 0;
    {
        std::lock_guard lock(mutex_);
        if (current_attempt_ != p_attempt || brought_error_)
        {
            return true;
        }
        if (parts_.size() >= max_queued_parts)
        {
            return false;
        }
        parts_.emplace_back(chunk{p_bytes, p_events});
        delivered_events_ += p_events;
        unreported_events_ += p_events;
        if (!first_event_reported_ || unreported_events_ >= events_per_report)
        {
            first_event_reported_ = true;
            to_report = std::exchange(unreported_events_, 0);
        }
    }
    part_available_.notify_one();
    if (to_report > 0)
    {
        listener_.on_output_(p_attempt, to_report);
    }
    return true;
}

void pending_response::on_end(attempt_id p_attempt, const attempt_end& p_end)
{
    std::uint32_t to_report = 0;
    attempt_end end = p_end;
    {
        std::lock_guard lock(mutex_);
        const bool is_current = current_attempt_ == p_attempt;
        to_report = is_current ? std::exchange(unreported_events_, 0) : 0;
        if (is_current && brought_error_ &&
            end.kind_ == attempt_end::kind::completed)
        {
            end.kind_ = attempt_end::kind::broken;
        }
    }
    if (to_report > 0)
    {
        listener_.on_output_(p_attempt, to_report);
    }
    listener_.on_end_(p_attempt, end);
}

} // namespace peridotspar
