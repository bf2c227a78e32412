#include "daemon/error_response.hpp"

#include "core/clock.hpp"

#include <nlohmann/json.hpp>

namespace peridotspar
{

namespace
{

using json = nlohmann::json;
using policy::refusal;

int refusal_status(refusal p_reason)
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

std::string refusal_message(refusal p_reason)
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
        return "backend servers that ran this request, or one with a part of "
               "it, "
               "crashed";
    case refusal::backend_failed:
        return "the backend server failed";
    }
    return "the request failed";
}

} // namespace

failure to_failure(const policy::refuse& p_refuse)
{
    return {
        refusal_status(p_refuse.reason_),
        std::string(to_string(p_refuse.reason_)),
        refusal_message(p_refuse.reason_), p_refuse.verdict_,
        std::chrono::ceil<std::chrono::milliseconds>(p_refuse.retry_after_)};
}

std::string error_body(const failure& p_failure,
                       const std::string& p_request_id)
{
    json error{{"message", p_failure.message_},
               {"type", p_failure.status_ < 500 ? "invalid_request_error"
                                                : "server_error"},
               {"code", p_failure.code_},
               {"param", nullptr},
               {"verdict", to_string(p_failure.verdict_)},
               {"request_id", p_request_id}};
    if (p_failure.retry_after_.count() > 0)
    {
        error["retry_after_ms"] = p_failure.retry_after_.count();
    }
    return json{{"error", error}}.dump();
}

void send_error_response(http_exchange& r_exchange, const failure& p_failure,
                         const std::string& p_request_id)
{
    http_headers headers{
        {"X-Request-Id", p_request_id},
        {"X-Verdict", std::string(to_string(p_failure.verdict_))}};
    if (p_failure.retry_after_.count() > 0)
    {
        const auto seconds =
            std::chrono::ceil<std::chrono::seconds>(p_failure.retry_after_);
        headers.emplace_back("Retry-After", std::to_string(seconds.count()));
    }
    r_exchange.send(p_failure.status_, "application/json",
                    error_body(p_failure, p_request_id), headers);
}

} // namespace peridotspar
