#include "daemon/answer_relay.hpp"

#include "core/log.hpp"
#include "daemon/error_answer.hpp"

#include <utility>

namespace peridotspar
{

namespace
{

using std::chrono::milliseconds;

constexpr duration waiting_check = milliseconds(250);
constexpr std::size_t largest_recorded_answer = 16384;

} // namespace

answer_relay::answer_relay(const relay_parts& p_parts,
                           http_exchange& r_exchange,
                           const caller_identity& p_caller, caller_work& r_work,
                           std::shared_ptr<pending_answer> p_answer)
    : parts_(p_parts),
      exchange_(r_exchange),
      caller_(p_caller),
      work_(r_work),
      answer_(std::move(p_answer)),
      text_(r_work.chat_),
      started_(clock_.now()),
      next_check_(started_ + waiting_check)
{
}

void answer_relay::run()
{
    while (!ended_)
    {
        auto part = answer_->next(waiting_check);
        // Also while parts come: an answer that is collected whole
        // writes nothing that would fail.
        if (clock_.now() >= next_check_)
        {
            next_check_ = clock_.now() + waiting_check;
            check_caller();
        }
        if (!part || ended_)
        {
            continue;
        }
        std::visit([this](auto& r_kind) { take(r_kind); }, *part);
    }
}

void answer_relay::check_caller()
{
    // A stream shows the hang-up by its next write.
    if (!gone_ && !streaming_ && exchange_.peer_gone())
    {
        leave();
    }
}

void answer_relay::leave()
{
    gone_ = true;
    log_event(log_level::info, "request.caller_gone")
        .with("request", caller_.id_text_);
    if (!work_.call_.idempotent_)
    {
        return;
    }
    parts_.decisions_.post(policy::caller_disconnected{caller_.id_});
    parts_.metrics_.record_wasted_tokens(answer_->delivered());
    ended_ = true;
}

void answer_relay::take(pending_answer::head& r_head)
{
    head_ = r_head;
}

void answer_relay::take(pending_answer::bytes& r_bytes)
{
    if (r_bytes.events_ == 0 || head_)
    {
        body_ += r_bytes.data_;
        return;
    }
    const time_point now = clock_.now();
    if (tokens_ == 0)
    {
        first_token_ = now;
    }
    last_token_ = now;
    tokens_ += r_bytes.events_;
    if (!work_.stream_)
    {
        text_.add(r_bytes.data_);
        return;
    }
    const bool sent =
        (streaming_ ||
         exchange_.begin_stream(200, "text/event-stream",
                                {{"X-Request-Id", caller_.id_text_}})) &&
        exchange_.write_stream(r_bytes.data_);
    streaming_ = true;
    if (!sent && !gone_)
    {
        leave();
    }
}

void answer_relay::take(pending_answer::claim_call& r_call)
{
    const attempt_id attempt = r_call.call_.attempt_;
    const auto claimed =
        parts_.claims_.claim(*work_.claim_, work_.nonce_, work_.body_hash_);
    using kind = claim_result::kind;
    if (claimed.kind_ == kind::granted)
    {
        held_ = true;
        if (!parts_.backends_.submit(std::move(r_call.call_)))
        {
            end_attempt(attempt, policy::attempt_result::refused);
        }
        return;
    }
    const bool taken = claimed.kind_ == kind::taken;
    end_attempt(attempt, taken ? policy::attempt_result::key_already_claimed
                               : policy::attempt_result::claim_failed);
    ended_ = true;
    if (taken)
    {
        answer_taken(claimed.record_);
        return;
    }
    refuse(refused_call(503, "store_unavailable",
                        "the request can't be claimed now; it did not run",
                        milliseconds(3000)));
}

void answer_relay::end_attempt(attempt_id p_attempt,
                               policy::attempt_result p_result)
{
    parts_.decisions_.post(policy::attempt_ended{p_attempt, p_result});
}

void answer_relay::answer_taken(const claim_record& p_record)
{
    if (p_record.body_hash_ != work_.body_hash_)
    {
        refuse(refused_call(422, "key_reused",
                            "the idempotency key belongs to another request"));
        return;
    }
    if (!p_record.answer_)
    {
        refuse({409, "in_progress",
                "a request with this key was started; its outcome isn't "
                "known yet",
                verdict::may_have_run, soon});
        return;
    }
    if (p_record.answer_->content_type_.empty())
    {
        refuse({409, "answer_not_kept",
                "the request completed; its answer was too large to keep",
                verdict::completed, milliseconds(0)});
        return;
    }
    exchange_.send(p_record.answer_->status_, p_record.answer_->content_type_,
                   p_record.answer_->body_,
                   {{"X-Request-Id", caller_.id_text_},
                    {"X-Verdict", "completed"},
                    {"Idempotent-Replay", "true"}});
    log("request.replayed", p_record.answer_->status_);
}

void answer_relay::take(pending_answer::ending& r_ending)
{
    ended_ = true;
    if (r_ending.failure_)
    {
        fail(*r_ending.failure_);
        return;
    }
    record_answer();
    if (!gone_)
    {
        send_whole();
    }
    note({});
    log("request.completed", head_ ? head_->status_ : 200);
}

void answer_relay::fail(const failure& p_failure)
{
    if (held_ && p_failure.verdict_ == verdict::not_run)
    {
        parts_.claims_.release(*work_.claim_, work_.nonce_);
    }
    parts_.metrics_.record_wasted_tokens(answer_->delivered());
    if (streaming_)
    {
        // The status line is out; the error is the stream's last event.
        exchange_.write_stream(
            "data: " + error_body(p_failure, caller_.id_text_) + "\n\n");
        exchange_.end_stream();
        exchange_.close_after();
        note(p_failure.code_);
        log("request.broken", p_failure.status_, p_failure.code_);
        return;
    }
    refuse(p_failure);
}

void answer_relay::refuse(const failure& p_failure)
{
    if (!gone_)
    {
        send_failure(exchange_, p_failure, caller_.id_text_);
    }
    note(p_failure.code_);
    log("request.refused", p_failure.status_, p_failure.code_,
        p_failure.verdict_);
}

void answer_relay::send_whole()
{
    const http_headers headers{{"X-Request-Id", caller_.id_text_},
                               {"X-Verdict", "completed"}};
    if (head_)
    {
        exchange_.send(head_->status_, head_->content_type_, body_, headers);
    }
    else if (work_.stream_)
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
        exchange_.send(200, "application/json",
                       text_.to_json(caller_.id_text_, work_.model_,
                                     work_.request_.prompt_tokens_),
                       headers);
    }
}

void answer_relay::record_answer()
{
    if (!held_)
    {
        return;
    }
    recorded_answer kept{head_ ? head_->status_ : 200, {}, {}};
    std::string body = head_ ? body_
                             : text_.to_json(caller_.id_text_, work_.model_,
                                             work_.request_.prompt_tokens_);
    if (body.size() <= largest_recorded_answer)
    {
        kept.content_type_ = head_ ? head_->content_type_ : "application/json";
        kept.body_ = std::move(body);
    }
    parts_.claims_.finish(*work_.claim_, work_.nonce_, std::move(kept));
}

void answer_relay::note(const std::string& p_refusal)
{
    const auto& kind =
        caller_.snapshot_->catalogue_->classes_[work_.request_.class_.value()];
    request_record record;
    record.class_ = work_.class_name_;
    record.account_ = caller_.account_name_;
    record.refusal_reason_ = p_refusal;
    const endpoint server = answer_->server();
    if (!server.address_.empty())
    {
        record.backend_ = server.address_ + ":" + std::to_string(server.port_);
    }
    const time_point first = tokens_ > 0 ? first_token_ : clock_.now();
    record.first_token_ms_ = to_ms(first - started_);
    if (tokens_ > 1)
    {
        record.token_gap_ms_ =
            to_ms(last_token_ - first_token_) / (tokens_ - 1);
    }
    record.first_token_target_ms_ = to_ms(kind.first_token_target_);
    record.token_gap_target_ms_ = to_ms(kind.inter_token_target_);
    parts_.burn_.record(record, unix_ms());
    parts_.metrics_.record_request(record);
}

void answer_relay::log(std::string_view p_event, int p_status,
                       std::string_view p_reason, verdict p_verdict)
{
    log_event event(log_level::info, p_event);
    event.with("request", caller_.id_text_)
        .with("account", caller_.account_name_)
        .with("class", work_.class_name_)
        .with("status", p_status)
        .with("tokens", tokens_)
        .with("ms", to_ms(clock_.now() - started_));
    if (!p_reason.empty())
    {
        event.with("reason", p_reason).with("verdict", to_string(p_verdict));
    }
}

} // namespace peridotspar
