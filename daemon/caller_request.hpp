#pragma once

#include "core/ids.hpp"
#include "core/verdict.hpp"
#include "daemon/pending_response.hpp"
#include "daemon/snapshot.hpp"
#include "policy/events.hpp"
#include "store/claim_segment.hpp"

#include <chrono>
#include <memory>
#include <optional>
#include <string>

namespace peridotspar
{

/// The authenticated client account of a request, the request's id and the
/// configuration that applies to it.
struct request_context
{
    std::shared_ptr<const snapshot> snapshot_;
    account_index account_;
    std::string account_name_;
    request_id id_;
    std::string id_text_; ///< The id as callers and logs see it.
};

/// A parsed and validated request of a caller.
struct caller_request
{
    policy::request decision_request_; ///< Input of the decider.
    call_template call_;               ///< What backend servers are sent.
    std::string class_name_;
    std::string model_;    ///< Empty for a call to a plain service.
    bool is_chat_ = false; ///< Chat completion rather than text completion.
    bool stream_ = false;  ///< The caller asked for server-sent events.
    std::string idempotency_key_; ///< Empty: the request may be repeated.
    /// Where the idempotency key is claimed in the store, if there is a key.
    std::optional<claim_location> claim_;
    /// Distinguishes this request's claim from others of the same key.
    std::string claim_nonce_;
    /// SHA-256 that detects the reuse of a key for a different request.
    std::string body_hash_;
};

/// Makes the failure of a request that is refused before any of it was sent to
/// a backend server. `p_retry_after` of zero: the caller should not retry.
[[nodiscard]] failure make_refusal(
    int p_status, std::string p_code, std::string p_message,
    std::chrono::milliseconds p_retry_after = std::chrono::milliseconds(0));

/// Time after which a caller that was refused temporarily is told to retry.
constexpr std::chrono::milliseconds default_retry_after{1000};

} // namespace peridotspar
