#include "daemon/admin_api.hpp"

#include "core/log.hpp"
#include "core/text.hpp"
#include "daemon/error_answer.hpp"

#include <nlohmann/json.hpp>

namespace peridotspar
{

namespace
{

using json = nlohmann::json;

constexpr std::size_t largest_document = 1U << 20U;
const char* const json_type = "application/json";

void send_error(http_exchange& r_exchange, int p_status,
                const std::string& p_code, const std::string& p_message,
                json p_more = json::object())
{
    p_more["code"] = p_code;
    p_more["message"] = p_message;
    r_exchange.send(p_status, json_type, json{{"error", p_more}}.dump());
}

json document_of(const snapshot& p_snapshot)
{
    return json::parse(p_snapshot.text_)["document"];
}

} // namespace

std::optional<std::string>
admin_api::identify(const http_exchange& p_exchange) const
{
    static constexpr std::string_view scheme = "Bearer ";
    const std::string header = p_exchange.header("Authorization");
    if (!header.starts_with(scheme))
    {
        return std::nullopt;
    }
    const std::string hash = sha256_hex(header.substr(scheme.size()));
    const auto current = parts_.config_.current();
    if (!current)
    {
        const auto& first = parts_.settings_.bootstrap_key_sha256_;
        return !first.empty() && equal_constant_time(hash, first)
                   ? std::optional<std::string>("bootstrap")
                   : std::nullopt;
    }
    const auto found = current->operators_by_key_.find(hash);
    return found == current->operators_by_key_.end()
               ? std::nullopt
               : std::optional(found->second);
}

void admin_api::serve(http_exchange& r_exchange)
{
    const auto name = identify(r_exchange);
    if (!name)
    {
        r_exchange.close_after_response();
        send_error(r_exchange, 401, "invalid_operator_key",
                   "the operator key is missing or not known");
        return;
    }
    const std::string_view path = r_exchange.path();
    const std::string_view method = r_exchange.method();
    if (path == "/admin/v1/config" && method == "GET")
    {
        get_config(r_exchange);
    }
    else if (path == "/admin/v1/config" && method == "PUT")
    {
        put_config(r_exchange, *name);
    }
    else if (path == "/admin/v1/config/check" && method == "POST")
    {
        check_config(r_exchange);
    }
    else if (path == "/admin/v1/status" && method == "GET")
    {
        status(r_exchange);
    }
    else if (path == "/admin/v1/burn" && method == "GET")
    {
        r_exchange.send(200, json_type,
                        parts_.burn_.to_json(parts_.settings_.name_.value()));
    }
    else if (path == "/admin/v1/drain" && method == "POST")
    {
        drain(r_exchange, *name);
    }
    else if (path == "/admin/v1/leave" && method == "POST")
    {
        parts_.leave_();
        r_exchange.send(202, json_type, "{\"leaving\":true}");
    }
    else
    {
        send_error(r_exchange, 404, "unknown_path", "there is no such path");
    }
}

void admin_api::get_config(http_exchange& r_exchange)
{
    const auto current = parts_.config_.current();
    if (!current)
    {
        r_exchange.send(200, json_type,
                        json{{"revision", 0}, {"document", nullptr}}.dump());
        return;
    }
    r_exchange.send(200, json_type,
                    json{{"revision", current->revision_.value()},
                         {"document", document_of(*current)}}
                        .dump());
}

std::optional<std::string> admin_api::read_document(http_exchange& r_exchange)
{
    auto body = r_exchange.read_body(largest_document,
                                     parts_.settings_.request_read_timeout_);
    if (body)
    {
        return std::move(*body);
    }
    send_error(r_exchange, body.error().status_, body.error().code_,
               body.error().message_);
    return std::nullopt;
}

void admin_api::check_config(http_exchange& r_exchange)
{
    const auto body = read_document(r_exchange);
    if (!body)
    {
        return;
    }
    const auto parsed = parse_document(*body);
    const json errors =
        parsed ? json::array() : json::parse(errors_to_json(parsed.error()));
    r_exchange.send(
        200, json_type,
        json{{"valid", parsed.has_value()}, {"errors", errors}}.dump());
}

void admin_api::put_config(http_exchange& r_exchange,
                           const std::string& p_operator)
{
    const std::string expected = r_exchange.header("If-Match");
    constexpr std::size_t most_digits = 18;
    if (expected.empty() || expected.size() > most_digits ||
        expected.find_first_not_of("0123456789") != std::string::npos)
    {
        send_error(r_exchange, 428, "revision_missing",
                   "header If-Match must hold the revision to replace");
        return;
    }
    const auto body = read_document(r_exchange);
    if (!body)
    {
        return;
    }
    write(r_exchange, *body, std::stoull(expected), p_operator);
}

void admin_api::write(http_exchange& r_exchange, const std::string& p_document,
                      std::uint64_t p_expected, const std::string& p_operator)
{
    const auto written =
        parts_.config_.write(p_document, p_expected, p_operator);
    if (written)
    {
        log_event(log_level::info, "config.written")
            .with("operator", p_operator)
            .with("revision", written->value());
        r_exchange.send(200, json_type,
                        json{{"revision", written->value()}}.dump());
        return;
    }
    using kind = config_keeper::write_error::kind;
    switch (written.error().kind_)
    {
    case kind::invalid:
        send_error(
            r_exchange, 422, "invalid_document",
            "the document is refused whole",
            {{"errors", json::parse(errors_to_json(written.error().errors_))}});
        break;
    case kind::conflict:
        send_error(r_exchange, 409, "conflict",
                   "the configuration was changed by another",
                   {{"current_revision", written.error().current_}});
        break;
    case kind::unavailable:
        send_error(r_exchange, 503, "store_unavailable",
                   "the store can't be reached; nothing was changed");
        break;
    case kind::unknown:
        send_error(r_exchange, 504, "outcome_unknown",
                   "the store's answer was lost; read the configuration "
                   "before trying again");
        break;
    }
}

void admin_api::status(http_exchange& r_exchange)
{
    const auto current = parts_.config_.current();
    json nodes = json::array();
    for (const auto& state : parts_.peers_.live())
    {
        nodes.push_back({{"name", state.name_.value()},
                         {"address", state.address_ + ":" +
                                         std::to_string(state.http_port_)},
                         {"failure_domain", state.failure_domain_.value()},
                         {"leaving", state.leaving_},
                         {"load_percent", state.load_percent_}});
    }
    json backends = json::array();
    if (current)
    {
        for (const auto& spec : current->document_.backends_)
        {
            backends.push_back(
                {{"name", spec.name_},
                 {"address", spec.address_ + ":" + std::to_string(spec.port_)},
                 {"slots", spec.slots_},
                 {"draining", spec.draining_}});
        }
    }
    const auto sent = parts_.peers_.traffic_sent();
    r_exchange.send(200, json_type,
                    json{{"node", parts_.settings_.name_.value()},
                         {"revision", current ? current->revision_.value() : 0},
                         {"open_requests", parts_.open_requests_()},
                         {"peer_bytes", sent.bytes_},
                         {"peer_messages", sent.messages_},
                         {"nodes", nodes},
                         {"backend_servers", backends}}
                        .dump());
}

void admin_api::drain(http_exchange& r_exchange, const std::string& p_operator)
{
    const auto body = read_document(r_exchange);
    if (!body)
    {
        return;
    }
    const json wanted = json::parse(*body, nullptr, false);
    const bool fits = wanted.is_object() && wanted.contains("backend_server") &&
                      wanted["backend_server"].is_string() &&
                      wanted.value("draining", json(true)).is_boolean();
    if (!fits)
    {
        send_error(r_exchange, 400, "invalid_field",
                   "backend_server must be a name and draining true or false");
        return;
    }
    const auto current = parts_.config_.current();
    const std::string name = wanted["backend_server"].get<std::string>();
    if (!current || current->backend(name) == nullptr)
    {
        send_error(r_exchange, 404, "backend_server_not_found",
                   "backend_server names no backend server");
        return;
    }
    json changed = document_of(*current);
    for (auto& item : changed["backend_servers"])
    {
        if (item["name"] == name)
        {
            item["draining"] = wanted.value("draining", true);
        }
    }
    write(r_exchange, changed.dump(), current->revision_.value(), p_operator);
}

} // namespace peridotspar
