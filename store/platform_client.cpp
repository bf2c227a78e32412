#include "store/platform_client.hpp"

#include <nlohmann/json.hpp>

namespace peridotspar
{

namespace
{

using json = nlohmann::json;

std::uint64_t version_from(const http_response& p_response)
{
    const std::string text = p_response.header("X-Version");
    return text.empty() ? 0 : std::stoull(text);
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
    return stored_object{version_from(*response), response->body_};
}

store_result<std::uint64_t> platform_client::send_write(http_request p_call)
{
    ++call_counts_.puts_;
    const auto response = send(std::move(p_call));
    if (!response)
    {
        return tl::unexpected(write_error_from(response.error()));
    }
    const json body = json::parse(response->body_, nullptr, false);
    const std::uint64_t version =
        body.is_object() ? body.value("version", std::uint64_t{0}) : 0;
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
    return std::optional(
        stored_object{version_from(*response), response->body_});
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
        if (item.is_object())
        {
            vms.push_back({item.value("name", ""), item.value("address", ""),
                           item.value("role", "entry"),
                           item.value("state", "live") == "leaving"});
        }
    }
    return vms;
}

} // namespace peridotspar
