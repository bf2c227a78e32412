#include "ingress/exchange.hpp"

#include "platform/request_headers.hpp"

#include <algorithm>

#include <xxhash.h>

namespace peridotspar::ingress
{

namespace
{

using namespace std::chrono_literals;

constexpr std::string_view content_type = "Content-Type";
constexpr int first_success = 200;
constexpr int first_redirect = 300;
constexpr int misdirected = 421;
constexpr int first_server_error = 500;
constexpr int unavailable = 503;
constexpr int gateway_timeout = 504;
/// A server whose system hasn't acknowledged a request for so long is hardly
/// reachable, however long the answer may take.
constexpr duration max_acknowledgement_time = 400ms;
constexpr duration acknowledgement_check_interval = 200ms;
/// Events are held for this long at most until the origin of their stream is in
/// the store, which answers in milliseconds.
constexpr duration max_event_hold = 400ms;
/// Added to the time that a caller waits: it may take up a stream meanwhile.
constexpr duration origin_margin = 2s;
/// An answer's sender has to wait from so many bytes on that the caller hasn't
/// taken, until there are so few.
constexpr std::size_t max_unsent_bytes = 64U << 10U;
constexpr std::size_t min_unsent_bytes = 16U << 10U;
/// A server that is sound this long after it began its answer wasn't made to
/// crash by a part of the prompt.
constexpr duration min_answering_time = 100ms;

} // namespace

exchange::exchange(exchange_owner& p_owner, exchange_plan p_plan,
                   std::shared_ptr<response_writer> p_writer)
    : owner_(p_owner),
      plan_(std::move(p_plan)),
      log_(plan_.metadata_.attempt_, plan_.route_.name_),
      writer_(std::move(p_writer))
{
}

bool exchange::is_repeatable() const
{
    return plan_.route_.resend_mode_ != routing::resend_mode::never;
}

std::optional<dispatch::assignment>
exchange::choose_server(bool p_may_wait,
                        const std::set<std::string>& p_excluded)
{
    auto& placement = owner_.placement();
    const time_point now = owner_.now();
    const auto main = owner_.streams().main_version_of(plan_.profile_.service_);
    const bool prefers_main = is_resumable() && main &&
                              owner_.streams().is_store_failing() &&
                              plan_.profile_.server_version_.empty() &&
                              plan_.route_.services_.size() == 1;
    if (prefers_main)
    {
        // A stream at another version would need a record in the store.
        auto at_main = plan_.profile_;
        at_main.server_version_ = *main;
        if (auto chosen =
                placement.choose(at_main, p_excluded, now, p_may_wait))
        {
            return chosen;
        }
    }
    return placement.choose(plan_.profile_, p_excluded, now, p_may_wait);
}

bool exchange::try_send(bool p_may_wait)
{
    if (p_may_wait &&
        !owner_.link().may_send(plan_.profile_.message_bytes_, owner_.now()))
    {
        return false;
    }
    const auto chosen = choose_server(p_may_wait, excluded_servers_);
    if (!chosen)
    {
        return false;
    }
    if (writer_->is_caller_gone())
    {
        on_caller_disconnected();
        return true;
    }
    send_to(*chosen);
    return true;
}

bool exchange::takes_up_stream() const
{
    return is_resumable() && !plan_.metadata_.resume_after_.empty();
}

bool exchange::require_origin(const routing::stream_origin& p_origin)
{
    const auto& shares = plan_.route_.services_;
    const bool leads_there =
        std::any_of(shares.begin(), shares.end(),
                    [&](const auto& p_share)
                    { return p_share.service_ == p_origin.service_; });
    if (leads_there)
    {
        plan_.profile_.service_ = p_origin.service_;
        plan_.profile_.server_version_ = p_origin.version_;
    }
    return leads_there;
}

void exchange::record_origin()
{
    if (!is_resumable() || takes_up_stream() || response_begun_)
    {
        return;
    }
    const auto& server = assignment_->server_;
    owner_.streams().record_begin(
        plan_.metadata_.attempt_, {server.service_, server.version_},
        plan_.route_.services_.size() == 1,
        plan_.profile_.arrived_ +
            plan_.metadata_.time_left_.value_or(plan_.profile_.deadline_ -
                                                plan_.profile_.arrived_) +
            origin_margin,
        owner_.now());
}

void exchange::send_to(const dispatch::assignment& p_assignment)
{
    const time_point now = owner_.now();
    assignment_ = p_assignment;
    server_key_ = quarantine::key_of(p_assignment.server_.instance_.key());
    last_server_ = p_assignment.server_.instance_.id_;
    state_ = state::sent;
    sent_at_ = now;
    first_sent_at_ = first_sent_at_.value_or(now);
    last_activity_at_ = now;
    next_acknowledgement_check_ = now + max_acknowledgement_time;
    ++sends_;
    record_origin();
    routing::forward_metadata metadata;
    scanner_ = {};
    answer_begun_at_.reset();
    answer_continued_ = false;
    stalled_ = false;
    stall_recorded_ = false;
    stay_obstacle_ = resend_obstacle::none;
    interruption_.reset();
    metadata.instance_ = p_assignment.server_.instance_.id_;
    metadata.time_left_ = plan_.profile_.deadline_ - now;
    metadata.account_ = plan_.account_;
    if (plan_.route_.stream_)
    {
        metadata.urgency_ = plan_.profile_.urgency_;
    }
    if (!p_assignment.fetch_from_.empty())
    {
        metadata.fetch_from_ = p_assignment.fetch_from_;
    }
    if (response_begun_)
    {
        metadata.resume_after_ = events_.last_event_id();
    }
    const auto& request = plan_.request_;
    std::string bytes = platform::backend_request_head(
                            request.head_, p_assignment.server_.address_,
                            metadata, request.body_.size()) +
                        request.body_;
    owner_.link().record_sent(bytes.size(), now);
    log_.sent(plan_.profile_, p_assignment, sends_,
              response_begun_ ? plan_.metadata_.attempt_
                              : plan_.metadata_.resumed_attempt_);
    owner_.record_sent(plan_.profile_, p_assignment);
    connection_ = owner_.pool().send(
        p_assignment.server_.instance_.key(), p_assignment.server_.address_,
        std::move(bytes), request.head_.method_ == "HEAD", weak_from_this());
}

exchange::response_action
exchange::choose_action(const http::response_head& p_head,
                        const routing::response_metadata& p_metadata)
{
    if (p_metadata.not_run_)
    {
        return response_action::rejected;
    }
    const bool failed = p_head.status_ >= first_server_error;
    if (p_head.status_ < first_redirect && !p_metadata.sealed_)
    {
        return response_action::unsealed;
    }
    if (response_begun_)
    {
        return is_event_stream(p_head) ? response_action::resume
                                       : response_action::discard;
    }
    const bool resend =
        failed && is_repeatable() &&
        possible_runs_ < plan_.route_.max_attempts_ && may_resend() &&
        owner_.placement().available_servers(plan_.profile_.service_) > 1 &&
        owner_.try_consume_resend(plan_.profile_.service_);
    if (resend)
    {
        return response_action::discard;
    }
    const bool is_streamed = plan_.route_.stream_ && !failed;
    return is_streamed ? response_action::relay : response_action::buffer;
}

bool exchange::on_head(const http::response_head& p_head)
{
    const auto metadata = platform::parse_response(p_head);
    if (!metadata.attempt_)
    {
        // It may belong to any request, so it proves nothing of this one.
        log_.unidentified_response(p_head.status_,
                                   assignment_->server_.instance_.id_);
        break_off_call(call_end::unidentified);
        return true;
    }
    if (*metadata.attempt_ != plan_.metadata_.attempt_)
    {
        log_.foreign_response(*metadata.attempt_,
                              assignment_->server_.instance_.id_);
        return false;
    }
    end_stall(owner_.now());
    last_activity_at_ = owner_.now();
    record_contact();
    record_wishes(metadata);
    if (!metadata.not_run_)
    {
        ++possible_runs_;
    }
    action_ = choose_action(p_head, metadata);
    response_head_ = p_head;
    scanner_ = {};
    body_bytes_ = 0;
    if (action_ != response_action::rejected)
    {
        may_have_run_ = true;
        state_ = state::relaying;
        if (!plan_.route_.stream_)
        {
            report_first_response();
        }
    }
    if (action_ == response_action::relay)
    {
        begin_relay(p_head);
    }
    return true;
}

void exchange::record_contact()
{
    const auto& server = assignment_->server_;
    owner_.reach().record_contact(server.service_, server.instance_.id_,
                                  owner_.now());
    owner_.placement().servers().record_response(server.instance_.id_,
                                                 owner_.now());
    if (const auto connection = connection_.lock())
    {
        owner_.crashes().record_alive(server_key_, connection->connected_at(),
                                      owner_.now());
    }
}

void exchange::record_wishes(const routing::response_metadata& p_metadata)
{
    const auto& instance = assignment_->server_.instance_;
    if (!p_metadata.instance_.empty() && p_metadata.instance_ != instance.id_)
    {
        return; // Another server at the address.
    }
    auto& placement = owner_.placement();
    placement.limits().record_response(instance.key(), p_metadata.limit_per_s_,
                                       last_activity_at_);
    placement.brittle().record_response(
        instance.key(), p_metadata.max_rejected_per_s_, last_activity_at_);
    if (p_metadata.leaving_)
    {
        placement.servers().record_leaving(instance.key(), true);
    }
    if (p_metadata.pause_)
    {
        placement.record_pause(instance.id_, *p_metadata.pause_,
                               last_activity_at_);
    }
}

void exchange::begin_relay(const http::response_head& p_head)
{
    response_begun_ = true;
    std::optional<std::uint64_t> length = p_head.content_length_;
    if (is_resumable())
    {
        length.reset(); // Another server may resume the stream.
        plan_.profile_.server_version_ = assignment_->server_.version_;
    }
    writer_->begin(p_head.status_, p_head.reason_,
                   platform::caller_response_headers(p_head), length);
    release_body();
}

void exchange::release_body()
{
    if (!is_resumable())
    {
        std::string().swap(plan_.request_.body_);
    }
}

void exchange::on_body(std::string p_bytes)
{
    const time_point now = owner_.now();
    record_contact();
    end_stall(now);
    failed_resumes_ = 0;
    update_progress(now);
    answer_begun_at_ = answer_begun_at_.value_or(now);
    check_answer_continues(now);
    scanner_.skip(p_bytes);
    body_bytes_ += p_bytes.size();
    if (body_bytes_ > max_response_bytes)
    {
        end_endless_response();
        return;
    }
    const bool is_first_part = plan_.route_.stream_ && buffered_body_.empty() &&
                               last_activity_at_ <= now &&
                               !assignment_->answered_;
    last_activity_at_ = now;
    if (is_first_part)
    {
        report_first_response();
    }
    switch (action_)
    {
    case response_action::relay:
    case response_action::resume:
        if (is_resumable())
        {
            write_events(events_.feed(p_bytes));
            if (events_.is_out_of_order())
            {
                log_.out_of_order(last_server_, events_.last_event_id());
                break_off_call(call_end::out_of_order);
            }
            break;
        }
        writer_->write_body(std::move(p_bytes));
        break;
    case response_action::buffer:
        buffered_body_ += p_bytes;
        break;
    case response_action::discard:
        if (!response_begun_)
        {
            buffered_body_ += p_bytes;
        }
        break;
    case response_action::rejected:
    case response_action::unsealed:
        break;
    }
    pause_if_unsent();
    check_kept_bytes();
}

void exchange::end_endless_response()
{
    log_.too_long(last_server_, body_bytes_);
    const auto connection = connection_.lock();
    if (action_ == response_action::rejected && connection)
    {
        // Its head says that the request didn't run.
        connection->close();
        handle_rejection();
        return;
    }
    break_off_call(call_end::too_long);
}

void exchange::pause_if_unsent()
{
    const auto connection = connection_.lock();
    if (state_ == state::done || paused_ || !connection ||
        writer_->unsent_bytes() + held_events_.size() <= max_unsent_bytes)
    {
        return;
    }
    paused_ = true;
    connection->pause_reading();
}

void exchange::resume_if_sent(time_point p_now)
{
    if (!paused_)
    {
        return;
    }
    // Its caller is slow, not the sender.
    last_activity_at_ = p_now;
    const auto connection = connection_.lock();
    if (writer_->unsent_bytes() + held_events_.size() > min_unsent_bytes ||
        !connection)
    {
        return;
    }
    paused_ = false;
    connection->resume_reading();
}

void exchange::check_kept_bytes()
{
    if (kept_bytes() < next_kept_check_)
    {
        return;
    }
    next_kept_check_ = kept_bytes() + kept_check_step;
    owner_.limit_kept_bytes();
}

void exchange::break_off_long_answer()
{
    if (kept_failure_)
    {
        kept_failure_.reset();
        return;
    }
    log_.too_long(last_server_, body_bytes_);
    if (state_ != state::handed_over)
    {
        break_off_call(call_end::too_long);
        return;
    }
    if (const auto connection = connection_.lock())
    {
        connection->close();
    }
    on_peer_lost(true);
}

void exchange::write_events(std::string p_bytes)
{
    const auto& streams = owner_.streams();
    const bool is_held = held_since_.has_value() ||
                         (!takes_up_stream() && !streams.is_store_failing() &&
                          !streams.is_durable(plan_.metadata_.attempt_));
    if (!is_held || p_bytes.empty())
    {
        writer_->write_body(std::move(p_bytes));
        return;
    }
    held_since_ = held_since_.value_or(owner_.now());
    held_events_ += p_bytes;
    release_held_events();
}

void exchange::release_held_events()
{
    if (!held_since_)
    {
        return;
    }
    const duration held = owner_.now() - *held_since_;
    const bool is_durable =
        owner_.streams().is_durable(plan_.metadata_.attempt_);
    if (!is_durable && held < max_event_hold)
    {
        return;
    }
    log_.origin_stored(is_durable, held);
    held_since_.reset();
    writer_->write_body(std::exchange(held_events_, {}));
}

void exchange::check_answer_continues(time_point p_now)
{
    const bool is_answer = action_ == response_action::relay ||
                           action_ == response_action::resume ||
                           action_ == response_action::buffer;
    if (answer_continued_ || !is_answer ||
        p_now - *answer_begun_at_ < min_answering_time)
    {
        return;
    }
    answer_continued_ = true;
    const std::vector<quarantine::suspect> parts(plan_.suspects_.begin(),
                                                 plan_.suspects_.end() - 1);
    owner_.crashes().record_answer(parts, *answer_begun_at_, p_now);
}

void exchange::record_lost_call()
{
    const auto first =
        answer_continued_ ? plan_.suspects_.end() - 1 : plan_.suspects_.begin();
    owner_.record_lost_call(assignment_->server_,
                            {first, plan_.suspects_.end()});
}

void exchange::record_begun()
{
    if (std::exchange(begun_recorded_, true))
    {
        return;
    }
    owner_.record_begun(plan_.account_);
}

void exchange::record_begun_if_likely()
{
    // A plain server begins at once, unless it turns the request away. An
    // engine begins with the first token, which has no other sign.
    const bool is_likely = !plan_.route_.stream_ ||
                           owner_.now() >= assignment_->expected_answer_at_;
    if (is_likely)
    {
        record_begun();
    }
}

void exchange::report_first_response()
{
    record_begun();
    // A failure response doesn't count as a sign of the server's health.
    if (response_head_.status_ < first_server_error)
    {
        owner_.placement().servers().record_first_answer(
            plan_.profile_, *assignment_, last_activity_at_);
    }
}

void exchange::update_progress(time_point p_now)
{
    if (!first_part_at_)
    {
        first_part_at_ = p_now;
    }
    else
    {
        longest_pause_ = std::max(longest_pause_, p_now - last_activity_at_);
    }
}

void exchange::log_answered(int p_status) const
{
    const time_point now = owner_.now();
    const auto arrived = plan_.profile_.arrived_;
    log_.answered(plan_.profile_,
                  {p_status, last_server_,
                   first_part_at_.value_or(now) - arrived, longest_pause_,
                   now - arrived, sends_, http::framing_of(response_head_),
                   body_bytes_, scanner_.events(), scanner_.in_event()});
}

void exchange::handle_rejection()
{
    const std::string server = assignment_->server_.instance_.id_;
    log_.rejected(server, response_head_.status_, owner_.now() - sent_at_);
    excluded_servers_.insert(server);
    if (response_head_.status_ != misdirected)
    {
        owner_.placement().brittle().record_rejected(
            assignment_->server_.instance_.key(),
            std::max(1U, owner_.placement().servers().own_requests(server)) - 1,
            owner_.now());
    }
    end_call(response_head_.status_ == misdirected
                 ? dispatch::send_result::absent
                 : dispatch::send_result::refused);
    resend_or_give_up(resend_reason::rejected,
                      "the server turned the request away");
}

bool exchange::is_event_stream(const http::response_head& p_head) const
{
    const bool is_success =
        p_head.status_ >= first_success && p_head.status_ < first_redirect;
    const auto* type = http::find_header(p_head.headers_, content_type);
    if (type == nullptr)
    {
        return is_success && plan_.route_.stream_;
    }
    return is_success && http::is_event_stream_type(*type);
}

bool exchange::is_broken_off() const
{
    // Only the events show where a stream without framing ends.
    return response_head_.close_delimited_ && is_event_stream(response_head_) &&
           (scanner_.is_broken_off() || scanner_.events() == 0);
}

void exchange::on_complete()
{
    const response_action action = action_;
    const bool failed = response_head_.status_ >= first_server_error;
    if (action == response_action::rejected)
    {
        handle_rejection();
        return;
    }
    const bool ends_in_event = action == response_action::resume &&
                               is_resumable() && scanner_.in_event();
    if (is_broken_off() || ends_in_event)
    {
        log_.broken_off(last_server_, body_bytes_, scanner_.events());
        on_failure(backend::call_failure::connection_lost);
        return;
    }
    if (action == response_action::discard && !response_begun_)
    {
        resend_failed();
        return;
    }
    if (action == response_action::discard ||
        action == response_action::unsealed)
    {
        excluded_servers_.insert(assignment_->server_.instance_.id_);
        end_call(dispatch::send_result::failed);
        resend_or_give_up(resend_reason::may_have_run,
                          action == response_action::discard
                              ? "the server failed"
                              : "the answer doesn't bear its server's mark");
        return;
    }
    end_call(failed ? dispatch::send_result::failed
                    : dispatch::send_result::answered);
    log_answered(response_head_.status_);
    if (!failed)
    {
        const time_point now = owner_.now();
        owner_.crashes().record_answer(plan_.suspects_,
                                       answer_begun_at_.value_or(now), now);
    }
    if (action == response_action::buffer)
    {
        deliver_buffered();
        return;
    }
    // A complete stream isn't taken up.
    held_events_ += events_.take_partial();
    writer_->write_body(std::exchange(held_events_, {}));
    writer_->end();
    finish(request_result::answered);
}

void exchange::deliver_buffered()
{
    writer_->begin(response_head_.status_, response_head_.reason_,
                   platform::caller_response_headers(response_head_),
                   buffered_body_.size());
    writer_->write_body(std::move(buffered_body_));
    writer_->end();
    finish(request_result::answered);
}

void exchange::on_failure(backend::call_failure p_failure)
{
    if (p_failure != backend::call_failure::malformed)
    {
        const auto& server = assignment_->server_;
        owner_.reach().record_failed(server.service_, server.instance_.id_,
                                     owner_.now());
    }
    switch (p_failure)
    {
    case backend::call_failure::unsent:
        fail_call(call_end::not_connected);
        break;
    case backend::call_failure::connection_lost:
        fail_call(call_end::connection);
        break;
    case backend::call_failure::malformed:
        fail_call(call_end::malformed);
        break;
    }
}

void exchange::end_call(dispatch::send_result p_result)
{
    if (assignment_)
    {
        const bool was_lost = p_result == dispatch::send_result::failed ||
                              p_result == dispatch::send_result::dropped;
        if (was_lost && state_ == state::sent)
        {
            record_begun_if_likely();
        }
        owner_.placement().servers().record_end(*assignment_, p_result,
                                                owner_.now());
    }
    assignment_.reset();
    connection_.reset();
    paused_ = false;
}

void exchange::refuse(const std::string& p_reason, duration p_retry_after)
{
    if (state_ == state::done)
    {
        return;
    }
    log_.refused(p_reason, p_retry_after);
    auto response = platform::local_response(
        unavailable, plan_.metadata_.attempt_, p_reason, p_retry_after);
    if (plan_.from_peer_)
    {
        response.headers_.push_back(
            {std::string(handover_headers::not_run),
             std::string(owner_.is_reached(plan_.profile_)
                             ? handover_headers::not_run_refused
                             : handover_headers::not_run_unreachable)});
    }
    writer_->send(response);
    finish(request_result::refused);
}

void exchange::on_caller_disconnected()
{
    if (state_ == state::done)
    {
        return;
    }
    const time_point now = owner_.now();
    const auto connection = connection_.lock();
    log_.abandoned({now - plan_.profile_.arrived_, state_ != state::waiting,
                    last_server_, first_part_at_.has_value(),
                    now - last_activity_at_,
                    connection ? connection->unacknowledged_bytes() : 0});
    if (connection)
    {
        connection->close();
    }
    end_call(dispatch::send_result::dropped);
    end_peer_call(dispatch::handover_result::dropped);
    finish(request_result::caller_disconnected);
}

request_outcome exchange::outcome(request_result p_result) const
{
    const auto& profile = plan_.profile_;
    request_outcome summary;
    summary.route_ = plan_.route_.name_;
    summary.account_ = plan_.account_ ? plan_.account_->value() : std::string();
    summary.result_ = p_result;
    summary.sends_ = sends_;
    summary.wait_time_ =
        first_sent_at_.value_or(owner_.now()) - profile.arrived_;
    if (first_part_at_)
    {
        summary.time_to_first_part_ = *first_part_at_ - profile.arrived_;
    }
    if (profile.stream_ && first_part_at_)
    {
        summary.longest_pause_ = longest_pause_;
    }
    summary.on_time_ =
        p_result == request_result::answered &&
        response_head_.status_ < first_server_error &&
        summary.time_to_first_part_ &&
        *summary.time_to_first_part_ <= profile.answer_target_ &&
        (!profile.stream_ || longest_pause_ <= profile.pause_target_);
    return summary;
}

void exchange::finish(request_result p_result)
{
    const auto self = shared_from_this();
    owner_.leave_queue(*this);
    state_ = state::done;
    writer_.reset();
    owner_.on_done(*this, outcome(p_result));
}

void exchange::end_now(const std::string& p_reason)
{
    if (state_ == state::done)
    {
        return;
    }
    if (const auto connection = connection_.lock())
    {
        connection->close();
    }
    const duration silence =
        owner_.now() - std::max(last_activity_at_, owner_.awake_since());
    const bool is_silent = state_ == state::sent &&
                           silence >= dispatch::stall_limit(silence_target());
    end_call(is_silent ? dispatch::send_result::failed
                       : dispatch::send_result::dropped);
    may_have_run_ |= state_ == state::handed_over;
    end_peer_call(dispatch::handover_result::dropped);
    give_up(may_have_run_ || sends_ > 0 ? gateway_timeout : unavailable,
            p_reason);
}

void exchange::tick(time_point p_now)
{
    if (state_ == state::done)
    {
        return;
    }
    if (p_now >= plan_.profile_.deadline_)
    {
        end_now("the time for the answer is over");
        return;
    }
    release_held_events();
    resume_if_sent(p_now);
    check_acknowledged(p_now);
    check_interruption(p_now);
    check_stalled(p_now);
}

void exchange::check_acknowledged(time_point p_now)
{
    if (state_ != state::sent || p_now < next_acknowledgement_check_)
    {
        return;
    }
    next_acknowledgement_check_ = p_now + acknowledgement_check_interval;
    const auto connection = connection_.lock();
    if (connection && !connection->is_connecting() &&
        connection->unacknowledged_bytes() > 0)
    {
        const auto& server = assignment_->server_;
        owner_.reach().record_failed(server.service_, server.instance_.id_,
                                     p_now);
    }
}

} // namespace peridotspar::ingress
