#pragma once

#include "backend/connection_pool.hpp"
#include "dispatch/handover_policy.hpp"
#include "dispatch/link_budget.hpp"
#include "dispatch/placement.hpp"
#include "dispatch/service_reach.hpp"
#include "dispatch/stall_policy.hpp"
#include "dispatch/wait_queue.hpp"
#include "http/event_stream_scanner.hpp"
#include "ingress/call_end.hpp"
#include "ingress/peer_call.hpp"
#include "ingress/request_handler.hpp"
#include "ingress/request_log.hpp"
#include "ingress/sse_event_buffer.hpp"
#include "observe/entry_metrics.hpp"
#include "quarantine/crash_attribution.hpp"
#include "routing/request_metadata.hpp"
#include "routing/stream_versions.hpp"

#include <memory>
#include <set>
#include <string>

namespace peridotspar::ingress
{

class exchange;

/// The services of the node that an exchange uses. Called on the node's thread.
class exchange_owner
{
public:
    virtual ~exchange_owner() = default;
    [[nodiscard]] virtual time_point now() const = 0;
    /// Since when this node has run without a longer interruption.
    [[nodiscard]] virtual time_point awake_since() const = 0;
    virtual dispatch::placement& placement() = 0;
    virtual dispatch::link_budget& link() = 0;
    virtual backend::connection_pool& pool() = 0;
    /// Whether the node stays until the request's deadline at least, or has to
    /// serve it all the same.
    [[nodiscard]] virtual bool
    can_finish(const dispatch::request_profile& p_profile) const = 0;
    /// Consumes one resend from this node's part of the retry budget; false if
    /// that of the service is used up.
    [[nodiscard]] virtual bool
    try_consume_resend(const routing::service_name& p_service) = 0;
    /// The same for a stream of which the caller has a part, also from what
    /// peers lend. False as well while peers are asked, so that it should be
    /// called again soon.
    [[nodiscard]] virtual bool
    try_consume_resume(const routing::service_name& p_service,
                       dispatch::queued_request_id p_request) = 0;
    /// Records a send in this node's load figures and queues it for the peers.
    virtual void record_sent(const dispatch::request_profile& p_profile,
                             const dispatch::assignment& p_assignment) = 0;
    /// A server has begun to run the request, or may have. Called once for
    /// each request.
    virtual void
    record_begun(const std::optional<routing::account_name>& p_account) = 0;
    /// What the node knows of the origins of streams.
    virtual routing::stream_versions& streams() = 0;
    /// Connections to peers, for requests that are handed over.
    virtual backend::connection_pool& peer_pool() = 0;
    virtual dispatch::handover_policy& handovers() = 0;
    /// Which services the node reaches.
    virtual dispatch::service_reach& reach() = 0;
    /// What the node knows of the crashes of servers.
    virtual quarantine::crash_attribution& crashes() = 0;
    /// A call to a server was lost that had not begun to answer a request with
    /// these keys.
    virtual void
    record_lost_call(const routing::server_entry& p_server,
                     std::vector<quarantine::suspect> p_suspects) = 0;
    /// Whether this node reaches a server that may run the request.
    [[nodiscard]] virtual bool
    is_reached(const dispatch::request_profile& p_profile) const = 0;
    /// How long the caller of a refused request should wait before a retry.
    [[nodiscard]] virtual duration
    retry_after(const dispatch::request_profile& p_profile) = 0;
    /// An exchange keeps more bytes of an answer than when it last said so.
    /// Breaks off the longest answers if all together are too many.
    virtual void limit_kept_bytes() = 0;
    /// Removes the request from the waiting queue, if it is there.
    virtual void leave_queue(exchange& p_exchange) = 0;
    /// The request has got its final response, or its caller has disconnected.
    virtual void on_done(exchange& p_exchange,
                         const request_outcome& p_outcome) = 0;
};

/// A request with everything that was resolved on arrival.
struct exchange_plan
{
    http::request request_;
    routing::request_metadata metadata_;
    routing::route route_;
    std::optional<routing::account_name> account_;
    dispatch::request_profile profile_;
    /// What may make its servers crash: the parts of its prompt that other
    /// requests may share, and at the end the whole request.
    std::vector<quarantine::suspect> suspects_;
    dispatch::queued_request_id id_ = 0; ///< Unique within the node.
    /// A peer handed it over, so it isn't handed over again.
    bool from_peer_ = false;
};

/// One request from its arrival to its final response: sends it to a server,
/// relays the response, and resends the request where that is safe. If this
/// node doesn't reach the servers, it hands the request over to a peer. Use
/// only from the node's thread.
class exchange : public active_request,
                 public backend::call_handler,
                 public peer_call::owner,
                 public std::enable_shared_from_this<exchange>
{
public:
    exchange(exchange_owner& p_owner, exchange_plan p_plan,
             std::shared_ptr<response_writer> p_writer);

    /// Sends the request if a server can take it now; false if none can. Ends
    /// the exchange instead if its caller has left.
    /// `p_may_wait`: the request may still wait in the queue, so that servers
    /// whose backlog is too long for its priority aren't chosen.
    [[nodiscard]] bool try_send(bool p_may_wait);
    /// Hands the request over to a peer that reaches its service's servers;
    /// false if none does, or if its response has begun. Ends the exchange
    /// instead if its caller has left.
    [[nodiscard]] bool hand_over(std::string_view p_reason);
    /// Responds 503: the request was not run, and the caller may retry it after
    /// `p_retry_after`. No effect once the exchange is done.
    void refuse(const std::string& p_reason, duration p_retry_after);
    /// Bytes of its answer that it keeps in memory.
    [[nodiscard]] std::size_t kept_bytes() const
    {
        return buffered_body_.size() + held_events_.size() +
               events_.kept_bytes() +
               (kept_failure_ ? kept_failure_->body_.size() : 0);
    }
    /// Bytes of its request that it and its connection keep in memory.
    [[nodiscard]] std::size_t kept_request_bytes() const
    {
        const auto connection = connection_.lock();
        return plan_.request_.body_.size() +
               (connection ? connection->kept_request_bytes() : 0);
    }
    /// Breaks off the answer that is arriving, as this node has no room for it.
    void break_off_long_answer();
    /// Ends the exchange with an answer: a refusal if it can't have run. No
    /// effect once the exchange is done.
    void end_now(const std::string& p_reason);
    /// Enforces the deadline and detects stalled servers. Call periodically.
    void tick(time_point p_now);

    /// Whether the caller asks to go on with a stream that began elsewhere.
    [[nodiscard]] bool takes_up_stream() const;
    /// The attempt that began the stream to go on with; empty if the caller
    /// doesn't name it.
    [[nodiscard]] const std::string& resumed_attempt() const
    {
        return plan_.metadata_.resumed_attempt_;
    }
    /// Lets only servers of the stream's origin take the request. False if the
    /// route doesn't lead to its service.
    [[nodiscard]] bool require_origin(const routing::stream_origin& p_origin);
    /// Logs where the origin of the stream was learnt from.
    void log_origin(const routing::stream_origin& p_origin,
                    std::string_view p_source, duration p_age) const
    {
        log_.origin_found(p_origin, resumed_attempt(), p_source, p_age,
                          owner_.now() - plan_.profile_.arrived_);
    }
    [[nodiscard]] const routing::route& route() const { return plan_.route_; }
    [[nodiscard]] bool is_from_peer() const { return plan_.from_peer_; }

    [[nodiscard]] const dispatch::request_profile& profile() const
    {
        return plan_.profile_;
    }
    [[nodiscard]] const std::vector<quarantine::suspect>& suspects() const
    {
        return plan_.suspects_;
    }
    [[nodiscard]] dispatch::queued_request_id id() const { return plan_.id_; }

    [[nodiscard]] bool is_done() const { return state_ == state::done; }

    void on_caller_disconnected() override;
    bool on_head(const http::response_head& p_head) override;
    void on_body(std::string p_bytes) override;
    void on_complete() override;
    void on_failure(backend::call_failure p_failure) override;

    void on_peer_head(const http::response_head& p_head) override;
    void on_peer_body(std::string p_bytes) override;
    void on_peer_complete() override;
    void on_peer_refused(const http::response_head& p_head,
                         dispatch::handover_result p_result) override;
    void on_peer_lost(bool p_sent) override;

private:
    enum class state
    {
        waiting,     ///< For a server.
        sent,        ///< The response's head hasn't arrived yet.
        relaying,    ///< A response other than a rejection is arriving.
        handed_over, ///< To a peer.
        done,
    };
    /// Why the request has to be resent.
    enum class resend_reason
    {
        not_sent,     ///< Provably no byte of the request was sent.
        rejected,     ///< The server stated that it didn't run the request.
        may_have_run, ///< The server may have run the request.
    };
    /// A stream whose call ended, and that waits to be resumed.
    struct interruption
    {
        resend_reason reason_ = resend_reason::may_have_run;
        resend_obstacle obstacle_ = resend_obstacle::none;
        std::string text_; ///< Why the call ended.
        time_point next_try_{};
    };
    /// A server's own failure, after which the request was resent.
    struct kept_failure
    {
        http::response_head head_;
        std::string body_;
        std::string server_;
    };
    /// What to do with the response that is being received.
    enum class response_action
    {
        relay,    ///< Forward it to the caller as it arrives.
        buffer,   ///< Forward it once it is complete.
        rejected, ///< Ignore it: the server didn't run the request.
        discard,  ///< A failure after which to resend; kept until then.
        unsealed, ///< Ignore it: a success without the server's seal.
        resume,   ///< Append it to the stream that the caller already has.
    };
    [[nodiscard]] response_action
    choose_action(const http::response_head& p_head,
                  const routing::response_metadata& p_metadata);
    /// Whether the send limits and the deadline allow another send.
    [[nodiscard]] bool may_resend() const;
    /// The send limit that is reached, or the deadline if it is too near.
    [[nodiscard]] resend_obstacle find_limit() const;
    /// What forbids another send, apart from the retry budget and a lack of
    /// servers.
    [[nodiscard]] resend_obstacle find_obstacle(resend_reason p_reason) const;
    /// Whether the route allows a request to run more than once.
    [[nodiscard]] bool is_repeatable() const;
    /// The server to send the request to; nothing if none can take it now.
    [[nodiscard]] std::optional<dispatch::assignment>
    choose_server(bool p_may_wait, const std::set<std::string>& p_excluded);
    void send_to(const dispatch::assignment& p_assignment);
    /// Whether a peer is asked before another server.
    [[nodiscard]] bool should_hand_over() const;
    /// Whether a peer can take the request.
    [[nodiscard]] bool may_hand_over() const;
    void send_to_peer(const std::string& p_peer, std::string_view p_reason);
    void end_peer_call(dispatch::handover_result p_result);
    /// Whether the peer's response goes to the caller as it arrives.
    [[nodiscard]] bool is_relayed_from_peer() const;
    [[nodiscard]] bool is_event_stream(const http::response_head& p_head) const;
    /// Whether the response, which ended with its connection, is incomplete.
    [[nodiscard]] bool is_broken_off() const;
    /// Clears the parts of the prompt once the server has gone on answering.
    void check_answer_continues(time_point p_now);
    void record_lost_call();
    /// Its server sent something.
    void record_contact();
    [[nodiscard]] bool is_resumable() const
    {
        return plan_.route_.resend_mode_ == routing::resend_mode::resume;
    }
    /// Remembers where the stream begins with the current send.
    void record_origin();
    /// Passes events on, or keeps them while the stream's origin isn't in the
    /// store.
    void write_events(std::string p_bytes);
    void release_held_events();
    void handle_rejection();
    void report_first_response();
    /// Reports once that a server began to run the request.
    void record_begun();
    /// The same, if the server probably began before its connection was lost.
    void record_begun_if_likely();
    void update_progress(time_point p_now);
    void log_answered(int p_status) const;
    /// Records what a response says of the requests that its server wants.
    void record_wishes(const routing::response_metadata& p_metadata);
    void begin_relay(const http::response_head& p_head);
    /// The call ended without a complete response.
    void fail_call(call_end p_end);
    void record_failed_call(call_end p_end);
    /// Forgets the response of a call that ended, to wait for another server.
    void drop_response();
    /// Consumes a resend from the retry budget; false if there is none now.
    [[nodiscard]] bool try_consume_budget();
    /// Sends the request to another server, or hands it over, if that is
    /// possible now.
    [[nodiscard]] resend_obstacle try_resend(resend_reason p_reason,
                                             bool p_needs_budget);
    /// The same for a stream of which the caller has a part.
    [[nodiscard]] resend_obstacle try_resume(bool p_needs_budget);
    /// Whether the request waits while this keeps it from a server: what the
    /// caller has of a stream is worth that.
    [[nodiscard]] bool may_wait_for(resend_obstacle p_obstacle) const;
    /// Resumes a stream that waits, if that is possible now.
    void check_interruption(time_point p_now);
    /// Resends the request after a complete failure of its server, which is
    /// kept until another server answers.
    void resend_failed();
    /// Ends the exchange with the failure that was kept.
    void deliver_kept_failure();
    /// Ends the exchange with the response in `buffered_body_`.
    void deliver_buffered();
    void end_call(dispatch::send_result p_result);
    /// Resends the request if this is safe and within the limits, or else ends
    /// the exchange with a failure.
    void resend_or_give_up(resend_reason p_resend_reason,
                           const std::string& p_reason);
    /// Sends the request to another server, or hands it over.
    [[nodiscard]] bool send_again(resend_reason p_reason);
    void give_up(int p_status, const std::string& p_reason,
                 resend_obstacle p_obstacle = resend_obstacle::none);
    void finish(request_result p_result);
    [[nodiscard]] request_outcome outcome(request_result p_result) const;
    /// Notices that the request doesn't get to the server.
    void check_acknowledged(time_point p_now);
    void check_stalled(time_point p_now);
    /// The latency target that a silent server misses.
    [[nodiscard]] duration silence_target() const;
    /// After a pause of this length the caller of a stream gives up.
    [[nodiscard]] duration caller_patience() const;
    [[nodiscard]] dispatch::silent_call
    describe_silence(duration p_silence, duration p_responding_time,
                     bool p_others_respond) const;
    /// How the service's servers have responded lately, without `p_server`.
    [[nodiscard]] dispatch::server_table::response_summary
    summarize_responses(const std::string& p_server, time_point p_since) const;
    /// The servers that the request isn't sent to, and more.
    [[nodiscard]] std::set<std::string>
    excluded_with(const std::set<std::string>& p_more) const;
    /// Moves the request off its server if another one, or a peer, can take it.
    /// The current call ends only then.
    void leave_silent_server(const std::set<std::string>& p_doubtful,
                             duration p_silence);
    /// Ends the current call, and sends the request to a server or to a peer.
    void move_call(const std::optional<dispatch::assignment>& p_chosen);
    void record_stay(resend_obstacle p_obstacle, duration p_silence);
    /// The server sends again.
    void end_stall(time_point p_now);
    /// Closes the connection to the server, which may have run the request.
    void break_off_call(call_end p_end);
    /// Ends the call whose response is longer than any answer.
    void end_endless_response();
    /// Lets the sender wait while the caller doesn't take what it got.
    void pause_if_unsent();
    void resume_if_sent(time_point p_now);
    void check_kept_bytes();
    /// Frees the request's body if the response that has begun is the only one
    /// that its caller can get.
    void release_body();

    static constexpr std::size_t kept_check_step = 64U << 10U;
    /// A longer response is cut, as a server in trouble may send bytes without
    /// end.
    static constexpr std::size_t max_response_bytes = 16U << 20U;

    exchange_owner& owner_;
    exchange_plan plan_;
    request_log log_;
    std::shared_ptr<response_writer> writer_;
    std::weak_ptr<backend::connection> connection_;
    std::optional<dispatch::assignment> assignment_;
    quarantine::server_key server_key_{}; ///< Of the server sent to last.
    std::shared_ptr<peer_call> peer_call_;
    std::string peer_; ///< That it was handed over to last.
    std::set<std::string> tried_peers_;
    time_point handed_over_at_{};
    /// Failed or rejected it. Reset to `failed_servers_` while it waits.
    std::set<std::string> excluded_servers_;
    std::set<std::string> failed_servers_; ///< Whose answers were lost.
    state state_ = state::waiting;
    response_action action_ = response_action::relay;
    http::response_head response_head_; ///< Of the current response.
    std::string buffered_body_;
    /// The lines and events of the current response.
    http::event_stream_scanner scanner_;
    std::uint64_t body_bytes_ = 0; ///< Of the current response.
    sse_event_buffer events_;
    std::string held_events_; ///< Kept until the stream's origin is stored.
    std::optional<time_point> held_since_;
    time_point last_activity_at_{}; ///< Last byte received, or the send.
    time_point sent_at_{};
    time_point next_acknowledgement_check_{};
    time_point next_stall_check_{};
    bool stalled_ = false;        ///< The server, with this call.
    bool stall_recorded_ = false; ///< It counts as stalled for other requests.
    /// Why the request stays at a stalled server.
    resend_obstacle stay_obstacle_ = resend_obstacle::none;
    std::optional<interruption> interruption_;
    std::optional<kept_failure> kept_failure_;
    std::optional<time_point> first_sent_at_;
    std::optional<time_point> first_part_at_;
    std::optional<time_point> answer_begun_at_; ///< Of the current response.
    bool answer_continued_ = false;             ///< The current response.
    duration longest_pause_{};
    std::string last_server_;
    /// Sends after which a server may have run the request.
    unsigned possible_runs_ = 0;
    /// Sends, without those that failed before a byte was sent.
    unsigned sends_ = 0;
    unsigned connect_failures_ = 0; ///< Attempts that sent nothing.
    unsigned failed_resumes_ = 0;   ///< Lost or rejected since it last went on.
    /// `kept_bytes()` at which the owner is asked next.
    std::size_t next_kept_check_ = kept_check_step;
    bool paused_ = false;         ///< The sender of the answer.
    bool response_begun_ = false; ///< The head was sent to the caller.
    bool begun_recorded_ = false;
    bool may_have_run_ = false;
};

} // namespace peridotspar::ingress
