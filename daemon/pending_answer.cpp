#include "daemon/pending_answer.hpp"

#include <utility>

namespace peridotspar
{

namespace
{

constexpr std::size_t most_parts = 256;
/// The first event is told at once, since the decision times it.
constexpr std::uint32_t events_told_together = 4;

} // namespace

pending_answer::pending_answer(request_id p_id, call_template p_call,
                               listener p_listener)
    : id_(p_id), call_(std::move(p_call)), listener_(std::move(p_listener))
{
}

backend_call pending_answer::begin(attempt_id p_attempt,
                                   const endpoint& p_server, tier p_priority)
{
    backend_call made;
    made.attempt_ = p_attempt;
    made.server_ = p_server;
    made.request_.method_ = call_.method_;
    made.request_.target_ = call_.target_;
    made.request_.headers_ = call_.headers_;
    made.request_.body_ = call_.body_;
    made.request_.timeout_ = call_.timeout_;
    made.event_stream_ = call_.engine_;
    made.may_resend_ = call_.idempotent_;
    std::lock_guard lock(mutex_);
    current_ = p_attempt;
    told_ = false;
    untold_ = 0;
    server_ = p_server;
    if (call_.engine_)
    {
        // The body ends with the brace of its object.
        made.request_.body_.pop_back();
        made.request_.body_ +=
            ",\"priority\":" + std::to_string(p_priority.value()) +
            ",\"resume_from\":" + std::to_string(delivered_) + "}";
    }
    else
    {
        // A plain answer can't be resumed; it starts again.
        parts_.clear();
    }
    return made;
}

void pending_answer::drop(attempt_id p_attempt)
{
    std::lock_guard lock(mutex_);
    if (current_ == p_attempt)
    {
        current_.reset();
    }
}

void pending_answer::hand_over(backend_call p_call)
{
    {
        std::lock_guard lock(mutex_);
        parts_.emplace_back(claim_call{std::move(p_call)});
    }
    filled_.notify_one();
}

void pending_answer::end(ending p_ending)
{
    {
        std::lock_guard lock(mutex_);
        current_.reset();
        ending_ = std::move(p_ending);
    }
    filled_.notify_one();
}

std::optional<pending_answer::part> pending_answer::next(duration p_wait)
{
    std::unique_lock lock(mutex_);
    filled_.wait_for(lock, p_wait,
                     [this] { return !parts_.empty() || ending_; });
    if (!parts_.empty())
    {
        part first = std::move(parts_.front());
        parts_.pop_front();
        return first;
    }
    if (ending_)
    {
        return part{*ending_};
    }
    return std::nullopt;
}

std::uint32_t pending_answer::delivered() const
{
    std::lock_guard lock(mutex_);
    return delivered_;
}

endpoint pending_answer::server() const
{
    std::lock_guard lock(mutex_);
    return server_;
}

void pending_answer::on_head(attempt_id p_attempt, int p_status,
                             const std::string& p_content_type)
{
    {
        std::lock_guard lock(mutex_);
        if (current_ != p_attempt)
        {
            return;
        }
        parts_.emplace_back(head{p_status, p_content_type});
    }
    filled_.notify_one();
}

bool pending_answer::on_bytes(attempt_id p_attempt, const std::string& p_bytes,
                              std::uint32_t p_events)
{
    std::uint32_t tell = 0;
    {
        std::lock_guard lock(mutex_);
        if (current_ != p_attempt)
        {
            return true;
        }
        if (parts_.size() >= most_parts)
        {
            return false;
        }
        parts_.emplace_back(bytes{p_bytes, p_events});
        delivered_ += p_events;
        untold_ += p_events;
        if (!told_ || untold_ >= events_told_together)
        {
            told_ = true;
            tell = std::exchange(untold_, 0);
        }
    }
    filled_.notify_one();
    if (tell > 0)
    {
        listener_.on_output_(p_attempt, tell);
    }
    return true;
}

void pending_answer::on_end(attempt_id p_attempt, const attempt_end& p_end)
{
    std::uint32_t tell = 0;
    {
        std::lock_guard lock(mutex_);
        tell = current_ == p_attempt ? std::exchange(untold_, 0) : 0;
    }
    if (tell > 0)
    {
        listener_.on_output_(p_attempt, tell);
    }
    listener_.on_end_(p_attempt, p_end);
}

} // namespace peridotspar
