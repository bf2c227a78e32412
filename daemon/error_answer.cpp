#include "daemon/error_answer.hpp"

#include "core/clock.hpp"

#include <nlohmann/json.hpp>

namespace peridotspar
{

namespace
{

using json = nlohmann::json;
using policy::refusal;

int status_of(refusal p_reason)
{
    switch (p_reason)
    {
    case refusal::over_cap:
        return 429;
    case refusal::overloaded:
    case refusal::deadline:
    case refusal::no_backend:
        return 503;
    case refusal::quarantined:
        return 422;
    case refusal::backend_failed:
        return 502;
    }
    return 500;
}

std::string message_of(refusal p_reason)
{
    switch (p_reason)
    {
    case refusal::over_cap:
        return "the client account is at its cap";
    case refusal::overloaded:
        return "the class's longest wait can't be kept now";
    case refusal::deadline:
        return "the deadline can't be met";
    case refusal::no_backend:
        return "no backend server takes new work now";
    case refusal::quarantined:
        return "this request crashed the backend servers that ran it";
    case refusal::backend_failed:
        return "the backend server failed";
    }
    return "the request failed";
}

} // namespace

failure failure_of(const policy::refuse& p_refuse)
{
    return {
        status_of(p_refuse.reason_), std::string(to_string(p_refuse.reason_)),
        message_of(p_refuse.reason_), p_refuse.verdict_,
        std::chrono::ceil<std::chrono::milliseconds>(p_refuse.retry_after_)};
}

std::string error_body(const failure& p_failure, const std::string& p_request)
{
    json error{{"message", p_failure.message_},
               {"type", p_failure.status_ < 500 ? "invalid_request_error"
                                                : "server_error"},
               {"code", p_failure.code_},
               {"param", nullptr},
               {"verdict", to_string(p_failure.verdict_)},
               {"request_id", p_request}};
    if (p_failure.retry_after_.count() > 0)
    {
        error["retry_after_ms"] = p_failure.retry_after_.count();
    }
    return json{{"error", error}}.dump();
}

void send_failure(http_exchange& r_exchange, const failure& p_failure,
                  const std::string& p_request)
{
    http_headers headers{
        {"X-Request-Id", p_request},
        {"X-Verdict", std::string(to_string(p_failure.verdict_))}};
    if (p_failure.retry_after_.count() > 0)
    {
        const auto seconds =
            std::chrono::ceil<std::chrono::seconds>(p_failure.retry_after_);
        headers.emplace_back("Retry-After", std::to_string(seconds.count()));
    }
    r_exchange.send(p_failure.status_, "application/json",
                    error_body(p_failure, p_request), headers);
}

} // namespace peridotspar
