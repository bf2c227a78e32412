#pragma once

#include "daemon/caller_work.hpp"
#include "daemon/completion_text.hpp"
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
struct relay_parts
{
    decision_loop& decisions_;
    backend_io& backends_;
    claim_committer<platform_client>& claims_;
    burn_recorder& burn_;
    metrics& metrics_;
};

/// Brings one answer from its pending parts to the caller. Lives on the worker
/// thread that serves the caller.
class answer_relay
{
public:
    answer_relay(const relay_parts& p_parts, http_exchange& r_exchange,
                 const caller_identity& p_caller, caller_work& r_work,
                 std::shared_ptr<pending_answer> p_answer);
    void run();

private:
    void check_caller();
    /// The caller hung up. Work that must not be repeated goes on, so that
    /// its answer is there for the resend.
    void leave();
    void take(pending_answer::head& r_head);
    void take(pending_answer::bytes& r_bytes);
    void take(pending_answer::claim_call& r_call);
    void end_attempt(attempt_id p_attempt, policy::attempt_result p_result);
    /// The key was used before: its answer if it is known, or what is known.
    void answer_taken(const claim_record& p_record);
    void take(pending_answer::ending& r_ending);
    void fail(const failure& p_failure);
    void refuse(const failure& p_failure);
    void send_whole();
    void record_answer();
    void note(const std::string& p_refusal);
    void log(std::string_view p_event, int p_status,
             std::string_view p_reason = {},
             verdict p_verdict = verdict::completed);

    relay_parts parts_;
    http_exchange& exchange_;
    const caller_identity& caller_;
    caller_work& work_;
    std::shared_ptr<pending_answer> answer_;
    monotonic_clock clock_;
    completion_text text_;
    std::optional<pending_answer::head> head_;
    std::string body_;
    time_point started_;
    time_point next_check_;
    time_point first_token_{};
    time_point last_token_{};
    std::uint32_t tokens_ = 0;
    bool streaming_ = false;
    bool gone_ = false;
    bool held_ = false;
    bool ended_ = false;
};

} // namespace peridotspar
