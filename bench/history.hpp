#pragma once

#include "bench/scenario.hpp"
#include "policy/events.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace peridotspar::bench
{

/// The outcome of one planned request, including its resends by the caller.
struct request_history
{
    planned_request plan_; ///< `resends_left_` counts down during the run.
    tier tier_;
    time_point first_dispatch_{};
    time_point first_token_{};
    time_point last_token_{};
    time_point ended_{}; ///< Time of its last answer, complete or refused.
    /// Tokens that the caller received since it last sent the request.
    std::uint32_t delivered_tokens_ = 0;
    std::uint32_t executions_ = 0; ///< Attempts that reached an engine.
    std::uint32_t preemptions_ = 0;
    std::uint32_t refusals_ = 0;
    /// Value of `executions_` when the caller last sent the request.
    std::uint32_t executions_before_resend_ = 0;
    bool dispatched_ = false; ///< `first_dispatch_` is set.
    bool completed_ = false;  ///< The policy reported a complete answer.
    bool refused_ = false;    ///< Its latest answer was a refusal.
    bool node_lost_ = false;  ///< Its node was killed while it had the request.
    bool hit_cap_ = false;    ///< It was refused at least once as over its cap.
    std::uint32_t node_ = 0;  ///< Node that the request was last sent to.
    /// Reason of the latest refusal, if there was one.
    policy::refusal refusal_reason_ = policy::refusal::overloaded;
};

/// An invariant that a run violated.
struct violation
{
    time_point time_{};
    std::string description_;
};

/// Properties of a running attempt that decide whether it may be preempted.
struct attempt_properties
{
    tier tier_;
    std::uint32_t pool_ = 0;
    bool idempotent_ = true;
    bool on_minimum_share_ = false; ///< Uses the minimum share of lower tiers.
    bool borrowed_ = false;         ///< Runs beyond its client account's cap.
};

/// The recorded events of one run, which the checks and measures evaluate.
struct history
{
    std::vector<request_history> requests_;
    std::vector<violation> violations_;
    std::uint64_t generated_tokens_ = 0; ///< By all engines.
    /// Tokens produced, by client account and sample.
    std::vector<std::vector<std::uint32_t>> account_tokens_;
    /// Whether a request of another client account waited, by account and
    /// sample.
    std::vector<std::vector<bool>> others_waiting_;
    time_point end_{};          ///< Simulated time at which the run ended.
    std::uint64_t crashes_ = 0; ///< Engine crashes.
};

/// Length of one sample in the history.
constexpr duration sample_interval = std::chrono::milliseconds(100);

/// Checks a refusal as overloaded: records a violation if the node runs an
/// attempt in the same pool that it could have preempted instead, i.e. one of
/// a lower tier that is idempotent and not on the minimum share.
void check_load_shedding(history& r_history, const planned_request& p_request,
                         tier p_tier,
                         const std::vector<attempt_properties>& p_running,
                         time_point p_now);

/// Checks a preemption: records a violation unless the victim has a lower tier
/// than the attempt that replaces it or runs beyond its account's cap.
void check_preemption(history& r_history, const attempt_properties& p_victim,
                      const attempt_properties& p_preemptor, time_point p_now);

/// Checks the requests at the end of a run: each has an answer, completed
/// answers have all their tokens, and requests that aren't idempotent ran at
/// most once. Bounds on waiting times are expectations of the scenarios.
void check_final_state(history& r_history);

} // namespace peridotspar::bench
