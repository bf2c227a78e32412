#pragma once

#include "core/ids.hpp"
#include "core/verdict.hpp"
#include "daemon/pending_answer.hpp"
#include "daemon/snapshot.hpp"
#include "policy/events.hpp"
#include "store/claim_segment.hpp"

#include <chrono>
#include <memory>
#include <optional>
#include <string>

namespace peridotspar
{

/// Who asks.
struct caller_identity
{
    std::shared_ptr<const snapshot> snapshot_;
    account_index account_;
    std::string account_name_;
    request_id id_;
    std::string id_text_;
};

/// What is asked, ready for a decision.
struct caller_work
{
    policy::request request_;
    call_template call_;
    std::string class_name_;
    std::string model_;
    bool chat_ = false;
    bool stream_ = false;
    std::string key_;
    std::optional<claim_location> claim_;
    std::string nonce_;
    std::string body_hash_;
};

/// The failure of a call that is refused before anything was sent.
[[nodiscard]] failure refused_call(
    int p_status, std::string p_code, std::string p_message,
    std::chrono::milliseconds p_retry_after = std::chrono::milliseconds(0));

/// When a caller that is refused for the moment is told to come back.
constexpr std::chrono::milliseconds soon{1000};

} // namespace peridotspar
