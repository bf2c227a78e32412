#pragma once

#include "core/verdict.hpp"
#include "policy/catalogue.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>
#include <variant>
#include <vector>

/// What the decision logic is told and what it answers. All times are given
/// with the call; nothing here reads a clock.
namespace peridotspar::policy
{

/// A request as the decision sees it.
struct request
{
    request_id id_;
    account_index account_;
    class_index class_;
    pool_index pool_;
    std::uint32_t prompt_tokens_ = 0;
    std::uint32_t max_output_tokens_ = 0; ///< 0: no limit given.
    std::uint64_t prefix_hash_ = 0;       ///< 0: no shared prefix.
    fingerprint fingerprint_;
    std::optional<time_point> deadline_; ///< When the answer must be whole.
    bool idempotent_ = true;
};

enum class attempt_result : std::uint8_t
{
    completed,
    refused,             ///< The backend server turned it away before it began.
    unsent,              ///< Provably no byte left; the server may be gone.
    connection_lost,     ///< The connection broke after bytes had left.
    key_already_claimed, ///< Another attempt holds the claim on its key.
    claim_failed,        ///< The claim could not be made; nothing was sent.
};

// Events.

struct catalogue_changed
{
    std::shared_ptr<const catalogue> catalogue_;
};
struct request_arrived
{
    request request_;
};
/// More output of an attempt; the first one is its first token.
struct output_received
{
    attempt_id attempt_;
    std::uint32_t tokens_ = 0;
};
struct attempt_ended
{
    attempt_id attempt_;
    attempt_result result_ = attempt_result::completed;
};
struct caller_disconnected
{
    request_id request_;
};
/// An engine's own word of its load, which comes late.
struct load_reported
{
    backend_index backend_;
    std::uint32_t running_ = 0;
    std::uint32_t waiting_ = 0;
    time_point observed_at_;
};
/// Whether the VM list or an operator lets a backend server take new work.
struct backend_admission_changed
{
    backend_index backend_;
    bool accepts_new_ = true;
};
/// The nodes that share the caps: those that the VM list knows, dead or not.
struct nodes_changed
{
    std::vector<node_id> listed_; ///< Divides the caps.
    std::vector<node_id> live_;   ///< Takes part in pooling.
};

struct backend_use
{
    backend_index backend_;
    tier_counts running_{}; ///< Attempts of the sending node, by tier.
    std::uint16_t long_running_ = 0;
};
struct pool_demand
{
    pool_index pool_;
    tier_counts waiting_{};
};
struct crash_record
{
    backend_index backend_; ///< Where it was running.
    fingerprint fingerprint_;
    bool quarantined_ = false;
};
/// A node's state that its peers use. Sent often; the last one counts.
struct digest
{
    node_id from_;
    std::uint64_t view_hash_ = 0; ///< Hash of the live nodes that it knows.
    std::vector<backend_use> uses_;
    std::vector<pool_demand> demands_;
    std::vector<crash_record> crashes_;
    std::vector<backend_index> slow_;
};
struct digest_received
{
    digest digest_;
};

struct cap_claim
{
    account_index account_;
    double wanted_tokens_per_s_ = 0;
    std::uint32_t wanted_concurrent_ = 0;
};
struct cap_grant
{
    account_index account_;
    double tokens_per_s_ = 0;
    std::uint32_t concurrent_ = 0;
};
/// A node asks this one, as home of the accounts, for a part of their caps.
struct caps_claimed
{
    node_id from_;
    std::vector<cap_claim> claims_;
};
/// The answer of an account's home node.
struct caps_granted
{
    std::vector<cap_grant> grants_;
};
/// A peer asks this node to preempt work below `requester_tier_` at a backend
/// server.
struct preemption_requested
{
    backend_index backend_;
    tier requester_tier_;
};
struct clock_ticked
{
};

using event = std::variant<catalogue_changed, request_arrived, output_received,
                           attempt_ended, caller_disconnected, load_reported,
                           backend_admission_changed, nodes_changed,
                           digest_received, caps_claimed, caps_granted,
                           preemption_requested, clock_ticked>;

// Actions.

struct dispatch
{
    request_id request_;
    attempt_id attempt_;
    backend_index backend_;
    tier priority_;
    std::uint32_t resume_from_ = 0; ///< Output tokens that exist already.
    bool on_minimum_share_ = false; ///< Runs on the minimum share.
    bool borrowed_ = false;         ///< Runs beyond its account's cap.
};

enum class cancel_reason : std::uint8_t
{
    preempted,
    overdue, ///< No first token in time; tried elsewhere.
    caller_disconnected,
};
/// Ends an attempt at its backend server; no more is wanted of it.
struct cancel_attempt
{
    request_id request_;
    attempt_id attempt_;
    cancel_reason reason_ = cancel_reason::preempted;
};

enum class refusal : std::uint8_t
{
    over_cap,
    overloaded,
    deadline,
    quarantined,
    no_backend,
    backend_failed,
};

[[nodiscard]] constexpr std::string_view to_string(refusal p_reason) noexcept
{
    switch (p_reason)
    {
    case refusal::over_cap:
        return "over_cap";
    case refusal::overloaded:
        return "overloaded";
    case refusal::deadline:
        return "deadline";
    case refusal::quarantined:
        return "quarantined";
    case refusal::no_backend:
        return "no_backend";
    case refusal::backend_failed:
        return "backend_failed";
    }
    return "backend_failed";
}

/// The final answer of a request that is given up.
struct refuse
{
    request_id request_;
    refusal reason_ = refusal::overloaded;
    verdict verdict_ = verdict::not_run;
    duration retry_after_{};
};
/// The request's answer is whole.
struct complete
{
    request_id request_;
};
struct publish_digest
{
    digest digest_;
};
struct claim_caps
{
    node_id home_;
    std::vector<cap_claim> claims_;
};
struct grant_caps
{
    node_id to_;
    std::vector<cap_grant> grants_;
};
struct request_preemption
{
    node_id to_;
    backend_index backend_;
    tier requester_tier_;
};

using action =
    std::variant<dispatch, cancel_attempt, refuse, complete, publish_digest,
                 claim_caps, grant_caps, request_preemption>;

/// Decides on requests: events in, actions out, at the time given.
/// Deterministic for a seed; not safe for use by several threads at a time.
template <class Policy>
concept dispatch_policy = requires(Policy& p_policy, const event& p_event,
                                   time_point p_now,
                                   std::vector<action>& r_actions)
{
    p_policy.handle(p_event, p_now, r_actions);
};

} // namespace peridotspar::policy
