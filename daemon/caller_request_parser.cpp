#include "daemon/caller_request_parser.hpp"

#include "core/text.hpp"
#include "policy/hashing.hpp"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

namespace peridotspar
{

namespace
{

using json = nlohmann::json;
using std::chrono::milliseconds;

/// Used to estimate the number of prompt tokens without a tokenizer.
constexpr std::size_t estimated_bytes_per_token = 4;
/// The messages of a chat but the last, which is the request's own, and the
/// whole request.
std::vector<quarantine::suspect> make_suspects(const json& p_messages,
                                               const std::string& p_model,
                                               fingerprint p_fingerprint)
{
    std::vector<quarantine::suspect> suspects;
    const std::uint64_t model_hash = policy::hash_text(p_model);
    for (std::size_t i = 0; i + 1 < p_messages.size(); ++i)
    {
        suspects.push_back({quarantine::suspect_key(policy::hash_text(
                                p_messages[i].dump(), model_hash)),
                            static_cast<std::uint32_t>(i + 1)});
    }
    suspects.push_back({quarantine::suspect_key(p_fingerprint.value()),
                        quarantine::whole_request});
    return suspects;
}

/// Length of the prompt prefix whose hash selects a preferred backend server. A
/// shorter prompt gets no preference: reusing a cached prefix saves too little.
constexpr std::size_t hashed_prefix_bytes = 512;
/// How far the time stamp of an idempotency key may lie in the future, because
/// the clocks of callers and nodes differ.
constexpr std::int64_t max_key_clock_skew_ms = 60'000;

bool is_idempotent_method(std::string_view p_method)
{
    return p_method == "GET" || p_method == "HEAD";
}

} // namespace

failure make_refusal(int p_status, std::string p_code, std::string p_message,
                     milliseconds p_retry_after)
{
    return {p_status, std::move(p_code), std::move(p_message), verdict::not_run,
            p_retry_after};
}

std::optional<failure>
caller_request_parser::parse_common_headers(http_exchange& r_exchange,
                                            const request_context& p_context,
                                            caller_request& r_request) const
{
    const auto& current = *p_context.snapshot_;
    r_request.decision_request_.id_ = p_context.id_;
    r_request.decision_request_.account_ = p_context.account_;
    r_request.class_name_ = r_exchange.header("X-Class");
    if (r_request.class_name_.empty())
    {
        for (const auto& account : current.document_.accounts_)
        {
            if (account.name_ == p_context.account_name_)
            {
                r_request.class_name_ = account.default_class_;
            }
        }
    }
    const auto request_class = current.classes_.find(r_request.class_name_);
    if (request_class == current.classes_.end())
    {
        return make_refusal(400, "unknown_class",
                            "header X-Class names no class of work");
    }
    r_request.decision_request_.class_ = request_class->second;
    const std::string deadline = r_exchange.header("X-Deadline-Ms");
    if (!deadline.empty())
    {
        constexpr std::size_t max_digits = 9;
        if (deadline.find_first_not_of("0123456789") != std::string::npos ||
            deadline.size() > max_digits)
        {
            return make_refusal(400, "invalid_deadline",
                                "header X-Deadline-Ms must be milliseconds");
        }
        r_request.decision_request_.deadline_ =
            monotonic_clock().now() + milliseconds(std::stol(deadline));
        // A timeout of 0 would mean no limit.
        r_request.call_.timeout_ =
            milliseconds(std::max(1L, std::stol(deadline)));
    }
    return std::nullopt;
}

std::optional<failure> caller_request_parser::parse_idempotency_key(
    http_exchange& r_exchange, const request_context& p_context,
    bool p_required, caller_request& r_request) const
{
    r_request.idempotency_key_ = r_exchange.header("Idempotency-Key");
    if (r_request.idempotency_key_.empty())
    {
        if (!p_required)
        {
            return std::nullopt;
        }
        return make_refusal(
            400, "idempotency_key_missing",
            "this call may not be repeated; it needs the header "
            "Idempotency-Key, or X-Idempotent: true if it may");
    }
    r_request.claim_ =
        locate_claim(p_context.account_name_, r_request.idempotency_key_);
    if (!r_request.claim_)
    {
        return make_refusal(400, "invalid_idempotency_key",
                            "header Idempotency-Key must be a version-7 UUID");
    }
    const std::int64_t age =
        unix_ms() - uuid7_unix_ms(r_request.idempotency_key_);
    if (age < -max_key_clock_skew_ms)
    {
        return make_refusal(400, "invalid_idempotency_key",
                            "header Idempotency-Key is from the future");
    }
    if (age > claim_retention_ms)
    {
        // The claim of an earlier request with this key may already have been
        // deleted, so it isn't known whether that request ran.
        return failure{400, "idempotency_key_expired",
                       "header Idempotency-Key is older than 24 hours",
                       verdict::may_have_run, milliseconds(0)};
    }
    r_request.claim_nonce_ = random_hex(16);
    r_request.decision_request_.idempotent_ = false;
    r_request.call_.idempotent_ = false;
    return std::nullopt;
}

outcome<caller_request>
caller_request_parser::parse_completion(http_exchange& r_exchange,
                                        const request_context& p_context,
                                        bool p_chat) const
{
    caller_request request;
    auto body = r_exchange.read_body(settings_.body_bytes_,
                                     settings_.request_read_timeout_);
    if (!body)
    {
        return tl::unexpected(body.error());
    }
    json payload = json::parse(*body, nullptr, false);
    if (!payload.is_object())
    {
        return tl::unexpected(
            make_refusal(400, "invalid_json", "the body is not a JSON object"));
    }
    const char* prompt_field = p_chat ? "messages" : "prompt";
    const bool prompt_fits = payload.contains(prompt_field) &&
                             (p_chat ? payload[prompt_field].is_array() &&
                                           !payload[prompt_field].empty()
                                     : payload[prompt_field].is_string());
    if (!prompt_fits)
    {
        return tl::unexpected(make_refusal(
            400, "invalid_field",
            std::string(prompt_field) +
                (p_chat ? " must be a list of messages" : " must be a text")));
    }
    if (!payload.contains("model") || !payload["model"].is_string())
    {
        return tl::unexpected(
            make_refusal(400, "invalid_field", "model must be a text"));
    }
    request.model_ = payload["model"].get<std::string>();
    const auto pool = p_context.snapshot_->models_.find(request.model_);
    if (pool == p_context.snapshot_->models_.end())
    {
        return tl::unexpected(
            make_refusal(404, "model_not_found", "model names no model"));
    }
    const json max_tokens = payload.value("max_tokens", json());
    constexpr std::int64_t output_token_limit = 1'000'000;
    if (!max_tokens.is_null() &&
        (!max_tokens.is_number_integer() ||
         max_tokens.get<std::int64_t>() < 1 ||
         max_tokens.get<std::int64_t>() > output_token_limit))
    {
        return tl::unexpected(make_refusal(
            400, "invalid_field", "max_tokens must be a whole number above 0"));
    }
    const json stream = payload.value("stream", json(false));
    if (!stream.is_boolean())
    {
        return tl::unexpected(
            make_refusal(400, "invalid_field", "stream must be true or false"));
    }
    if (auto error = parse_common_headers(r_exchange, p_context, request))
    {
        return tl::unexpected(*error);
    }
    if (auto error =
            parse_idempotency_key(r_exchange, p_context, false, request))
    {
        return tl::unexpected(*error);
    }
    request.is_chat_ = p_chat;
    request.stream_ = stream.get<bool>();
    const std::string prompt = payload[prompt_field].dump();
    auto& decision_request = request.decision_request_;
    decision_request.pool_ = pool->second;
    decision_request.prompt_tokens_ = static_cast<std::uint32_t>(
        prompt.size() / estimated_bytes_per_token + 1);
    decision_request.max_output_tokens_ =
        max_tokens.is_null() ? 0 : max_tokens.get<std::uint32_t>();
    decision_request.fingerprint_ = fingerprint(
        policy::hash_text(prompt, policy::hash_text(request.model_)));
    decision_request.suspects_ =
        make_suspects(p_chat ? payload[prompt_field] : json::array(),
                      request.model_, decision_request.fingerprint_);
    if (prompt.size() >= hashed_prefix_bytes)
    {
        decision_request.prefix_hash_ = policy::hash_text(
            std::string_view(prompt).substr(0, hashed_prefix_bytes));
    }
    request.body_hash_ = sha256_hex(*body);
    // Engines always stream; the relay collects the response if the caller
    // didn't ask for a stream.
    payload["stream"] = true;
    // pending_response::begin_attempt() sets these fields for each attempt.
    payload.erase("priority");
    payload.erase("resume_from");
    request.call_.target_ = p_chat ? "/v1/chat/completions" : "/v1/completions";
    request.call_.headers_ = {{"Content-Type", "application/json"},
                              {"X-Request-Id", p_context.id_text_}};
    request.call_.body_ =
        payload.dump(-1, ' ', false, json::error_handler_t::replace);
    return request;
}

outcome<caller_request> caller_request_parser::parse_service_call(
    http_exchange& r_exchange, const request_context& p_context) const
{
    static constexpr std::string_view prefix = "/v1/services/";
    caller_request request;
    const auto rest = r_exchange.path().substr(prefix.size());
    const auto slash = rest.find('/');
    const std::string name(rest.substr(0, slash));
    const auto pool = p_context.snapshot_->services_.find(name);
    if (pool == p_context.snapshot_->services_.end())
    {
        return tl::unexpected(make_refusal(404, "service_not_found",
                                           "the path names no service"));
    }
    auto body = r_exchange.read_body(settings_.body_bytes_,
                                     settings_.request_read_timeout_);
    if (!body)
    {
        return tl::unexpected(body.error());
    }
    if (auto error = parse_common_headers(r_exchange, p_context, request))
    {
        return tl::unexpected(*error);
    }
    const std::string method(r_exchange.method());
    const bool may_repeat = is_idempotent_method(method) ||
                            r_exchange.header("X-Idempotent") == "true";
    if (auto error =
            parse_idempotency_key(r_exchange, p_context, !may_repeat, request))
    {
        return tl::unexpected(*error);
    }
    auto& call = request.call_;
    call.is_engine_call_ = false;
    call.method_ = method;
    call.target_ =
        slash == std::string_view::npos ? "/" : std::string(rest.substr(slash));
    if (!r_exchange.query().empty())
    {
        call.target_ += "?" + std::string(r_exchange.query());
    }
    const std::string type = r_exchange.header("Content-Type");
    call.headers_ = {{"X-Request-Id", p_context.id_text_}};
    if (!type.empty())
    {
        call.headers_.emplace_back("Content-Type", type);
    }
    if (!request.idempotency_key_.empty())
    {
        call.headers_.emplace_back("Idempotency-Key", request.idempotency_key_);
    }
    request.body_hash_ = sha256_hex(method + " " + call.target_ + "\n" + *body);
    call.body_ = std::move(*body);
    auto& decision_request = request.decision_request_;
    decision_request.pool_ = pool->second;
    decision_request.prompt_tokens_ = 1;
    decision_request.fingerprint_ = fingerprint(
        policy::hash_text(request.body_hash_ + request.idempotency_key_));
    decision_request.suspects_ =
        make_suspects(json::array(), {}, decision_request.fingerprint_);
    return request;
}

} // namespace peridotspar
