#pragma once

#include "dispatch/server_pace.hpp"
#include "routing/route_table.hpp"
#include "routing/server_list.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace peridotspar::dispatch
{

/// Whose servers may be paced.
enum class paced_services : std::uint8_t
{
    none,
    ordered, ///< Services whose engines are ordered.
    all,
};

/// Decides which servers are paced: those whose run is new, and those that
/// recovered. It covers services whose engines are ordered, or all services.
///
/// At most half of a service's servers are paced at once. When more would be,
/// pacing ends for all of them, because the others would be overloaded. It has
/// no clock and does no I/O. Not thread-safe.
class paced_starts
{
public:
    /// Sets which services are covered from the next update() on.
    void set_services(paced_services p_services) { covered_ = p_services; }
    /// Whether servers of any service may be paced.
    [[nodiscard]] bool is_enabled() const { return !services_.empty(); }
    /// Whether servers of the service may be paced.
    [[nodiscard]] bool covers(const routing::service_name& p_service) const
    {
        return !services_.empty() && services_.contains(p_service);
    }
    /// Takes over the list of servers. A run that is first seen 2 s or more
    /// after the first list is paced.
    void update(const routing::server_list::entries& p_servers,
                const routing::route_table& p_table, time_point p_now);
    /// Records that a server became unhealthy, as one of `p_unhealthy` servers
    /// of its service.
    void record_unhealthy(const routing::server_entry& p_server,
                          std::size_t p_unhealthy, time_point p_now);
    /// Records that an unhealthy server answered. It is paced, unless most of
    /// its service's servers were unhealthy since it was: then this node was
    /// cut off.
    void record_recovered(const routing::server_entry& p_server,
                          time_point p_now);
    /// Forgets that servers of a service were unhealthy, because this node was
    /// cut off from it.
    void forget_unhealthy(const routing::service_name& p_service);
    /// Logs pacing that began or ended. Call regularly.
    void tick(time_point p_now);

    [[nodiscard]] server_pace& pace() { return pace_; }
    [[nodiscard]] const server_pace& pace() const { return pace_; }

private:
    struct service_state
    {
        time_point known_since_{};
        std::size_t servers_ = 0; ///< That aren't leaving.
        /// When each run was last in the list of servers, by key.
        std::map<std::string, time_point> runs_;
        /// Since when each server is unhealthy, by key.
        std::map<std::string, time_point> unhealthy_since_;
        /// When most servers were last unhealthy.
        std::optional<time_point> cut_off_at_;
    };
    using server_entries = std::vector<const routing::server_entry*>;
    /// Sets `services_` to those covered.
    void update_services(const routing::route_table& p_table, time_point p_now);
    /// Takes over the service's servers and returns those whose run is new.
    [[nodiscard]] static server_entries
    update_runs(service_state& r_service, const server_entries& p_servers,
                time_point p_now);
    void begin(const service_state& p_service, const server_entries& p_servers,
               pace_cause p_cause, time_point p_now);

    paced_services covered_ = paced_services::ordered;
    std::map<routing::service_name, service_state> services_;
    server_pace pace_;
};

} // namespace peridotspar::dispatch
