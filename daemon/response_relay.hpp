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

/// What relays need of the node.
struct relay_dependencies
{
    decision_loop& decision_loop_;
    backend_io& backends_;
    claim_committer<platform_client>& claim_committer_;
    burn_recorder& burn_recorder_;
    metrics& metrics_;
};

/// Brings one answer from its pending parts to the caller. Lives on the worker
/// thread that serves the caller.
class response_relay
{
public:
    response_relay(const relay_dependencies& p_dependencies,
                   http_exchange& r_exchange, const request_context& p_context,
                   caller_request& r_request,
                   std::shared_ptr<pending_response> p_response);
    void run();

private:
    void check_caller_connection();
    /// The caller hung up. Work that must not be repeated goes on, so that
    /// its answer is there for the resend.
    void handle_disconnect();
    void handle(pending_response::head& r_head);
    void handle(pending_response::chunk& r_chunk);
    void handle(pending_response::call_to_claim& r_call);
    void report_attempt_end(attempt_id p_attempt,
                            policy::attempt_result p_result);
    /// The key was used before: its answer if it is known, or what is known.
    void respond_from_claim(const claim_record& p_record);
    void handle(pending_response::response_end& r_end);
    void handle_failure(const failure& p_failure);
    void refuse(const failure& p_failure);
    void send_complete_response();
    void record_response();
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
    std::optional<pending_response::head> head_;
    std::string body_;
    time_point start_time_;
    time_point next_check_;
    time_point first_token_time_{};
    time_point last_token_time_{};
    std::uint32_t tokens_ = 0;
    bool streaming_ = false;
    bool caller_gone_ = false;
    bool holds_claim_ = false;
    bool ended_ = false;
};

} // namespace peridotspar
