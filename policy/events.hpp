#pragma once

#include "core/verdict.hpp"
#include "policy/catalogue.hpp"
#include "quarantine/crash_attribution.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>
#include <variant>
#include <vector>

/// Events that a dispatch policy receives and actions that it returns. The
/// caller passes the time of each event; nothing here reads a clock.
namespace peridotspar::policy
{

/// The properties of a request that decisions depend on.
struct request
{
    request_id id_;
    account_index account_;
    class_index class_;
    pool_index pool_;
    std::uint32_t prompt_tokens_ = 0;
    std::uint32_t max_output_tokens_ = 0; ///< 0: the caller set no limit.
    /// Hash of the start of the prompt, which selects a preferred backend
    /// server; 0: no preference.
    std::uint64_t prefix_hash_ = 0;
    fingerprint fingerprint_; ///< Equal for equal requests.
    /// What may make backend servers crash: the parts of its prompt that other
    /// requests may share, and at the end the whole request. May be empty.
    std::vector<quarantine::suspect> suspects_;
    std::optional<time_point> deadline_; ///< Latest end of the answer.
    bool idempotent_ = true;             ///< May run more than once.
};

/// How an attempt to run a request at a backend server ended.
enum class attempt_result : std::uint8_t
{
    completed, ///< The whole answer was received.
    refused,   ///< The backend server rejected the request before running it.
    unsent,    ///< No byte was sent; the backend server may be down.
    connection_lost,     ///< The connection failed after bytes were sent.
    key_already_claimed, ///< Another attempt has claimed its idempotency key.
    claim_failed, ///< The store did not record the claim; nothing was sent.
};

// Events.

/// A new configuration is in force.
struct catalogue_changed
{
    std::shared_ptr<const catalogue> catalogue_;
};
/// A caller submitted a request.
struct request_arrived
{
    request request_;
};
/// An attempt produced output. The first such event of an attempt marks its
/// first token.
struct output_received
{
    attempt_id attempt_;
    std::uint32_t tokens_ = 0; ///< Tokens since the previous event.
};
/// An attempt ended at its backend server.
struct attempt_ended
{
    attempt_id attempt_;
    attempt_result result_ = attempt_result::completed;
};
/// The caller closed its connection before the answer was complete.
struct caller_disconnected
{
    request_id request_;
};
/// The load that a backend server reports of itself; it arrives with a delay.
struct load_reported
{
    backend_index backend_;
    std::uint32_t running_ = 0; ///< Requests in service.
    std::uint32_t waiting_ = 0; ///< Requests in its queue.
    time_point observed_at_;    ///< When the load was measured.
};
/// The VM list or an operator changed whether a backend server may take new
/// requests.
struct backend_admission_changed
{
    backend_index backend_;
    bool accepts_new_ = true;
};
/// The set of nodes changed. Caps are divided between all nodes of the VM list,
/// live or not.
struct nodes_changed
{
    std::vector<node_id> listed_; ///< Nodes of the VM list.
    std::vector<node_id> live_;   ///< Nodes that take part in pooling caps.
};

/// The work that the sender of a digest runs at one backend server.
struct backend_use
{
    backend_index backend_;
    tier_counts running_{};          ///< Attempts by tier.
    std::uint16_t long_running_ = 0; ///< Attempts with long output.
};
/// The requests that wait at the sender of a digest in one pool.
struct pool_demand
{
    pool_index pool_;
    tier_counts waiting_{}; ///< By tier.
};
/// A request that ran on a backend server when the server crashed.
struct crash_record
{
    backend_index backend_; ///< The backend server that crashed.
    fingerprint fingerprint_;
    bool quarantined_ = false; ///< Requests like it are refused.
};
/// The state that a node shares with its peers. It is sent periodically, and
/// each digest replaces the sender's previous one.
struct digest
{
    node_id from_;
    std::uint64_t view_hash_ = 0; ///< Hash of the nodes that it sees as live.
    std::vector<backend_use> uses_;
    std::vector<pool_demand> demands_;
    std::vector<crash_record> crashes_;
    std::vector<backend_index> slow_; ///< Backend servers on probation.
    std::vector<quarantine::suspect_report> suspects_;
};
/// A peer sent its digest.
struct digest_received
{
    digest digest_;
};

/// The part of a client account's cap that a node wants to use.
struct cap_claim
{
    account_index account_;
    double wanted_tokens_per_s_ = 0;
    std::uint32_t wanted_concurrent_ = 0;
};
/// The part of a client account's cap that a node may use for
/// `tuning::cap_grant_lifetime_`.
struct cap_grant
{
    account_index account_;
    double tokens_per_s_ = 0;
    std::uint32_t concurrent_ = 0;
};
/// A peer claims parts of caps from this node as the home node of the accounts.
struct caps_claimed
{
    node_id from_;
    std::vector<cap_claim> claims_;
};
/// A home node answered claims of this node.
struct caps_granted
{
    std::vector<cap_grant> grants_;
};
/// A peer asks this node to preempt one of its attempts of a lower tier than
/// `requester_tier_` at a backend server.
struct preemption_requested
{
    backend_index backend_;
    tier requester_tier_;
};
/// Time passed. Periodic work runs only on this event.
struct clock_ticked
{
};

using event = std::variant<catalogue_changed, request_arrived, output_received,
                           attempt_ended, caller_disconnected, load_reported,
                           backend_admission_changed, nodes_changed,
                           digest_received, caps_claimed, caps_granted,
                           preemption_requested, clock_ticked>;

// Actions.

/// Starts an attempt at a backend server.
struct dispatch
{
    request_id request_;
    attempt_id attempt_;
    backend_index backend_;
    tier priority_;
    std::uint32_t resume_from_ = 0; ///< Output tokens of earlier attempts.
    bool on_minimum_share_ = false; ///< Uses the minimum share of lower tiers.
    bool borrowed_ = false;         ///< Runs beyond its client account's cap.
};

/// Why an attempt is cancelled.
enum class cancel_reason : std::uint8_t
{
    preempted, ///< A request of a higher tier or within its cap needs the slot.
    overdue,   ///< Output is late or slow; another backend server is tried.
    caller_disconnected, ///< Nobody waits for the answer.
};
/// Cancels an attempt at its backend server. Later output of it is ignored.
struct cancel_attempt
{
    request_id request_;
    attempt_id attempt_;
    cancel_reason reason_ = cancel_reason::preempted;
};

/// Why a request is refused.
enum class refusal : std::uint8_t
{
    over_cap,       ///< Its client account has used up its cap.
    overloaded,     ///< It would wait longer than its class allows.
    deadline,       ///< Its answer would not be complete by its deadline.
    quarantined,    ///< Requests with its content crash backend servers.
    no_backend,     ///< No backend server of its pool accepts new requests.
    backend_failed, ///< An attempt failed and no retry is allowed.
};

/// The reason's name as callers and logs see it.
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

/// Ends a request without an answer.
struct refuse
{
    request_id request_;
    refusal reason_ = refusal::overloaded;
    verdict verdict_ = verdict::not_run;
    duration retry_after_{}; ///< Zero: the caller should not retry.
};
/// Ends a request whose answer is complete.
struct complete
{
    request_id request_;
};
/// Sends a digest to all live peers.
struct publish_digest
{
    digest digest_;
};
/// Claims parts of caps from the home node of their accounts.
struct claim_caps
{
    node_id home_;
    std::vector<cap_claim> claims_;
};
/// Answers the claims of a peer.
struct grant_caps
{
    node_id to_;
    std::vector<cap_grant> grants_;
};
/// Asks a peer to preempt one of its attempts of a lower tier than
/// `requester_tier_` at a backend server.
struct request_preemption
{
    node_id to_;
    backend_index backend_;
    tier requester_tier_;
};

using action =
    std::variant<dispatch, cancel_attempt, refuse, complete, publish_digest,
                 claim_caps, grant_caps, request_preemption>;

/// A policy that decides on requests: it takes one event with its time and
/// appends the resulting actions. It is deterministic for a given seed. Calls
/// must not overlap.
template <class Policy>
concept dispatch_policy = requires(Policy& p_policy, const event& p_event,
                                   time_point p_now,
                                   std::vector<action>& r_actions)
{
    p_policy.handle(p_event, p_now, r_actions);
};

} // namespace peridotspar::policy
