#pragma once

#include "core/clock.hpp"
#include "core/ids.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include <tl/expected.hpp>

namespace peridotspar
{

/// Settings that a daemon reads from its INI file.
struct settings
{
    // [node]
    node_id name_;
    failure_domain_id failure_domain_;
    std::string address_ = "127.0.0.1"; ///< IPv4 address that callers use.
    std::uint16_t http_port_ = 0;
    std::uint16_t peer_port_ = 0;
    // [platform]
    std::string platform_address_; ///< IPv4 address of the object API.
    std::uint16_t platform_port_ = 0;
    std::chrono::milliseconds platform_timeout_{2000};
    // [security]
    std::string node_secret_; ///< Shared by all nodes; authenticates peers.
    /// SHA-256 of the key that may write the first configuration.
    std::string bootstrap_key_sha256_;
    // [membership]
    /// IPv4 addresses of nodes to contact if the platform is unavailable at
    /// startup.
    std::vector<std::string> seeds_;
    // [limits]
    std::uint32_t worker_threads_ = 400; ///< Requests served concurrently.
    std::size_t body_bytes_ = 1U << 20U;
    std::chrono::milliseconds request_read_timeout_{10000};
    std::chrono::milliseconds entry_max_age_{5000};
    // [log]
    std::string log_level_ = "info";
};

/// Reads and validates a settings file. The error names the file, line and key.
[[nodiscard]] tl::expected<settings, std::string>
load_settings(const std::string& p_path);

} // namespace peridotspar
