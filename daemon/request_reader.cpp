#include "daemon/request_reader.hpp"

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

constexpr std::size_t bytes_per_token = 4;
/// A prompt shorter than this isn't worth steering to a warm cache.
constexpr std::size_t shortest_prefix_bytes = 512;
constexpr std::int64_t newest_key_ms = 60'000;

bool is_idempotent_method(std::string_view p_method)
{
    return p_method == "GET" || p_method == "HEAD";
}

} // namespace

failure refused_call(int p_status, std::string p_code, std::string p_message,
                     milliseconds p_retry_after)
{
    return {p_status, std::move(p_code), std::move(p_message), verdict::not_run,
            p_retry_after};
}

std::optional<failure>
request_reader::read_common(http_exchange& r_exchange,
                            const caller_identity& p_caller,
                            caller_work& r_work) const
{
    const auto& current = *p_caller.snapshot_;
    r_work.request_.id_ = p_caller.id_;
    r_work.request_.account_ = p_caller.account_;
    r_work.class_name_ = r_exchange.header("X-Class");
    if (r_work.class_name_.empty())
    {
        for (const auto& account : current.document_.accounts_)
        {
            if (account.name_ == p_caller.account_name_)
            {
                r_work.class_name_ = account.default_class_;
            }
        }
    }
    const auto kind = current.classes_.find(r_work.class_name_);
    if (kind == current.classes_.end())
    {
        return refused_call(400, "unknown_class",
                            "header X-Class names no class of work");
    }
    r_work.request_.class_ = kind->second;
    const std::string deadline = r_exchange.header("X-Deadline-Ms");
    if (!deadline.empty())
    {
        constexpr std::size_t most_digits = 9;
        if (deadline.find_first_not_of("0123456789") != std::string::npos ||
            deadline.size() > most_digits)
        {
            return refused_call(400, "invalid_deadline",
                                "header X-Deadline-Ms must be milliseconds");
        }
        r_work.request_.deadline_ =
            monotonic_clock().now() + milliseconds(std::stol(deadline));
        // Zero would mean no limit to the I/O thread.
        r_work.call_.timeout_ = milliseconds(std::max(1L, std::stol(deadline)));
    }
    return std::nullopt;
}

std::optional<failure> request_reader::read_key(http_exchange& r_exchange,
                                                const caller_identity& p_caller,
                                                bool p_required,
                                                caller_work& r_work) const
{
    r_work.key_ = r_exchange.header("Idempotency-Key");
    if (r_work.key_.empty())
    {
        if (!p_required)
        {
            return std::nullopt;
        }
        return refused_call(
            400, "idempotency_key_missing",
            "this call may not be repeated; it needs the header "
            "Idempotency-Key, or X-Idempotent: true if it may");
    }
    r_work.claim_ = locate_claim(p_caller.account_name_, r_work.key_);
    if (!r_work.claim_)
    {
        return refused_call(400, "invalid_idempotency_key",
                            "header Idempotency-Key must be a version-7 UUID");
    }
    const std::int64_t age = unix_ms() - uuid7_unix_ms(r_work.key_);
    if (age < -newest_key_ms)
    {
        return refused_call(400, "invalid_idempotency_key",
                            "header Idempotency-Key is from the future");
    }
    if (age > claim_retention_ms)
    {
        // What became of it may be forgotten by now.
        return failure{400, "idempotency_key_expired",
                       "header Idempotency-Key is older than 24 hours",
                       verdict::may_have_run, milliseconds(0)};
    }
    r_work.nonce_ = random_hex(16);
    r_work.request_.idempotent_ = false;
    r_work.call_.idempotent_ = false;
    return std::nullopt;
}

outcome<caller_work>
request_reader::read_completion(http_exchange& r_exchange,
                                const caller_identity& p_caller,
                                bool p_chat) const
{
    caller_work made;
    auto body = r_exchange.read_body(settings_.body_bytes_,
                                     settings_.request_read_timeout_);
    if (!body)
    {
        return tl::unexpected(body.error());
    }
    json wanted = json::parse(*body, nullptr, false);
    if (!wanted.is_object())
    {
        return tl::unexpected(
            refused_call(400, "invalid_json", "the body is not a JSON object"));
    }
    const char* prompt_field = p_chat ? "messages" : "prompt";
    const bool prompt_fits = wanted.contains(prompt_field) &&
                             (p_chat ? wanted[prompt_field].is_array() &&
                                           !wanted[prompt_field].empty()
                                     : wanted[prompt_field].is_string());
    if (!prompt_fits)
    {
        return tl::unexpected(refused_call(
            400, "invalid_field",
            std::string(prompt_field) +
                (p_chat ? " must be a list of messages" : " must be a text")));
    }
    if (!wanted.contains("model") || !wanted["model"].is_string())
    {
        return tl::unexpected(
            refused_call(400, "invalid_field", "model must be a text"));
    }
    made.model_ = wanted["model"].get<std::string>();
    const auto pool = p_caller.snapshot_->models_.find(made.model_);
    if (pool == p_caller.snapshot_->models_.end())
    {
        return tl::unexpected(
            refused_call(404, "model_not_found", "model names no model"));
    }
    const json limit = wanted.value("max_tokens", json());
    constexpr std::int64_t most_output = 1'000'000;
    if (!limit.is_null() &&
        (!limit.is_number_integer() || limit.get<std::int64_t>() < 1 ||
         limit.get<std::int64_t>() > most_output))
    {
        return tl::unexpected(refused_call(
            400, "invalid_field", "max_tokens must be a whole number above 0"));
    }
    const json stream = wanted.value("stream", json(false));
    if (!stream.is_boolean())
    {
        return tl::unexpected(
            refused_call(400, "invalid_field", "stream must be true or false"));
    }
    if (auto problem = read_common(r_exchange, p_caller, made))
    {
        return tl::unexpected(*problem);
    }
    if (auto problem = read_key(r_exchange, p_caller, false, made))
    {
        return tl::unexpected(*problem);
    }
    made.chat_ = p_chat;
    made.stream_ = stream.get<bool>();
    const std::string prompt = wanted[prompt_field].dump();
    auto& request = made.request_;
    request.pool_ = pool->second;
    request.prompt_tokens_ =
        static_cast<std::uint32_t>(prompt.size() / bytes_per_token + 1);
    request.max_output_tokens_ =
        limit.is_null() ? 0 : limit.get<std::uint32_t>();
    request.fingerprint_ =
        fingerprint(policy::hash_text(prompt, policy::hash_text(made.model_)));
    if (prompt.size() >= shortest_prefix_bytes)
    {
        request.prefix_hash_ = policy::hash_text(
            std::string_view(prompt).substr(0, shortest_prefix_bytes));
    }
    made.body_hash_ = sha256_hex(*body);
    wanted["stream"] = true;
    // These are set for each attempt.
    wanted.erase("priority");
    wanted.erase("resume_from");
    made.call_.target_ = p_chat ? "/v1/chat/completions" : "/v1/completions";
    made.call_.headers_ = {{"Content-Type", "application/json"},
                           {"X-Request-Id", p_caller.id_text_}};
    made.call_.body_ =
        wanted.dump(-1, ' ', false, json::error_handler_t::replace);
    return made;
}

outcome<caller_work>
request_reader::read_service(http_exchange& r_exchange,
                             const caller_identity& p_caller) const
{
    static constexpr std::string_view prefix = "/v1/services/";
    caller_work made;
    const auto rest = r_exchange.path().substr(prefix.size());
    const auto slash = rest.find('/');
    const std::string name(rest.substr(0, slash));
    const auto pool = p_caller.snapshot_->services_.find(name);
    if (pool == p_caller.snapshot_->services_.end())
    {
        return tl::unexpected(refused_call(404, "service_not_found",
                                           "the path names no service"));
    }
    auto body = r_exchange.read_body(settings_.body_bytes_,
                                     settings_.request_read_timeout_);
    if (!body)
    {
        return tl::unexpected(body.error());
    }
    if (auto problem = read_common(r_exchange, p_caller, made))
    {
        return tl::unexpected(*problem);
    }
    const std::string method(r_exchange.method());
    const bool may_repeat = is_idempotent_method(method) ||
                            r_exchange.header("X-Idempotent") == "true";
    if (auto problem = read_key(r_exchange, p_caller, !may_repeat, made))
    {
        return tl::unexpected(*problem);
    }
    auto& call = made.call_;
    call.engine_ = false;
    call.method_ = method;
    call.target_ =
        slash == std::string_view::npos ? "/" : std::string(rest.substr(slash));
    if (!r_exchange.query().empty())
    {
        call.target_ += "?" + std::string(r_exchange.query());
    }
    const std::string type = r_exchange.header("Content-Type");
    call.headers_ = {{"X-Request-Id", p_caller.id_text_}};
    if (!type.empty())
    {
        call.headers_.emplace_back("Content-Type", type);
    }
    if (!made.key_.empty())
    {
        call.headers_.emplace_back("Idempotency-Key", made.key_);
    }
    made.body_hash_ = sha256_hex(method + " " + call.target_ + "\n" + *body);
    call.body_ = std::move(*body);
    auto& request = made.request_;
    request.pool_ = pool->second;
    request.prompt_tokens_ = 1;
    request.fingerprint_ =
        fingerprint(policy::hash_text(made.body_hash_ + made.key_));
    return made;
}

} // namespace peridotspar
