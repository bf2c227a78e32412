#pragma once

#include "daemon/caller_request.hpp"
#include "daemon/completion_accumulator.hpp"
#include "daemon/decision_loop.hpp"
#include "observe/burn_recorder.hpp"
#include "observe/metrics.hpp"
#include "store/claim_committer.hpp"
#include "store/platform_client.hpp"
#include "transport/http_server.hpp"

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace peridotspar
{

/// The parts of a node that a response_relay uses. They must outlive it.
struct relay_dependencies
{
    decision_loop& decision_loop_;
    backend_io& backends_;
    claim_committer<platform_client>& claim_committer_;
    burn_recorder& burn_recorder_;
    metrics& metrics_;
};

/// Relays one response from its pending_response to the caller, claims the
/// idempotency key before anything is sent to a backend server, and records the
/// outcome. Used only on the worker thread that serves the caller.
class response_relay
{
public:
    response_relay(const relay_dependencies& p_dependencies,
                   http_exchange& r_exchange, const request_context& p_context,
                   caller_request& r_request,
                   std::shared_ptr<pending_response> p_response);
    /// Returns when the response is complete or refused, or when the caller of
    /// a repeatable request has disconnected.
    void run();

private:
    void check_caller_connection();
    /// Handles the loss of the caller's connection. A request that may be
    /// repeated is cancelled. One that must not be repeated continues, so that
    /// its response is recorded for the caller's retry.
    void handle_disconnect();
    void handle(pending_response::head& r_head);
    void handle(pending_response::chunk& r_chunk);
    /// Claims the idempotency key and sends the call if the claim is granted.
    void handle(pending_response::call_to_claim& r_call);
    void report_attempt_end(attempt_id p_attempt,
                            policy::attempt_result p_result);
    /// Answers a request whose idempotency key is already claimed: replays the
    /// recorded response, or sends an error that says what is known.
    void respond_from_claim(const claim_record& p_record);
    void handle(pending_response::response_end& r_end);
    /// Ends the response with an error. Releases the claim if the request did
    /// not run, so that the caller may retry with the same key.
    void handle_failure(const failure& p_failure);
    void refuse(const failure& p_failure);
    void send_complete_response();
    /// Records the response under the claimed key, to replay it on a retry.
    void record_response();
    /// Counts the request in the metrics and in the burn rates.
    /// `p_refusal_code`: empty if the request completed.
    void record_request(const std::string& p_refusal_code);
    void log_result(std::string_view p_event, int p_status,
                    std::string_view p_reason = {},
                    verdict p_verdict = verdict::completed);

    relay_dependencies dependencies_;
    http_exchange& exchange_;
    const request_context& context_;
    caller_request& request_;
    std::shared_ptr<pending_response> response_;
    monotonic_clock clock_;
    completion_accumulator completion_;
    /// Status and content type; not set for an event stream.
    std::optional<pending_response::head> head_;
    std::string body_; ///< Body of a response that isn't an event stream.
    time_point start_time_;
    time_point next_check_;
    time_point first_token_time_{};
    time_point last_token_time_{};
    std::uint32_t tokens_ = 0;
    bool streaming_ = false; ///< The response headers have been sent.
    bool caller_gone_ = false;
    bool holds_claim_ = false;
    bool ended_ = false;
};

} // namespace peridotspar
