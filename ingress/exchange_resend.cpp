#include "ingress/exchange.hpp"

#include "dispatch/admission_controller.hpp"
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
/// Attempts to resume a stream without a pause between them.
constexpr unsigned max_immediate_resumes = 2;
/// Between two attempts to resume a stream that waits for a server.
constexpr duration server_wait_interval = 200ms;
/// Between two attempts to resume a stream that waits for the retry budget:
/// peers answer within some milliseconds.
constexpr duration budget_wait_interval = 50ms;
/// Between two decisions about one silent server.
constexpr duration stall_check_interval = 50ms;

duration wait_interval(resend_obstacle p_obstacle)
{
    return p_obstacle == resend_obstacle::budget ? budget_wait_interval
                                                 : server_wait_interval;
}

} // namespace

bool exchange::may_resend() const
{
    return find_limit() == resend_obstacle::none;
}

resend_obstacle exchange::find_limit() const
{
    const bool is_exhausted =
        sends_ >= max_sends || connect_failures_ >= max_connect_failures;
    // A stream that waits to be resumed tries again at intervals.
    if (is_exhausted && !response_begun_)
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
        possible_runs_ + (state_ == state::sent ? 1 : 0) >=
            plan_.route_.max_attempts_)
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

void exchange::record_failed_call(call_end p_end)
{
    const bool sent = p_end != call_end::not_connected;
    const std::string server = assignment_->server_.instance_.id_;
    const time_point now = owner_.now();
    log_.call_failed({server, p_end, sent, now - sent_at_,
                      now - answer_begun_at_.value_or(now),
                      now - last_activity_at_,
                      dispatch::stall_limit(silence_target()),
                      scanner_.events(), plan_.profile_.parts_});
    excluded_servers_.insert(server);
    const bool may_recover =
        p_end == call_end::silence || p_end == call_end::not_connected;
    if (!may_recover)
    {
        failed_servers_.insert(server);
    }
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
}

void exchange::fail_call(call_end p_end)
{
    record_failed_call(p_end);
    resend_or_give_up(p_end == call_end::not_connected
                          ? resend_reason::not_sent
                          : resend_reason::may_have_run,
                      "the connection to the server broke");
}

void exchange::drop_response()
{
    events_.drop_partial();
    buffered_body_ = {};
    next_kept_check_ = kept_check_step;
    state_ = state::waiting;
    action_ = response_action::relay;
}

bool exchange::try_consume_budget()
{
    const auto& service = plan_.profile_.service_;
    return response_begun_ ? owner_.try_consume_resume(service, plan_.id_)
                           : owner_.try_consume_resend(service);
}

resend_obstacle exchange::try_resend(resend_reason p_reason,
                                     bool p_needs_budget)
{
    const auto obstacle = find_obstacle(p_reason);
    if (obstacle != resend_obstacle::none)
    {
        return obstacle;
    }
    if (response_begun_)
    {
        return try_resume(p_needs_budget);
    }
    if (p_needs_budget && !try_consume_budget())
    {
        return resend_obstacle::budget;
    }
    return send_again(p_reason) ? resend_obstacle::none
                                : resend_obstacle::no_server;
}

resend_obstacle exchange::try_resume(bool p_needs_budget)
{
    const bool needs_room = failed_resumes_ > 0;
    const auto chosen = choose_server(
        needs_room,
        excluded_with(summarize_responses("", owner_.now()).doubtful_));
    if (!chosen)
    {
        return resend_obstacle::no_server;
    }
    if (p_needs_budget && !try_consume_budget())
    {
        return resend_obstacle::budget;
    }
    if (writer_->is_caller_gone())
    {
        on_caller_disconnected();
        return resend_obstacle::none;
    }
    send_to(*chosen);
    return resend_obstacle::none;
}

void exchange::resend_or_give_up(resend_reason p_resend_reason,
                                 const std::string& p_reason)
{
    // Failed connection attempts aren't charged to the retry budget, since no
    // server saw the request. A discarded failure was charged when its head
    // arrived.
    const bool needs_budget =
        p_resend_reason != resend_reason::not_sent &&
        (action_ != response_action::discard || response_begun_);
    drop_response();
    if (p_resend_reason == resend_reason::not_sent)
    {
        --sends_;
        ++connect_failures_;
    }
    const bool is_paced =
        response_begun_ && failed_resumes_++ >= max_immediate_resumes;
    const auto obstacle = is_paced ? resend_obstacle::no_server
                                   : try_resend(p_resend_reason, needs_budget);
    if (obstacle == resend_obstacle::none)
    {
        return;
    }
    if (may_wait_for(obstacle))
    {
        interruption_ = {p_resend_reason, obstacle, p_reason,
                         owner_.now() + wait_interval(obstacle)};
        log_.interrupted(last_server_, obstacle);
        return;
    }
    give_up(may_have_run_ ? bad_gateway : unavailable, p_reason, obstacle);
}

bool exchange::may_wait_for(resend_obstacle p_obstacle) const
{
    if (!response_begun_)
    {
        return false;
    }
    return p_obstacle == resend_obstacle::budget ||
           (p_obstacle == resend_obstacle::no_server &&
            owner_.placement().has_candidate(plan_.profile_, failed_servers_));
}

void exchange::check_interruption(time_point p_now)
{
    if (!interruption_ || p_now < interruption_->next_try_)
    {
        return;
    }
    // Servers that were full may have room again.
    excluded_servers_ = failed_servers_;
    const auto waiting = *interruption_;
    const auto obstacle =
        try_resend(waiting.reason_, waiting.reason_ != resend_reason::not_sent);
    if (obstacle == resend_obstacle::none)
    {
        return;
    }
    if (may_wait_for(obstacle))
    {
        interruption_->obstacle_ = obstacle;
        interruption_->next_try_ = p_now + wait_interval(obstacle);
        return;
    }
    give_up(bad_gateway, waiting.text_, obstacle);
}

void exchange::resend_failed()
{
    kept_failure_ = {std::move(response_head_), std::move(buffered_body_),
                     last_server_};
    excluded_servers_.insert(assignment_->server_.instance_.id_);
    end_call(dispatch::send_result::failed);
    resend_or_give_up(resend_reason::may_have_run, "the server failed");
}

void exchange::deliver_kept_failure()
{
    response_head_ = std::move(kept_failure_->head_);
    buffered_body_ = std::move(kept_failure_->body_);
    last_server_ = kept_failure_->server_;
    log_answered(response_head_.status_);
    deliver_buffered();
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
    const bool is_known = p_obstacle != resend_obstacle::none;
    log_.given_up(p_status, p_reason, sends_, response_begun_,
                  is_known || !interruption_ ? p_obstacle
                                             : interruption_->obstacle_);
    if (response_begun_)
    {
        writer_->abort();
        finish(request_result::failed);
        return;
    }
    if (kept_failure_)
    {
        deliver_kept_failure();
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
    if (!is_running || !is_repeatable() || p_now < next_stall_check_)
    {
        return;
    }
    // Silence is expected until the estimated time of the response. While this
    // node was suspended it couldn't receive anything.
    const time_point silent_since =
        std::max({last_activity_at_, owner_.awake_since(),
                  std::min(p_now, assignment_->expected_answer_at_)});
    const duration silence = p_now - silent_since;
    if (silence < dispatch::stall_limit(silence_target()))
    {
        return;
    }
    next_stall_check_ = p_now + stall_check_interval;
    const auto& server = assignment_->server_;
    auto& servers = owner_.placement().servers();
    const auto responses =
        summarize_responses(server.instance_.id_, silent_since);
    const auto call = describe_silence(
        silence, servers.responding_time(server.instance_.id_, silent_since),
        responses.others_respond_);
    if (!std::exchange(stalled_, true))
    {
        log_.stalled(server.instance_.id_, call);
    }
    if (call.others_respond_ && !std::exchange(stall_recorded_, true))
    {
        servers.record_stalled(server.instance_.id_, p_now);
    }
    if (dispatch::should_leave(call))
    {
        leave_silent_server(responses.doubtful_, silence);
    }
}

dispatch::server_table::response_summary
exchange::summarize_responses(const std::string& p_server,
                              time_point p_since) const
{
    return owner_.placement().servers().summarize_responses(
        plan_.profile_.service_, p_server, p_since,
        dispatch::stall_limit(silence_target()) / 2, owner_.now());
}

std::set<std::string>
exchange::excluded_with(const std::set<std::string>& p_more) const
{
    auto excluded = excluded_servers_;
    excluded.insert(p_more.begin(), p_more.end());
    return excluded;
}

void exchange::leave_silent_server(const std::set<std::string>& p_doubtful,
                                   duration p_silence)
{
    auto obstacle = find_obstacle(resend_reason::may_have_run);
    const bool to_peer = should_hand_over() && may_hand_over();
    std::optional<dispatch::assignment> chosen;
    if (obstacle == resend_obstacle::none && !to_peer)
    {
        auto excluded = excluded_with(p_doubtful);
        excluded.insert(assignment_->server_.instance_.id_);
        chosen = choose_server(true, excluded);
        obstacle = chosen ? resend_obstacle::none : resend_obstacle::no_server;
    }
    // A failure that is being received was charged with its head.
    const bool is_charged =
        action_ == response_action::discard && !response_begun_;
    if (obstacle == resend_obstacle::none && !is_charged &&
        !try_consume_budget())
    {
        obstacle = resend_obstacle::budget;
    }
    if (obstacle != resend_obstacle::none)
    {
        record_stay(obstacle, p_silence);
        return;
    }
    move_call(chosen);
}

void exchange::move_call(const std::optional<dispatch::assignment>& p_chosen)
{
    if (writer_->is_caller_gone())
    {
        on_caller_disconnected();
        return;
    }
    if (const auto connection = connection_.lock())
    {
        connection->close();
    }
    record_failed_call(call_end::silence);
    drop_response();
    if (p_chosen)
    {
        send_to(*p_chosen);
        return;
    }
    if (!hand_over("no server was reached"))
    {
        give_up(bad_gateway, "the connection to the server broke",
                resend_obstacle::no_server);
    }
}

void exchange::record_stay(resend_obstacle p_obstacle, duration p_silence)
{
    if (std::exchange(stay_obstacle_, p_obstacle) != p_obstacle)
    {
        log_.stays(last_server_, p_obstacle, p_silence);
    }
}

void exchange::end_stall(time_point p_now)
{
    if (!std::exchange(stalled_, false))
    {
        return;
    }
    stall_recorded_ = false;
    stay_obstacle_ = resend_obstacle::none;
    log_.stall_ended(last_server_, p_now - last_activity_at_);
}

duration exchange::silence_target() const
{
    return response_begun_ ? plan_.profile_.pause_target_
                           : plan_.profile_.answer_target_;
}

duration exchange::caller_patience() const
{
    return dispatch::stream_start_timeout(plan_.profile_.answer_target_,
                                          plan_.profile_.pause_target_);
}

dispatch::silent_call exchange::describe_silence(duration p_silence,
                                                 duration p_responding_time,
                                                 bool p_others_respond) const
{
    dispatch::silent_call call;
    call.silence_ = p_silence;
    call.target_ = silence_target();
    call.patience_ = caller_patience();
    call.begun_ = response_begun_;
    call.server_responding_time_ = p_responding_time;
    call.others_respond_ = p_others_respond;
    return call;
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
