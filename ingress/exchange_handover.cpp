#include "ingress/exchange.hpp"

#include "platform/request_headers.hpp"

#include <algorithm>

// The part of an exchange that hands its request over to a peer.

namespace peridotspar::ingress
{

namespace
{

constexpr int first_redirect = 300;
constexpr int first_server_error = 500;
constexpr int bad_gateway = 502;
constexpr int unavailable = 503;
/// Peers that one request is handed over to, one after the other.
constexpr std::size_t max_handovers = 3;
/// Failed connections of one request after which a peer is asked instead.
constexpr unsigned max_own_connect_failures = 2;

} // namespace

bool exchange::should_hand_over() const
{
    return connect_failures_ >= max_own_connect_failures ||
           owner_.reach().is_lost(plan_.profile_.service_);
}

bool exchange::may_hand_over() const
{
    const time_point now = owner_.now();
    const unsigned runs = possible_runs_ + (state_ == state::sent ? 1 : 0);
    return !plan_.from_peer_ && !response_begun_ &&
           tried_peers_.size() < max_handovers &&
           runs < plan_.route_.max_attempts_ &&
           now < plan_.profile_.deadline_ &&
           owner_.handovers()
               .choose(plan_.profile_.service_, tried_peers_, now)
               .has_value();
}

bool exchange::hand_over(std::string_view p_reason)
{
    if (state_ != state::waiting || !may_hand_over())
    {
        return false;
    }
    const time_point now = owner_.now();
    const auto peer =
        owner_.handovers().choose(plan_.profile_.service_, tried_peers_, now);
    if (!peer)
    {
        return false;
    }
    if (writer_->is_caller_gone())
    {
        on_caller_disconnected();
        return true;
    }
    send_to_peer(*peer, p_reason);
    return true;
}

void exchange::send_to_peer(const std::string& p_peer,
                            std::string_view p_reason)
{
    const time_point now = owner_.now();
    owner_.leave_queue(*this);
    state_ = state::handed_over;
    peer_ = p_peer;
    tried_peers_.insert(p_peer);
    first_sent_at_ = first_sent_at_.value_or(now);
    handed_over_at_ = now;
    last_activity_at_ = now;
    buffered_body_.clear();
    scanner_ = {};
    body_bytes_ = 0;
    const duration waited = now - plan_.profile_.arrived_;
    const http::header_list own{
        {std::string(handover_headers::runs),
         std::to_string(plan_.route_.max_attempts_ - possible_runs_)},
        {std::string(handover_headers::waited_ms),
         std::to_string(static_cast<long>(to_ms(waited)))}};
    std::string bytes =
        platform::peer_request_head(plan_.request_.head_,
                                    plan_.profile_.deadline_ - now, own,
                                    plan_.request_.body_.size()) +
        plan_.request_.body_;
    owner_.link().record_sent(bytes.size(), now);
    owner_.handovers().record_sent(p_peer);
    log_.handed_over(p_peer, p_reason, tried_peers_.size(), waited);
    peer_call_ = std::make_shared<peer_call>(*this, plan_.metadata_.attempt_);
    connection_ = owner_.peer_pool().send(
        p_peer, p_peer, std::move(bytes),
        plan_.request_.head_.method_ == "HEAD", peer_call_);
}

void exchange::end_peer_call(dispatch::handover_result p_result)
{
    if (state_ != state::handed_over)
    {
        return;
    }
    const time_point now = owner_.now();
    log_.handover_ended(peer_, p_result, now - handed_over_at_);
    owner_.handovers().record_end(peer_, plan_.profile_.service_, p_result,
                                  now);
    state_ = state::waiting;
    connection_.reset();
    paused_ = false;
}

bool exchange::is_relayed_from_peer() const
{
    return plan_.route_.stream_ && response_head_.status_ < first_redirect;
}

void exchange::on_peer_head(const http::response_head& p_head)
{
    response_head_ = p_head;
    last_server_ = peer_;
    last_activity_at_ = owner_.now();
    may_have_run_ = true;
    if (!is_relayed_from_peer())
    {
        return;
    }
    response_begun_ = true;
    const auto length = is_resumable() ? std::nullopt : p_head.content_length_;
    writer_->begin(p_head.status_, p_head.reason_,
                   platform::caller_response_headers(p_head), length);
    release_body();
}

void exchange::on_peer_body(std::string p_bytes)
{
    const time_point now = owner_.now();
    update_progress(now);
    last_activity_at_ = now;
    scanner_.skip(p_bytes);
    body_bytes_ += p_bytes.size();
    if (body_bytes_ > max_response_bytes)
    {
        break_off_long_answer();
        return;
    }
    if (is_relayed_from_peer())
    {
        writer_->write_body(std::move(p_bytes));
        pause_if_unsent();
        return;
    }
    buffered_body_ += p_bytes;
    check_kept_bytes();
}

void exchange::on_peer_complete()
{
    end_peer_call(dispatch::handover_result::taken);
    update_progress(owner_.now());
    log_answered(response_head_.status_);
    if (!response_begun_)
    {
        writer_->begin(response_head_.status_, response_head_.reason_,
                       platform::caller_response_headers(response_head_),
                       buffered_body_.size());
        writer_->write_body(std::move(buffered_body_));
    }
    writer_->end();
    finish(response_head_.status_ < first_server_error
               ? request_result::answered
               : request_result::failed);
}

void exchange::on_peer_refused(const http::response_head& p_head,
                               dispatch::handover_result p_result)
{
    end_peer_call(p_result);
    const bool taken = p_result == dispatch::handover_result::unreachable &&
                       hand_over("the peer reaches no server");
    if (taken)
    {
        return;
    }
    if (may_have_run_)
    {
        give_up(bad_gateway, "the peer refused the request");
        return;
    }
    refuse("the peer refused the request",
           platform::retry_after_of(p_head).value_or(
               owner_.retry_after(plan_.profile_)));
}

void exchange::on_peer_lost(bool p_sent)
{
    end_peer_call(dispatch::handover_result::failed);
    if (!p_sent && hand_over("the peer wasn't reached"))
    {
        return;
    }
    may_have_run_ |= p_sent;
    give_up(may_have_run_ ? bad_gateway : unavailable,
            "the connection to the peer broke");
}

} // namespace peridotspar::ingress
