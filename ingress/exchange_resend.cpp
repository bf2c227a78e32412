#include "ingress/exchange.hpp"

#include "platform/request_headers.hpp"

#include <algorithm>

// The part of an exchange that decides when a call is lost, and what to do
// then.

namespace peridotspar::ingress
{

namespace
{

using namespace std::chrono_literals;

constexpr int bad_gateway = 502;
constexpr int unavailable = 503;
/// Limit on the sends of one request, including those that servers rejected.
constexpr unsigned max_sends = 3;
/// Limit on the attempts of one request that failed before a byte was sent.
constexpr unsigned max_connect_failures = 6;
/// A resend with less time than this left isn't worthwhile.
constexpr duration min_send_time = 30ms;
/// If the request may run again, a server counts as stalled after a silence of
/// this many latency targets, and at least `min_stall_time`.
constexpr int stall_target_multiple = 3;
constexpr duration min_stall_time = 500ms;

} // namespace

bool exchange::may_resend() const
{
    return find_limit() == resend_obstacle::none;
}

resend_obstacle exchange::find_limit() const
{
    if (sends_ >= max_sends || connect_failures_ >= max_connect_failures)
    {
        return resend_obstacle::sends;
    }
    return owner_.now() + min_send_time < plan_.profile_.deadline_
               ? resend_obstacle::none
               : resend_obstacle::deadline;
}

resend_obstacle exchange::find_obstacle(resend_reason p_reason) const
{
    const bool is_resumable_now =
        !response_begun_ || (is_resumable() && events_.is_resumable());
    if (!is_resumable_now)
    {
        return resend_obstacle::not_resumable;
    }
    if (p_reason == resend_reason::may_have_run && !is_repeatable())
    {
        return resend_obstacle::not_repeatable;
    }
    if (p_reason == resend_reason::may_have_run &&
        possible_runs_ >= plan_.route_.max_attempts_)
    {
        return resend_obstacle::runs;
    }
    if (const auto limit = find_limit(); limit != resend_obstacle::none)
    {
        return limit;
    }
    // What the caller already has of a stream is worth another try.
    if (!response_begun_ && !owner_.can_finish(plan_.profile_))
    {
        return resend_obstacle::leaving;
    }
    return owner_.crashes().is_quarantined(plan_.suspects_)
               ? resend_obstacle::quarantine
               : resend_obstacle::none;
}

void exchange::fail_call(call_end p_end)
{
    const bool sent = p_end != call_end::not_connected;
    const std::string server = assignment_->server_.instance_.id_;
    const time_point now = owner_.now();
    log_.call_failed({server, p_end, sent, now - sent_at_,
                      now - answer_begun_at_.value_or(now),
                      now - last_activity_at_, stall_limit(), scanner_.events(),
                      plan_.profile_.parts_});
    excluded_servers_.insert(server);
    if (sent && state_ == state::sent)
    {
        ++possible_runs_;
        may_have_run_ = true;
    }
    if (p_end == call_end::connection)
    {
        record_lost_call();
    }
    end_call(sent ? dispatch::send_result::failed
                  : dispatch::send_result::absent);
    resend_or_give_up(sent ? resend_reason::may_have_run
                           : resend_reason::not_sent,
                      "the connection to the server broke");
}

void exchange::resend_or_give_up(resend_reason p_resend_reason,
                                 const std::string& p_reason)
{
    events_.drop_partial();
    buffered_body_ = {};
    next_kept_check_ = kept_check_step;
    state_ = state::waiting;
    // Failed connection attempts aren't charged to the retry budget, since no
    // server saw the request. A discarded failure was charged when it was
    // discarded.
    const bool needs_no_budget =
        p_resend_reason == resend_reason::not_sent ||
        (action_ == response_action::discard && !response_begun_);
    if (p_resend_reason == resend_reason::not_sent)
    {
        --sends_;
        ++connect_failures_;
    }
    action_ = response_action::relay;
    auto obstacle = find_obstacle(p_resend_reason);
    if (obstacle == resend_obstacle::none && !needs_no_budget &&
        !owner_.try_consume_resend(plan_.profile_.service_))
    {
        obstacle = resend_obstacle::budget;
    }
    if (obstacle == resend_obstacle::none && !send_again(p_resend_reason))
    {
        obstacle = resend_obstacle::no_server;
    }
    if (obstacle != resend_obstacle::none)
    {
        give_up(may_have_run_ ? bad_gateway : unavailable, p_reason, obstacle);
    }
}

bool exchange::send_again(resend_reason p_reason)
{
    const bool not_reached = p_reason == resend_reason::not_sent;
    return (should_hand_over() && hand_over("no server was reached")) ||
           try_send(false) ||
           (not_reached && hand_over("no server is left to try"));
}

void exchange::give_up(int p_status, const std::string& p_reason,
                       resend_obstacle p_obstacle)
{
    log_.given_up(p_status, p_reason, sends_, response_begun_, p_obstacle);
    if (response_begun_)
    {
        writer_->abort();
        finish(request_result::failed);
        return;
    }
    if (p_status == unavailable)
    {
        refuse(p_reason, owner_.retry_after(plan_.profile_));
        return;
    }
    writer_->send(platform::local_response(p_status, plan_.metadata_.attempt_,
                                           p_reason, std::nullopt));
    finish(request_result::failed);
}

void exchange::check_stalled(time_point p_now)
{
    const bool is_running = state_ == state::sent || state_ == state::relaying;
    if (!is_running || !is_repeatable() ||
        possible_runs_ + (state_ == state::sent ? 1 : 0) >=
            plan_.route_.max_attempts_)
    {
        return;
    }
    // Silence is expected until the estimated time of the response.
    const duration silence =
        p_now - std::max(last_activity_at_,
                         std::min(p_now, assignment_->expected_answer_at_));
    if (silence < stall_limit())
    {
        return;
    }
    break_off_call(call_end::silence);
}

duration exchange::stall_limit() const
{
    const duration target = response_begun_ ? plan_.profile_.pause_target_
                                            : plan_.profile_.answer_target_;
    return std::max(min_stall_time, target * stall_target_multiple);
}

void exchange::break_off_call(call_end p_end)
{
    const auto connection = connection_.lock();
    if (!connection)
    {
        return;
    }
    connection->close();
    fail_call(p_end);
}

} // namespace peridotspar::ingress
