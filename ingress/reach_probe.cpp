#include "ingress/reach_probe.hpp"

namespace peridotspar::ingress
{

namespace
{

using namespace std::chrono_literals;

/// The end of a cut is noticed within about this time and one connection
/// attempt.
constexpr duration probe_interval = 400ms;

/// The server of the service that comes next by id; null if it has none.
const routing::server_entry*
next_server(const routing::service_name& p_service,
            const routing::server_list::entries& p_servers,
            const std::string& p_last)
{
    const routing::server_entry* first = nullptr;
    for (const auto& [id, entry] : p_servers)
    {
        if (entry.service_ != p_service || entry.leaving_)
        {
            continue;
        }
        if (id > p_last)
        {
            return &entry;
        }
        first = first == nullptr ? &entry : first;
    }
    return first;
}

} // namespace

void reach_probe::start(const routing::service_name& p_service,
                        const routing::server_list::entries& p_servers,
                        probe& r_probe)
{
    const auto* server = next_server(p_service, p_servers, r_probe.server_);
    if (server == nullptr)
    {
        return;
    }
    r_probe.server_ = server->instance_.id_;
    r_probe.connection_ = pool_.open(server->instance_.key(), server->address_);
}

void reach_probe::tick(const routing::server_list::entries& p_servers,
                       time_point p_now)
{
    const auto lost = reach_.lost_services();
    if (lost.empty())
    {
        probes_.clear();
        return;
    }
    for (const auto& service : lost)
    {
        probe& current = probes_[service];
        const auto connection = current.connection_.lock();
        if (connection && connection->is_connected())
        {
            current.connection_.reset();
            reach_.record_contact(service, current.server_, p_now);
            continue;
        }
        if (p_now >= current.next_)
        {
            current.next_ = p_now + probe_interval;
            start(service, p_servers, current);
        }
    }
}

} // namespace peridotspar::ingress
