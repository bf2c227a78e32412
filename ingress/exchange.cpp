#include "ingress/exchange.hpp"

#include "platform/request_headers.hpp"

#include <algorithm>

namespace peridotspar::ingress
{

namespace
{

using namespace std::chrono_literals;

constexpr int first_redirect = 300;
constexpr int misdirected = 421;
constexpr int server_errors = 500;
constexpr int bad_gateway = 502;
constexpr int unavailable = 503;
constexpr int gateway_timeout = 504;
/// Sends of one request, those that servers turned away included.
constexpr unsigned most_sends = 3;
/// Tries of one request at servers that couldn't be reached.
constexpr unsigned most_unsent = 6;
/// Less than that isn't worth a send.
constexpr duration shortest_send = 30ms;
/// A server that may be given up on is, after a silence of so many targets.
constexpr int targets_of_silence = 3;
constexpr duration shortest_silence = 500ms;

} // namespace

exchange::exchange(exchange_host& p_host, exchange_plan p_plan,
                   std::shared_ptr<reply> p_reply)
    : host_(p_host),
      plan_(std::move(p_plan)),
      log_(plan_.terms_.attempt_, plan_.route_.name_),
      reply_(std::move(p_reply))
{
}

bool exchange::is_repeatable() const
{
    return plan_.route_.repeat_ != routing::repeat_rule::never;
}

bool exchange::may_resend() const
{
    return sends_ < most_sends && unsent_ < most_unsent &&
           host_.now() + shortest_send < plan_.work_.deadline_;
}

bool exchange::try_send(bool p_may_wait)
{
    const auto chosen = host_.placement().choose(plan_.work_, excluded_,
                                                 host_.now(), p_may_wait);
    if (!chosen)
    {
        return false;
    }
    send_to(*chosen);
    return true;
}

void exchange::send_to(const dispatch::placed& p_placed)
{
    const time_point now = host_.now();
    placed_ = p_placed;
    last_server_ = p_placed.server_.instance_.id_;
    state_ = state::sent;
    sent_at_ = now;
    first_sent_at_ = first_sent_at_.value_or(now);
    last_heard_ = now;
    ++sends_;
    routing::send_terms terms;
    terms.instance_ = p_placed.server_.instance_.id_;
    terms.time_left_ = plan_.work_.deadline_ - now;
    terms.account_ = plan_.account_;
    if (plan_.route_.stream_)
    {
        terms.urgency_ = plan_.work_.urgency_;
    }
    if (!p_placed.fetch_from_.empty())
    {
        terms.fetch_from_ = p_placed.fetch_from_;
    }
    if (begun_)
    {
        terms.resume_after_ = events_.last_id();
    }
    const auto& request = plan_.request_;
    std::string bytes =
        platform::backend_request_head(request.head_, p_placed.server_.address_,
                                       terms, request.body_.size()) +
        request.body_;
    log_.sent(plan_.work_, p_placed, sends_);
    host_.note_sent(plan_.work_, p_placed);
    call_ = host_.pool().send(
        p_placed.server_.instance_.key(), p_placed.server_.address_,
        std::move(bytes), request.head_.method_ == "HEAD", weak_from_this());
}

exchange::answer_use exchange::use_for(const http::answer_head& p_head,
                                       const routing::answer_terms& p_terms)
{
    if (p_terms.not_run_)
    {
        return answer_use::turned_away;
    }
    const bool failed = p_head.status_ >= server_errors;
    if (p_head.status_ < first_redirect && !p_terms.sealed_)
    {
        return answer_use::unproven;
    }
    if (begun_)
    {
        return failed ? answer_use::drop : answer_use::join;
    }
    const bool again = failed && is_repeatable() &&
                       runs_ < plan_.route_.max_attempts_ && may_resend() &&
                       host_.placement().count(plan_.work_.service_) > 1 &&
                       host_.take_resend(plan_.work_.service_);
    if (again)
    {
        return answer_use::drop;
    }
    const bool streams = plan_.route_.stream_ && !failed;
    return streams ? answer_use::relay : answer_use::collect;
}

bool exchange::on_head(const http::answer_head& p_head)
{
    const auto terms = platform::parse_response(p_head);
    if (terms.attempt_ && *terms.attempt_ != plan_.terms_.attempt_)
    {
        log_.foreign_answer(*terms.attempt_, placed_->server_.instance_.id_);
        return false;
    }
    last_heard_ = host_.now();
    if (!terms.not_run_)
    {
        ++runs_;
    }
    use_ = use_for(p_head, terms);
    head_ = p_head;
    if (use_ != answer_use::turned_away)
    {
        may_have_run_ = true;
        state_ = state::relaying;
        if (!plan_.route_.stream_)
        {
            note_first_answer();
        }
    }
    if (use_ == answer_use::relay)
    {
        begin_relay(p_head);
    }
    return true;
}

void exchange::begin_relay(const http::answer_head& p_head)
{
    begun_ = true;
    std::optional<std::uint64_t> length = p_head.length_;
    if (plan_.route_.repeat_ == routing::repeat_rule::continued)
    {
        length.reset(); // Another run may go on.
    }
    reply_->begin(p_head.status_, p_head.reason_,
                  platform::caller_response_headers(p_head), length);
}

void exchange::on_body(std::string p_bytes)
{
    const time_point now = host_.now();
    note_progress(now);
    const bool first = plan_.route_.stream_ && collected_.empty() &&
                       last_heard_ <= now && !placed_->answered_;
    last_heard_ = now;
    if (first)
    {
        note_first_answer();
    }
    switch (use_)
    {
    case answer_use::relay:
    case answer_use::join:
        if (plan_.route_.repeat_ == routing::repeat_rule::continued)
        {
            p_bytes = events_.take(p_bytes);
        }
        reply_->add(std::move(p_bytes));
        break;
    case answer_use::collect:
        collected_ += p_bytes;
        break;
    case answer_use::turned_away:
    case answer_use::drop:
    case answer_use::unproven:
        break;
    }
}

void exchange::note_first_answer()
{
    if (head_.status_ < server_errors) // A failure is no sign of health.
    {
        host_.placement().servers().note_first_answer(plan_.work_, *placed_,
                                                      last_heard_);
    }
}

void exchange::note_progress(time_point p_now)
{
    if (!first_part_at_)
    {
        first_part_at_ = p_now;
    }
    else
    {
        longest_pause_ = std::max(longest_pause_, p_now - last_heard_);
    }
}

void exchange::log_end(int p_status) const
{
    const time_point now = host_.now();
    const auto arrived = plan_.work_.arrived_;
    log_.answered(plan_.work_, {p_status, last_server_,
                                first_part_at_.value_or(now) - arrived,
                                longest_pause_, now - arrived, sends_});
}

void exchange::take_turned_away()
{
    const std::string server = placed_->server_.instance_.id_;
    log_.turned_away(server, head_.status_, host_.now() - sent_at_);
    excluded_.insert(server);
    end_call(head_.status_ == misdirected ? dispatch::send_result::absent
                                          : dispatch::send_result::refused);
    send_again(resend_reason::turned_away,
               "the server turned the request away");
}

void exchange::on_whole()
{
    const answer_use use = use_;
    const bool failed = head_.status_ >= server_errors;
    if (use == answer_use::turned_away)
    {
        take_turned_away();
        return;
    }
    if (use == answer_use::drop || use == answer_use::unproven)
    {
        excluded_.insert(placed_->server_.instance_.id_);
        end_call(dispatch::send_result::failed);
        send_again(resend_reason::may_have_run,
                   use == answer_use::drop
                       ? "the server failed"
                       : "the answer doesn't bear its server's mark");
        return;
    }
    end_call(failed ? dispatch::send_result::failed
                    : dispatch::send_result::answered);
    log_end(head_.status_);
    host_.note_good_end(plan_.fingerprint_);
    if (use == answer_use::collect)
    {
        reply_->begin(head_.status_, head_.reason_,
                      platform::caller_response_headers(head_),
                      collected_.size());
        reply_->add(std::move(collected_));
    }
    reply_->end();
    finish(request_result::answered);
}

void exchange::on_failure(backend::call_failure p_failure)
{
    fail_call(p_failure, p_failure == backend::call_failure::cut);
}

void exchange::fail_call(backend::call_failure p_failure, bool p_crashed)
{
    const bool sent = p_failure != backend::call_failure::unsent;
    const std::string server = placed_->server_.instance_.id_;
    log_.call_failed(server, sent, host_.now() - sent_at_);
    excluded_.insert(server);
    if (sent && state_ == state::sent)
    {
        ++runs_;
        may_have_run_ = true;
    }
    if (p_crashed)
    {
        host_.note_crash(plan_.fingerprint_);
    }
    end_call(sent ? dispatch::send_result::failed
                  : dispatch::send_result::absent);
    send_again(sent ? resend_reason::may_have_run : resend_reason::never_left,
               "the connection to the server broke");
}

void exchange::end_call(dispatch::send_result p_result)
{
    if (placed_)
    {
        host_.placement().servers().note_end(*placed_, p_result, host_.now());
    }
    placed_.reset();
    call_.reset();
}

void exchange::send_again(resend_reason p_why, const std::string& p_reason)
{
    events_.drop_partial();
    collected_.clear();
    state_ = state::waiting;
    const bool resumable =
        !begun_ || (plan_.route_.repeat_ == routing::repeat_rule::continued &&
                    !events_.last_id().empty());
    const bool allowed =
        p_why != resend_reason::may_have_run ||
        (is_repeatable() && runs_ < plan_.route_.max_attempts_);
    // What never left is no arrival; a drop of a failed answer has paid for
    // its further send already.
    const bool paid = p_why == resend_reason::never_left ||
                      (use_ == answer_use::drop && !begun_);
    if (p_why == resend_reason::never_left)
    {
        --sends_;
        ++unsent_;
    }
    use_ = answer_use::relay;
    const bool again = resumable && allowed && may_resend() &&
                       !host_.is_poison(plan_.fingerprint_) &&
                       (paid || host_.take_resend(plan_.work_.service_)) &&
                       try_send(false);
    if (!again)
    {
        give_up(may_have_run_ ? bad_gateway : unavailable, p_reason);
    }
}

void exchange::refuse(const std::string& p_reason, duration p_come_back)
{
    if (state_ == state::done)
    {
        return;
    }
    log_.refused(p_reason, p_come_back);
    reply_->send(platform::local_response(unavailable, plan_.terms_.attempt_,
                                          p_reason, p_come_back));
    finish(request_result::refused);
}

void exchange::give_up(int p_status, const std::string& p_reason)
{
    log_.given_up(p_status, p_reason, sends_, begun_);
    if (begun_)
    {
        reply_->abort();
        finish(request_result::failed);
        return;
    }
    if (p_status == unavailable)
    {
        refuse(p_reason, host_.come_back_in(plan_.work_));
        return;
    }
    reply_->send(platform::local_response(p_status, plan_.terms_.attempt_,
                                          p_reason, std::nullopt));
    finish(request_result::failed);
}

void exchange::on_caller_gone()
{
    if (state_ == state::done)
    {
        return;
    }
    const time_point now = host_.now();
    log_.abandoned({now - plan_.work_.arrived_, state_ != state::waiting,
                    last_server_, first_part_at_.has_value(),
                    now - last_heard_});
    if (const auto call = call_.lock())
    {
        call->close();
    }
    end_call(dispatch::send_result::dropped);
    finish(request_result::gone);
}

request_outcome exchange::outcome(request_result p_result) const
{
    const auto& work = plan_.work_;
    request_outcome told;
    told.route_ = plan_.route_.name_;
    told.account_ = plan_.account_ ? plan_.account_->value() : std::string();
    told.result_ = p_result;
    told.sends_ = sends_;
    told.waited_ = first_sent_at_.value_or(host_.now()) - work.arrived_;
    if (first_part_at_)
    {
        told.first_answer_ = *first_part_at_ - work.arrived_;
    }
    if (work.stream_ && first_part_at_)
    {
        told.longest_pause_ = longest_pause_;
    }
    told.on_time_ = p_result == request_result::answered &&
                    head_.status_ < server_errors && told.first_answer_ &&
                    *told.first_answer_ <= work.target_ &&
                    (!work.stream_ || longest_pause_ <= work.pause_target_);
    return told;
}

void exchange::finish(request_result p_result)
{
    const auto self = shared_from_this();
    host_.leave_line(*this);
    state_ = state::done;
    reply_.reset();
    host_.on_done(*this, outcome(p_result));
}

void exchange::tick(time_point p_now)
{
    if (state_ == state::done)
    {
        return;
    }
    if (p_now >= plan_.work_.deadline_)
    {
        if (const auto call = call_.lock())
        {
            call->close();
        }
        end_call(state_ == state::sent ? dispatch::send_result::failed
                                       : dispatch::send_result::dropped);
        give_up(may_have_run_ || sends_ > 0 ? gateway_timeout : unavailable,
                "the time for the answer is over");
        return;
    }
    check_silence(p_now);
}

void exchange::check_silence(time_point p_now)
{
    const bool is_out = state_ == state::sent || state_ == state::relaying;
    if (!is_out || !is_repeatable() ||
        runs_ + (state_ == state::sent ? 1 : 0) >= plan_.route_.max_attempts_)
    {
        return;
    }
    const duration usual =
        begun_ ? plan_.work_.pause_target_ : plan_.work_.target_;
    const duration longest =
        std::max(shortest_silence, usual * targets_of_silence);
    const duration silence =
        p_now - std::max(last_heard_, std::min(p_now, placed_->answer_at_));
    if (silence < longest)
    {
        return;
    }
    const auto call = call_.lock();
    if (!call)
    {
        return;
    }
    call->close();
    fail_call(backend::call_failure::cut, false);
}

} // namespace peridotspar::ingress
