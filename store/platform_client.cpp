#include "store/platform_client.hpp"

#include "core/log.hpp"

#include <charconv>

#include <nlohmann/json.hpp>

namespace peridotspar
{

namespace
{

using json = nlohmann::json;

/// The version that a response names, 0 if it names none; nullopt if that isn't
/// a number.
std::optional<std::uint64_t> parse_version(const http_response& p_response)
{
    const std::string text = p_response.header("X-Version");
    std::uint64_t version = 0;
    const char* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, version);
    const bool is_valid =
        text.empty() || (parsed.ec == std::errc{} && parsed.ptr == end);
    if (!is_valid)
    {
        log_event(log_level::warning, "store.version_unreadable")
            .with("version", text);
        return std::nullopt;
    }
    return version;
}

/// The version in the response to a write; 0 if there is none.
std::uint64_t parse_written_version(const http_response& p_response)
{
    const json body = json::parse(p_response.body_, nullptr, false);
    const auto found = body.is_object() ? body.find("version") : body.end();
    return found != body.end() && found->is_number_unsigned()
               ? found->get<std::uint64_t>()
               : 0;
}

/// Nothing, and a log line, if the entry isn't a VM's: entries may have fields
/// of any type.
std::optional<vm_info> parse_vm_or_log(const json& p_entry)
{
    try
    {
        return vm_info{p_entry.value("name", ""), p_entry.value("address", ""),
                       p_entry.value("role", "entry"),
                       p_entry.value("state", "live") == "leaving"};
    }
    catch (const json::exception& error)
    {
        log_event(log_level::warning, "platform.vm_unreadable")
            .with("error", error.what());
        return std::nullopt;
    }
}

store_error write_error_from(const call_error& p_error)
{
    return {p_error.verdict_ == verdict::not_run
                ? store_error_kind::unavailable
                : store_error_kind::unknown_effect,
            0};
}

} // namespace

platform_client::platform_client(endpoint p_server, node_id p_node,
                                 std::chrono::milliseconds p_timeout)
    : server_(std::move(p_server)),
      node_(std::move(p_node)),
      timeout_(p_timeout)
{
}

tl::expected<http_response, call_error>
platform_client::send(http_request p_call)
{
    p_call.headers_.emplace_back("X-Node", node_.value());
    if (p_call.timeout_ < timeout_)
    {
        p_call.timeout_ = timeout_;
    }
    auto response = call(server_, p_call);
    if (!response)
    {
        ++call_counts_.failures_;
    }
    return response;
}

store_result<stored_object> platform_client::get(const std::string& p_name)
{
    ++call_counts_.gets_;
    http_request request;
    request.target_ = "/v1/objects/" + p_name;
    const auto response = send(request);
    if (!response || (response->status_ != 200 && response->status_ != 404))
    {
        return tl::unexpected(store_error{store_error_kind::unavailable, 0});
    }
    if (response->status_ == 404)
    {
        return stored_object{};
    }
    const auto version = parse_version(*response);
    if (!version)
    {
        return tl::unexpected(store_error{store_error_kind::unavailable, 0});
    }
    return stored_object{*version, response->body_};
}

store_result<std::uint64_t> platform_client::send_write(http_request p_call)
{
    ++call_counts_.puts_;
    const auto response = send(std::move(p_call));
    if (!response)
    {
        return tl::unexpected(write_error_from(response.error()));
    }
    const std::uint64_t version = parse_written_version(*response);
    switch (response->status_)
    {
    case 200:
        return version;
    case 409:
        return tl::unexpected(store_error{store_error_kind::conflict, version});
    case 429:
        return tl::unexpected(store_error{store_error_kind::throttled, 0});
    default:
        return tl::unexpected(store_error{store_error_kind::unknown_effect, 0});
    }
}

store_result<std::uint64_t> platform_client::put(const std::string& p_name,
                                                 std::uint64_t p_version,
                                                 const std::string& p_value)
{
    http_request request;
    request.method_ = "PUT";
    request.target_ = "/v1/objects/" + p_name;
    request.headers_ = {{"If-Version", std::to_string(p_version)}};
    request.body_ = p_value;
    return send_write(std::move(request));
}

store_result<std::uint64_t> platform_client::remove(const std::string& p_name,
                                                    std::uint64_t p_version)
{
    http_request request;
    request.method_ = "DELETE";
    request.target_ = "/v1/objects/" + p_name;
    request.headers_ = {{"If-Version", std::to_string(p_version)}};
    return send_write(std::move(request));
}

store_result<std::optional<stored_object>>
platform_client::watch(const std::string& p_name, std::uint64_t p_version,
                       std::chrono::milliseconds p_wait)
{
    ++call_counts_.watches_;
    http_request request;
    request.target_ = "/v1/watch/" + p_name +
                      "?version=" + std::to_string(p_version) +
                      "&wait_ms=" + std::to_string(p_wait.count());
    request.timeout_ = p_wait + timeout_;
    const auto response = send(request);
    if (!response || (response->status_ != 200 && response->status_ != 204))
    {
        return tl::unexpected(store_error{store_error_kind::unavailable, 0});
    }
    if (response->status_ == 204)
    {
        return std::optional<stored_object>{};
    }
    const auto version = parse_version(*response);
    if (!version)
    {
        return tl::unexpected(store_error{store_error_kind::unavailable, 0});
    }
    return std::optional(stored_object{*version, response->body_});
}

store_result<std::vector<vm_info>> platform_client::list_vms()
{
    ++call_counts_.vm_lists_;
    http_request request;
    request.target_ = "/v1/vms";
    const auto response = send(request);
    const json list = response && response->status_ == 200
                          ? json::parse(response->body_, nullptr, false)
                          : json();
    if (!list.is_array())
    {
        return tl::unexpected(store_error{store_error_kind::unavailable, 0});
    }
    std::vector<vm_info> vms;
    for (const auto& item : list)
    {
        if (auto vm = parse_vm_or_log(item))
        {
            vms.push_back(std::move(*vm));
        }
    }
    return vms;
}

} // namespace peridotspar
