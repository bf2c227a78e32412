#pragma once

#include "core/clock.hpp"
#include "core/ids.hpp"
#include "routing/route_table.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace peridotspar::dispatch
{

/// Records whether this node reaches the servers of a service.
///
/// A service is lost to the node when connections to several of its
/// servers failed in a row and no server of the service responded meanwhile. It
/// isn't any more once one does. This says nothing of the servers: they may
/// serve other nodes. It has no clock and does no I/O. Not thread-safe.
class service_reach
{
public:
    /// A service that was lost, or isn't any more.
    struct change
    {
        routing::service_name service_;
        bool lost_ = false;
        std::size_t failed_servers_ = 0;
        /// Since a server of the service last responded; zero if never.
        duration no_contact_{};
    };

    /// Sets how many servers the service has.
    void set_server_count(const routing::service_name& p_service,
                          std::size_t p_count);
    /// A server answered, or accepted a connection.
    void record_contact(const routing::service_name& p_service,
                        const std::string& p_server, time_point p_now);
    /// A connection to a server couldn't be opened, or was lost.
    void record_failed(const routing::service_name& p_service,
                       const std::string& p_server, time_point p_now);

    [[nodiscard]] bool is_lost(const routing::service_name& p_service) const;
    /// The services whose servers this node can't reach.
    [[nodiscard]] std::vector<routing::service_name> lost_services() const;
    /// Whether another server of the service responded since a time; or any
    /// other server, if the service has only this one.
    [[nodiscard]] bool
    other_contact_since(const routing::service_name& p_service,
                        const std::string& p_server, time_point p_since) const;
    /// Returns and forgets the changes.
    [[nodiscard]] std::vector<change> take_changes();

private:
    /// The server that responded last, and when it and another one did.
    struct contact_times
    {
        void record(const std::string& p_server, time_point p_now);
        [[nodiscard]] bool other_since(const std::string& p_server,
                                       time_point p_since) const;

        std::string last_;
        std::optional<time_point> last_at_;
        std::optional<time_point> other_at_;
    };
    struct service_state
    {
        std::size_t servers_ = 0;
        contact_times contacts_;
        /// Servers with failed connections since one responded, and when.
        std::map<std::string, time_point> failed_;
        bool lost_ = false;
    };
    void record_change(const routing::service_name& p_service,
                       service_state& r_state, bool p_lost, time_point p_now);

    std::map<routing::service_name, service_state> services_;
    contact_times contacts_;
    std::vector<change> changes_;
};

} // namespace peridotspar::dispatch
