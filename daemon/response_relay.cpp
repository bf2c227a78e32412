#include "daemon/response_relay.hpp"

#include "core/log.hpp"
#include "daemon/error_response.hpp"

#include <utility>

namespace peridotspar
{

namespace
{

using std::chrono::milliseconds;

/// Interval at which the relay checks whether the caller is still connected.
constexpr duration connection_check_interval = milliseconds(250);
/// A longer response is recorded without its body and can't be replayed.
constexpr std::size_t max_recorded_body_bytes = 16384;

} // namespace

response_relay::response_relay(const relay_dependencies& p_dependencies,
                               http_exchange& r_exchange,
                               const request_context& p_context,
                               caller_request& r_request,
                               std::shared_ptr<pending_response> p_response)
    : dependencies_(p_dependencies),
      exchange_(r_exchange),
      context_(p_context),
      request_(r_request),
      response_(std::move(p_response)),
      completion_(r_request.is_chat_),
      start_time_(clock_.now()),
      next_check_(start_time_ + connection_check_interval)
{
}

void response_relay::run()
{
    while (!ended_)
    {
        auto part = response_->next_part(connection_check_interval);
        // Check also while parts arrive: a response that is collected before it
        // is sent makes no write that would fail.
        if (clock_.now() >= next_check_)
        {
            next_check_ = clock_.now() + connection_check_interval;
            check_caller_connection();
        }
        if (!part || ended_)
        {
            continue;
        }
        std::visit([this](auto& r_kind) { handle(r_kind); }, *part);
    }
}

void response_relay::check_caller_connection()
{
    // In a stream, the next write fails if the caller has disconnected.
    if (!caller_gone_ && !streaming_ && exchange_.peer_disconnected())
    {
        handle_disconnect();
    }
}

void response_relay::handle_disconnect()
{
    caller_gone_ = true;
    log_event(log_level::info, "request.caller_gone")
        .with("request", context_.id_text_);
    if (!request_.call_.idempotent_)
    {
        return;
    }
    dependencies_.decision_loop_.post(
        policy::caller_disconnected{context_.id_});
    dependencies_.metrics_.record_wasted_tokens(response_->delivered_events());
    ended_ = true;
}

void response_relay::handle(pending_response::head& r_head)
{
    head_ = r_head;
}

void response_relay::handle(pending_response::chunk& r_chunk)
{
    if (r_chunk.events_ == 0 || head_)
    {
        body_ += r_chunk.data_;
        return;
    }
    const time_point now = clock_.now();
    if (tokens_ == 0)
    {
        first_token_time_ = now;
    }
    last_token_time_ = now;
    tokens_ += r_chunk.events_;
    if (!request_.stream_)
    {
        completion_.add_events(r_chunk.data_);
        return;
    }
    const bool sent =
        (streaming_ ||
         exchange_.begin_stream(200, "text/event-stream",
                                {{"X-Request-Id", context_.id_text_}})) &&
        exchange_.write_stream(r_chunk.data_);
    streaming_ = true;
    if (!sent && !caller_gone_)
    {
        handle_disconnect();
    }
}

void response_relay::handle(pending_response::call_to_claim& r_call)
{
    const attempt_id attempt = r_call.call_.attempt_;
    const auto claimed = dependencies_.claim_committer_.claim(
        *request_.claim_, request_.claim_nonce_, request_.body_hash_);
    using kind = claim_result::kind;
    if (claimed.kind_ == kind::granted)
    {
        holds_claim_ = true;
        if (!dependencies_.backends_.submit(std::move(r_call.call_)))
        {
            report_attempt_end(attempt, policy::attempt_result::refused);
        }
        return;
    }
    const bool is_taken = claimed.kind_ == kind::taken;
    report_attempt_end(attempt,
                       is_taken ? policy::attempt_result::key_already_claimed
                                : policy::attempt_result::claim_failed);
    ended_ = true;
    if (is_taken)
    {
        respond_from_claim(claimed.record_);
        return;
    }
    refuse(make_refusal(503, "store_unavailable",
                        "the request can't be claimed now; it did not run",
                        milliseconds(3000)));
}

void response_relay::report_attempt_end(attempt_id p_attempt,
                                        policy::attempt_result p_result)
{
    dependencies_.decision_loop_.post(
        policy::attempt_ended{p_attempt, p_result});
}

void response_relay::respond_from_claim(const claim_record& p_record)
{
    if (p_record.body_hash_ != request_.body_hash_)
    {
        refuse(make_refusal(422, "key_reused",
                            "the idempotency key belongs to another request"));
        return;
    }
    if (!p_record.response_)
    {
        refuse({409, "in_progress",
                "a request with this key was started; its outcome isn't "
                "known yet",
                verdict::may_have_run, default_retry_after});
        return;
    }
    if (p_record.response_->content_type_.empty())
    {
        refuse({409, "answer_not_kept",
                "the request completed; its answer was too large to keep",
                verdict::completed, milliseconds(0)});
        return;
    }
    exchange_.send(p_record.response_->status_,
                   p_record.response_->content_type_, p_record.response_->body_,
                   {{"X-Request-Id", context_.id_text_},
                    {"X-Verdict", "completed"},
                    {"Idempotent-Replay", "true"}});
    log_result("request.replayed", p_record.response_->status_);
}

void response_relay::handle(pending_response::response_end& r_end)
{
    ended_ = true;
    if (r_end.failure_)
    {
        handle_failure(*r_end.failure_);
        return;
    }
    record_response();
    if (!caller_gone_)
    {
        send_complete_response();
    }
    record_request({});
    log_result("request.completed", head_ ? head_->status_ : 200);
}

void response_relay::handle_failure(const failure& p_failure)
{
    if (holds_claim_ && p_failure.verdict_ == verdict::not_run)
    {
        dependencies_.claim_committer_.release(*request_.claim_,
                                               request_.claim_nonce_);
    }
    dependencies_.metrics_.record_wasted_tokens(response_->delivered_events());
    if (streaming_)
    {
        // The status line has been sent, so the error becomes the last event of
        // the stream.
        exchange_.write_stream(
            "data: " + error_body(p_failure, context_.id_text_) + "\n\n");
        exchange_.break_off_stream();
        record_request(p_failure.code_);
        log_result("request.broken", p_failure.status_, p_failure.code_);
        return;
    }
    refuse(p_failure);
}

void response_relay::refuse(const failure& p_failure)
{
    if (!caller_gone_)
    {
        send_error_response(exchange_, p_failure, context_.id_text_);
    }
    record_request(p_failure.code_);
    log_result("request.refused", p_failure.status_, p_failure.code_,
               p_failure.verdict_);
}

void response_relay::send_complete_response()
{
    const http_headers headers{{"X-Request-Id", context_.id_text_},
                               {"X-Verdict", "completed"}};
    if (head_)
    {
        exchange_.send(head_->status_, head_->content_type_, body_, headers);
    }
    else if (request_.stream_)
    {
        if (!streaming_)
        {
            exchange_.begin_stream(200, "text/event-stream", headers);
        }
        exchange_.write_stream("data: [DONE]\n\n");
        exchange_.end_stream();
    }
    else
    {
        exchange_.send(
            200, "application/json",
            completion_.to_json(context_.id_text_, request_.model_,
                                request_.decision_request_.prompt_tokens_),
            headers);
    }
}

void response_relay::record_response()
{
    if (!holds_claim_)
    {
        return;
    }
    recorded_response recorded{head_ ? head_->status_ : 200, {}, {}};
    std::string body =
        head_ ? body_
              : completion_.to_json(context_.id_text_, request_.model_,
                                    request_.decision_request_.prompt_tokens_);
    if (body.size() <= max_recorded_body_bytes)
    {
        recorded.content_type_ =
            head_ ? head_->content_type_ : "application/json";
        recorded.body_ = std::move(body);
    }
    dependencies_.claim_committer_.finish(
        *request_.claim_, request_.claim_nonce_, std::move(recorded));
}

void response_relay::record_request(const std::string& p_refusal_code)
{
    const auto& request_class =
        context_.snapshot_->catalogue_
            ->classes_[request_.decision_request_.class_.value()];
    request_record record;
    record.class_ = request_.class_name_;
    record.account_ = context_.account_name_;
    record.refusal_reason_ = p_refusal_code;
    const endpoint server = response_->last_server();
    if (!server.address_.empty())
    {
        record.backend_ = server.address_ + ":" + std::to_string(server.port_);
    }
    const time_point first = tokens_ > 0 ? first_token_time_ : clock_.now();
    record.first_token_ms_ = to_ms(first - start_time_);
    if (tokens_ > 1)
    {
        record.token_gap_ms_ =
            to_ms(last_token_time_ - first_token_time_) / (tokens_ - 1);
    }
    record.first_token_target_ms_ = to_ms(request_class.first_token_target_);
    record.token_gap_target_ms_ = to_ms(request_class.inter_token_target_);
    dependencies_.burn_recorder_.record_request(record, unix_ms());
    dependencies_.metrics_.record_request(record);
}

void response_relay::log_result(std::string_view p_event, int p_status,
                                std::string_view p_reason, verdict p_verdict)
{
    log_event event(log_level::info, p_event);
    event.with("request", context_.id_text_)
        .with("account", context_.account_name_)
        .with("class", request_.class_name_)
        .with("status", p_status)
        .with("tokens", tokens_)
        .with("ms", to_ms(clock_.now() - start_time_));
    if (!p_reason.empty())
    {
        event.with("reason", p_reason).with("verdict", to_string(p_verdict));
    }
}

} // namespace peridotspar
