#pragma once

#include "core/ids.hpp"
#include "store/object_api.hpp"
#include "transport/http_client.hpp"

#include <atomic>
#include <chrono>
#include <string>
#include <vector>

namespace peridotspar
{

/// A VM as the platform lists it.
struct vm_info
{
    std::string name_;
    std::string address_;
    std::string role_;     ///< `entry` or `backend`.
    bool leaving_ = false; ///< Its listed state is `leaving`.
};

/// Number of calls to the platform by kind, and of failed calls.
struct platform_call_counts
{
    std::atomic<std::uint64_t> gets_{0};
    std::atomic<std::uint64_t> puts_{0};
    std::atomic<std::uint64_t> watches_{0};
    std::atomic<std::uint64_t> vm_lists_{0};
    std::atomic<std::uint64_t> failures_{0};
};

/// Client of the platform's object API and VM list over HTTP. Calls block; they
/// may come from any thread. `p_timeout` is the minimum timeout of each call.
class platform_client
{
public:
    platform_client(endpoint p_server, node_id p_node,
                    std::chrono::milliseconds p_timeout);

    /// Returns version 0 if the object does not exist.
    [[nodiscard]] store_result<stored_object> get(const std::string& p_name);
    /// Writes the object if its version is `p_version`, or if it does not exist
    /// and `p_version` is 0. Returns the new version.
    [[nodiscard]] store_result<std::uint64_t> put(const std::string& p_name,
                                                  std::uint64_t p_version,
                                                  const std::string& p_value);
    /// Deletes the object if its version is `p_version`.
    [[nodiscard]] store_result<std::uint64_t> remove(const std::string& p_name,
                                                     std::uint64_t p_version);
    /// Waits up to `p_wait` for a version above `p_version`. Returns nothing if
    /// there is none by then.
    [[nodiscard]] store_result<std::optional<stored_object>>
    watch(const std::string& p_name, std::uint64_t p_version,
          std::chrono::milliseconds p_wait);
    /// Returns the VMs that the platform lists, without entries that can't be
    /// read.
    [[nodiscard]] store_result<std::vector<vm_info>> list_vms();

    [[nodiscard]] const platform_call_counts& call_counts() const
    {
        return call_counts_;
    }

private:
    [[nodiscard]] tl::expected<http_response, call_error>
    send(http_request p_call);
    [[nodiscard]] store_result<std::uint64_t> send_write(http_request p_call);

    endpoint server_;
    node_id node_;
    std::chrono::milliseconds timeout_;
    platform_call_counts call_counts_;
};

static_assert(object_api<platform_client>);

} // namespace peridotspar
