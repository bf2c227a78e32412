#pragma once

#include "core/ids.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include <tl/expected.hpp>

namespace peridotspar
{

/// What a daemon on the cooperative platform reads from its INI file.
struct entry_settings
{
    // [node]
    node_id name_;
    failure_domain_id failure_domain_;
    // [listen], each IP:PORT
    std::string callers_;
    std::string readiness_;
    std::string directory_;
    std::string peers_;
    std::string metrics_; ///< Empty: none.
    // [platform]
    std::string store_; ///< IP:PORT of the object store.
    // [membership]
    /// Whether the whole system starts for the first time.
    bool first_start_ = false;
    std::vector<std::string> seeds_; ///< IP:PORT of peers to ask first.
    std::chrono::milliseconds directory_age_{1000};
    std::chrono::milliseconds stop_grace_{8000};
    // [servers]
    /// A server whose entry vanished unannounced gets no work after it.
    std::chrono::milliseconds drain_time_{2000};
    // [resends]
    double resend_ratio_ = 0.2;
    double resend_slack_ = 50;
    std::chrono::milliseconds resend_window_{10000};
    // [limits]
    std::uint32_t descriptors_ = 4096;
    // [log]
    std::string log_level_ = "info";
};

/// Reads and checks a settings file. The error names file, line and key.
[[nodiscard]] tl::expected<entry_settings, std::string>
load_entry_settings(const std::string& p_path);

} // namespace peridotspar
