#pragma once

#include "backend/connection_pool.hpp"
#include "dispatch/placement.hpp"
#include "dispatch/wait_queue.hpp"
#include "ingress/event_stream.hpp"
#include "ingress/reply.hpp"
#include "ingress/request_log.hpp"
#include "observe/entry_metrics.hpp"
#include "routing/request_metadata.hpp"

#include <memory>
#include <set>
#include <string>

namespace peridotspar::ingress
{

class exchange;

/// What a request needs of its node.
class exchange_host
{
public:
    virtual ~exchange_host() = default;
    [[nodiscard]] virtual time_point now() const = 0;
    virtual dispatch::placement& placement() = 0;
    virtual backend::connection_pool& pool() = 0;
    /// Takes one further send from the fleet's budget.
    [[nodiscard]] virtual bool
    take_resend(const routing::service_name& p_service) = 0;
    /// The request was sent; peers are told.
    virtual void note_sent(const dispatch::request_profile& p_work,
                           const dispatch::assignment& p_placed) = 0;
    /// A server fell away while the request ran there and had no answer.
    virtual void note_crash(std::uint64_t p_fingerprint) = 0;
    virtual void note_good_end(std::uint64_t p_fingerprint) = 0;
    /// Whether the request is known to crash the servers that run it.
    [[nodiscard]] virtual bool is_poison(std::uint64_t p_fingerprint) = 0;
    [[nodiscard]] virtual duration
    come_back_in(const dispatch::request_profile& p_work) = 0;
    virtual void leave_line(exchange& p_exchange) = 0;
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
class exchange : public job,
                 public backend::call_handler,
                 public std::enable_shared_from_this<exchange>
{
public:
    exchange(exchange_host& p_host, exchange_plan p_plan,
             std::shared_ptr<reply> p_reply);

    /// Sends the request if a server may take it now, without waiting in
    /// line; false if none may.
    [[nodiscard]] bool try_send(bool p_may_wait);
    /// Gives the final answer: not run, come back then.
    void refuse(const std::string& p_reason, duration p_come_back);
    /// Applies time limits; call it regularly.
    void tick(time_point p_now);

    [[nodiscard]] const dispatch::request_profile& work() const
    {
        return plan_.work_;
    }
    [[nodiscard]] dispatch::queued_request_id id() const { return plan_.id_; }

    [[nodiscard]] bool is_done() const { return state_ == state::done; }

    void on_caller_gone() override;
    bool on_head(const http::answer_head& p_head) override;
    void on_body(std::string p_bytes) override;
    void on_whole() override;
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
        never_left,   ///< No byte of it reached a server.
        turned_away,  ///< A server said that it didn't run it.
        may_have_run, ///< Nothing proves that.
    };
    /// What is done with the answer that is coming.
    enum class answer_use
    {
        relay,       ///< The caller gets it as it comes.
        collect,     ///< The caller gets it once it is whole.
        turned_away, ///< The server didn't run the request.
        drop,        ///< It failed, and the request is sent again.
        unproven,    ///< A success without its server's mark.
        join,        ///< A stream goes on after what the caller has.
    };
    [[nodiscard]] answer_use use_for(const http::answer_head& p_head,
                                     const routing::answer_metadata& p_terms);
    [[nodiscard]] bool may_resend() const;
    [[nodiscard]] bool is_repeatable() const;
    void send_to(const dispatch::assignment& p_placed);
    void take_turned_away();
    void note_first_answer();
    void note_progress(time_point p_now);
    void log_end(int p_status) const;
    void begin_relay(const http::answer_head& p_head);
    void fail_call(backend::call_failure p_failure, bool p_crashed);
    void end_call(dispatch::send_result p_result);
    /// Sends it to another server, or gives up.
    void send_again(resend_reason p_why, const std::string& p_reason);
    void give_up(int p_status, const std::string& p_reason);
    void finish(request_result p_result);
    [[nodiscard]] request_outcome outcome(request_result p_result) const;
    void check_silence(time_point p_now);

    exchange_host& host_;
    exchange_plan plan_;
    request_log log_;
    std::shared_ptr<reply> reply_;
    std::weak_ptr<backend::connection> call_;
    std::optional<dispatch::assignment> placed_;
    std::set<std::string> excluded_; ///< Servers that didn't do.
    state state_ = state::waiting;
    answer_use use_ = answer_use::relay;
    http::answer_head head_; ///< Of the answer that is collected.
    std::string collected_;
    event_stream events_;
    time_point last_heard_{}; ///< From the server, or the send.
    time_point sent_at_{};
    std::optional<time_point> first_sent_at_;
    std::optional<time_point> first_part_at_;
    duration longest_pause_{};
    std::string last_server_;
    unsigned runs_ = 0; ///< Sends after which a server may have run it.
    unsigned sends_ = 0;
    unsigned unsent_ = 0; ///< Tries that reached no server.
    bool begun_ = false;  ///< The caller has the head of an answer.
    bool may_have_run_ = false;
};

} // namespace peridotspar::ingress
