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

/// Settings that a daemon on the cooperative platform reads from its INI file.
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
    std::string metrics_; ///< Empty if metrics are not served.
    // [platform]
    std::string store_; ///< IP:PORT of the object store.
    // [membership]
    /// Whether this is the first start of the whole system.
    bool first_start_ = false;
    std::vector<std::string> seeds_; ///< IP:PORT of the peers to contact first.
    std::chrono::milliseconds directory_age_{1000};
    std::chrono::milliseconds stop_grace_{8000};
    // [servers]
    /// Maximum time a backend server still gets requests after its entry
    /// vanished without an announcement.
    std::chrono::milliseconds drain_time_{2000};
    /// Interval at which backend servers write their entries; the store drops
    /// an entry after three of them without a write.
    std::chrono::milliseconds heartbeat_{1200};
    /// Whose servers start slowly: `none`, `ordered` (engines that are ordered)
    /// or `all`.
    std::string paced_start_ = "none";
    // [resends]
    double resend_ratio_ = 0.2;
    double resend_slack_ = 50;
    std::chrono::milliseconds resend_window_{10000};
    // [limits]
    std::uint32_t descriptors_ = 4096;
    /// Rate of the VM's own link in Mbit/s; 0 if it isn't known.
    double link_mbps_ = 0;
    // [duties], of a deployment that has a service for them
    /// IP:PORT of the service that takes usage reports and engine orders; empty
    /// if there is none.
    std::string duty_service_;
    /// `metering` and `autoscale`, as far as the service takes them.
    std::vector<std::string> duties_;
    /// Calls a second that the service takes from all nodes together.
    double duty_calls_per_s_ = 10;
    /// The service doesn't compare fencing tokens, so that holders of the lease
    /// must not alternate within this time.
    std::chrono::milliseconds lease_time_{3000};
    std::chrono::milliseconds usage_window_{5000};
    /// A window's report is due this long after its end.
    std::chrono::milliseconds usage_deadline_{10000};
    // [log]
    std::string log_level_ = "info";
};

/// Reads and validates a settings file. The error names the file, line and key.
[[nodiscard]] tl::expected<entry_settings, std::string>
load_entry_settings(const std::string& p_path);

} // namespace peridotspar
