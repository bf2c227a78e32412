#include "daemon/admin_api.hpp"

#include "core/log.hpp"
#include "core/text.hpp"
#include "daemon/error_response.hpp"

#include <nlohmann/json.hpp>

namespace peridotspar
{

namespace
{

using json = nlohmann::json;

constexpr std::size_t max_document_bytes = 1U << 20U;
const char* const json_content_type = "application/json";

/// Sends an error object; `p_details` holds further fields of it.
void send_error(http_exchange& r_exchange, int p_status,
                const std::string& p_code, const std::string& p_message,
                json p_details = json::object())
{
    p_details["code"] = p_code;
    p_details["message"] = p_message;
    r_exchange.send(p_status, json_content_type,
                    json{{"error", p_details}}.dump());
}

/// Returns the configuration document without its stored envelope.
json extract_document(const snapshot& p_snapshot)
{
    return json::parse(p_snapshot.text_)["document"];
}

} // namespace

std::optional<std::string>
admin_api::authenticate(const http_exchange& p_exchange) const
{
    static constexpr std::string_view scheme = "Bearer ";
    const std::string header = p_exchange.header("Authorization");
    if (!header.starts_with(scheme))
    {
        return std::nullopt;
    }
    const std::string hash = sha256_hex(header.substr(scheme.size()));
    const auto current = dependencies_.config_manager_.current();
    if (!current)
    {
        const auto& bootstrap_hash =
            dependencies_.settings_.bootstrap_key_sha256_;
        return !bootstrap_hash.empty() &&
                       equal_constant_time(hash, bootstrap_hash)
                   ? std::optional<std::string>("bootstrap")
                   : std::nullopt;
    }
    const auto found = current->operators_by_key_hash_.find(hash);
    return found == current->operators_by_key_hash_.end()
               ? std::nullopt
               : std::optional(found->second);
}

void admin_api::serve(http_exchange& r_exchange)
{
    const auto name = authenticate(r_exchange);
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
        get_status(r_exchange);
    }
    else if (path == "/admin/v1/burn" && method == "GET")
    {
        r_exchange.send(200, json_content_type,
                        dependencies_.burn_recorder_.to_json(
                            dependencies_.settings_.name_.value()));
    }
    else if (path == "/admin/v1/drain" && method == "POST")
    {
        set_draining(r_exchange, *name);
    }
    else if (path == "/admin/v1/leave" && method == "POST")
    {
        dependencies_.leave_();
        r_exchange.send(202, json_content_type, "{\"leaving\":true}");
    }
    else
    {
        send_error(r_exchange, 404, "unknown_path", "there is no such path");
    }
}

void admin_api::get_config(http_exchange& r_exchange)
{
    const auto current = dependencies_.config_manager_.current();
    if (!current)
    {
        r_exchange.send(200, json_content_type,
                        json{{"revision", 0}, {"document", nullptr}}.dump());
        return;
    }
    r_exchange.send(200, json_content_type,
                    json{{"revision", current->revision_.value()},
                         {"document", extract_document(*current)}}
                        .dump());
}

std::optional<std::string> admin_api::receive_body(http_exchange& r_exchange)
{
    auto body = r_exchange.read_body(
        max_document_bytes, dependencies_.settings_.request_read_timeout_);
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
    const auto body = receive_body(r_exchange);
    if (!body)
    {
        return;
    }
    const auto parsed = parse_document(*body);
    const json errors =
        parsed ? json::array() : json::parse(errors_to_json(parsed.error()));
    r_exchange.send(
        200, json_content_type,
        json{{"valid", parsed.has_value()}, {"errors", errors}}.dump());
}

void admin_api::put_config(http_exchange& r_exchange,
                           const std::string& p_operator)
{
    const std::string expected_revision = r_exchange.header("If-Match");
    constexpr std::size_t max_digits = 18;
    if (expected_revision.empty() || expected_revision.size() > max_digits ||
        expected_revision.find_first_not_of("0123456789") != std::string::npos)
    {
        send_error(r_exchange, 428, "revision_missing",
                   "header If-Match must hold the revision to replace");
        return;
    }
    const auto body = receive_body(r_exchange);
    if (!body)
    {
        return;
    }
    write_config(r_exchange, *body, std::stoull(expected_revision), p_operator);
}

void admin_api::write_config(http_exchange& r_exchange,
                             const std::string& p_document,
                             std::uint64_t p_expected_revision,
                             const std::string& p_operator)
{
    const auto written = dependencies_.config_manager_.write(
        p_document, p_expected_revision, p_operator);
    if (written)
    {
        log_event(log_level::info, "config.written")
            .with("operator", p_operator)
            .with("revision", written->value());
        r_exchange.send(200, json_content_type,
                        json{{"revision", written->value()}}.dump());
        return;
    }
    using kind = config_manager::write_error::kind;
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
                   {{"current_revision", written.error().current_version_}});
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

void admin_api::get_status(http_exchange& r_exchange)
{
    const auto current = dependencies_.config_manager_.current();
    json nodes = json::array();
    for (const auto& state : dependencies_.peer_exchange_.live())
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
    const auto sent = dependencies_.peer_exchange_.traffic_sent();
    r_exchange.send(200, json_content_type,
                    json{{"node", dependencies_.settings_.name_.value()},
                         {"revision", current ? current->revision_.value() : 0},
                         {"open_requests", dependencies_.open_requests_()},
                         {"peer_bytes", sent.bytes_},
                         {"peer_messages", sent.messages_},
                         {"nodes", nodes},
                         {"backend_servers", backends}}
                        .dump());
}

void admin_api::set_draining(http_exchange& r_exchange,
                             const std::string& p_operator)
{
    const auto body = receive_body(r_exchange);
    if (!body)
    {
        return;
    }
    const json request = json::parse(*body, nullptr, false);
    const bool is_valid = request.is_object() &&
                          request.contains("backend_server") &&
                          request["backend_server"].is_string() &&
                          request.value("draining", json(true)).is_boolean();
    if (!is_valid)
    {
        send_error(r_exchange, 400, "invalid_field",
                   "backend_server must be a name and draining true or false");
        return;
    }
    const auto current = dependencies_.config_manager_.current();
    const std::string name = request["backend_server"].get<std::string>();
    if (!current || current->backend(name) == nullptr)
    {
        send_error(r_exchange, 404, "backend_server_not_found",
                   "backend_server names no backend server");
        return;
    }
    json changed = extract_document(*current);
    for (auto& item : changed["backend_servers"])
    {
        if (item["name"] == name)
        {
            item["draining"] = request.value("draining", true);
        }
    }
    write_config(r_exchange, changed.dump(), current->revision_.value(),
                 p_operator);
}

} // namespace peridotspar
