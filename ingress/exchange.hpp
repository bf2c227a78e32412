#pragma once

#include "backend/connection_pool.hpp"
#include "dispatch/placement.hpp"
#include "dispatch/wait_queue.hpp"
#include "ingress/request_handler.hpp"
#include "ingress/request_log.hpp"
#include "ingress/sse_event_buffer.hpp"
#include "observe/entry_metrics.hpp"
#include "routing/request_metadata.hpp"

#include <memory>
#include <set>
#include <string>

namespace peridotspar::ingress
{

class exchange;

/// What a request needs of its node.
class exchange_owner
{
public:
    virtual ~exchange_owner() = default;
    [[nodiscard]] virtual time_point now() const = 0;
    virtual dispatch::placement& placement() = 0;
    virtual backend::connection_pool& pool() = 0;
    /// Takes one further send from the fleet's budget.
    [[nodiscard]] virtual bool
    take_resend(const routing::service_name& p_service) = 0;
    /// The request was sent; peers are told.
    virtual void record_sent(const dispatch::request_profile& p_work,
                             const dispatch::assignment& p_placed) = 0;
    /// A server fell away while the request ran there and had no answer.
    virtual void record_crash(std::uint64_t p_fingerprint) = 0;
    virtual void record_success(std::uint64_t p_fingerprint) = 0;
    /// Whether the request is known to crash the servers that run it.
    [[nodiscard]] virtual bool is_poison(std::uint64_t p_fingerprint) = 0;
    [[nodiscard]] virtual duration
    retry_after(const dispatch::request_profile& p_work) = 0;
    virtual void leave_queue(exchange& p_exchange) = 0;
    /// The request has its final answer, or its caller is gone.
    virtual void on_done(exchange& p_exchange,
                         const request_outcome& p_outcome) = 0;
};

/// What was decided about a request when it came.
struct exchange_plan
{
    http::request request_;
    routing::request_metadata terms_;
    routing::route route_;
    std::optional<routing::account_name> account_;
    dispatch::request_profile work_;
    std::uint64_t fingerprint_ = 0; ///< Of path, account and body.
    dispatch::queued_request_id id_ = 0;
};

/// One request from its arrival to its final answer. Belongs to the thread of
/// its node.
class exchange : public active_request,
                 public backend::call_handler,
                 public std::enable_shared_from_this<exchange>
{
public:
    exchange(exchange_owner& p_owner, exchange_plan p_plan,
             std::shared_ptr<response_writer> p_writer);

    /// Sends the request if a server may take it now, without waiting in
    /// line; false if none may.
    [[nodiscard]] bool try_send(bool p_may_wait);
    /// Gives the final answer: not run, come back then.
    void refuse(const std::string& p_reason, duration p_retry_after);
    /// Applies time limits; call it regularly.
    void tick(time_point p_now);

    [[nodiscard]] const dispatch::request_profile& work() const
    {
        return plan_.work_;
    }
    [[nodiscard]] dispatch::queued_request_id id() const { return plan_.id_; }

    [[nodiscard]] bool is_done() const { return state_ == state::done; }

    void on_caller_disconnected() override;
    bool on_head(const http::response_head& p_head) override;
    void on_body(std::string p_bytes) override;
    void on_complete() override;
    void on_failure(backend::call_failure p_failure) override;

private:
    enum class state
    {
        waiting, ///< For a server.
        sent,    ///< No head of an answer yet.
        relaying,
        done,
    };
    /// Why a request needs a further send.
    enum class resend_reason
    {
        not_sent,     ///< No byte of it reached a server.
        rejected,     ///< A server said that it didn't run it.
        may_have_run, ///< Nothing proves that.
    };
    /// What is done with the answer that is coming.
    enum class response_action
    {
        relay,    ///< The caller gets it as it comes.
        buffer,   ///< The caller gets it once it is whole.
        rejected, ///< The server didn't run the request.
        discard,  ///< It failed, and the request is sent again.
        unsealed, ///< A success without its server's mark.
        resume,   ///< A stream goes on after what the caller has.
    };
    [[nodiscard]] response_action
    choose_action(const http::response_head& p_head,
                  const routing::response_metadata& p_terms);
    [[nodiscard]] bool may_resend() const;
    [[nodiscard]] bool is_repeatable() const;
    void send_to(const dispatch::assignment& p_placed);
    void handle_rejection();
    void report_first_response();
    void update_progress(time_point p_now);
    void log_answered(int p_status) const;
    void begin_relay(const http::response_head& p_head);
    void fail_call(backend::call_failure p_failure, bool p_crashed);
    void end_call(dispatch::send_result p_result);
    /// Sends it to another server, or gives up.
    void resend_or_give_up(resend_reason p_resend_reason,
                           const std::string& p_reason);
    void give_up(int p_status, const std::string& p_reason);
    void finish(request_result p_result);
    [[nodiscard]] request_outcome outcome(request_result p_result) const;
    void check_stalled(time_point p_now);

    exchange_owner& owner_;
    exchange_plan plan_;
    request_log log_;
    std::shared_ptr<response_writer> writer_;
    std::weak_ptr<backend::connection> connection_;
    std::optional<dispatch::assignment> placed_;
    std::set<std::string> excluded_servers_; ///< Servers that didn't do.
    state state_ = state::waiting;
    response_action action_ = response_action::relay;
    http::response_head response_head_; ///< Of the answer that is collected.
    std::string buffered_body_;
    sse_event_buffer events_;
    time_point last_activity_at_{}; ///< From the server, or the send.
    time_point sent_at_{};
    std::optional<time_point> first_sent_at_;
    std::optional<time_point> first_part_at_;
    duration longest_pause_{};
    std::string last_server_;
    unsigned possible_runs_ =
        0; ///< Sends after which a server may have run it.
    unsigned sends_ = 0;
    unsigned connect_failures_ = 0; ///< Tries that reached no server.
    bool response_begun_ = false;   ///< The caller has the head of an answer.
    bool may_have_run_ = false;
};

} // namespace peridotspar::ingress
