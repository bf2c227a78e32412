#pragma once

#include "bench/scenario.hpp"
#include "policy/events.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace peridotspar::bench
{

/// What happened to one planned request, with all its resends.
struct request_history
{
    planned_request plan_;
    tier tier_;
    time_point first_dispatch_{};
    time_point first_token_{};
    time_point last_token_{};
    time_point ended_{};
    std::uint32_t delivered_tokens_ =
        0;                         ///< Tokens that reached the caller in order.
    std::uint32_t executions_ = 0; ///< Times that an engine began on it.
    std::uint32_t preemptions_ = 0;
    std::uint32_t refusals_ = 0;
    std::uint32_t executions_before_resend_ = 0; ///< Before it was sent last.
    bool dispatched_ = false;
    bool completed_ = false;
    bool refused_ = false;   ///< Its last answer was a refusal.
    bool node_lost_ = false; ///< Its node died.
    bool hit_cap_ = false;   ///< Was refused for its cap at least once.
    std::uint32_t node_ = 0; ///< That has it now.
    policy::refusal refusal_reason_ = policy::refusal::overloaded;
};

/// A promise that a run broke.
struct violation
{
    time_point time_{};
    std::string description_;
};

/// Work running on one node at a moment, as the node's policy knows it.
struct running_work
{
    tier tier_;
    std::uint32_t pool_ = 0;
    bool idempotent_ = true;
    bool on_minimum_share_ = false;
    bool borrowed_ = false;
};

/// All that a run did, for the checker and the measures.
struct history
{
    std::vector<request_history> requests_;
    std::vector<violation> violations_;
    std::uint64_t generated_tokens_ = 0; ///< Tokens, by all engines.
    /// Tokens by account in slots of 100 ms.
    std::vector<std::vector<std::uint32_t>> account_tokens_;
    /// Whether another account's request waited, by account and slot.
    std::vector<std::vector<bool>> others_waiting_;
    time_point end_{};
    std::uint64_t crashes_ = 0;
};

constexpr duration sample_interval = std::chrono::milliseconds(100);

/// Checks a refusal for want of capacity: no lower-tier work that could be
/// preempted may be running on the node in the same pool.
void check_load_shedding(history& r_history, const planned_request& p_request,
                         tier p_tier,
                         const std::vector<running_work>& p_running,
                         time_point p_now);

/// Checks a preemption for a request that starts in its place.
void check_preemption(history& r_history, const running_work& p_victim,
                      const running_work& p_preemptor, time_point p_now);

/// Checks what can only be seen at the end: single runs, true verdicts, and
/// whole answers. The bounds on waiting are expectations of the scenarios.
void check_final_state(history& r_history);

} // namespace peridotspar::bench
