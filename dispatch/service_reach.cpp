#include "dispatch/service_reach.hpp"

#include <algorithm>
#include <utility>

namespace peridotspar::dispatch
{

namespace
{

using namespace std::chrono_literals;

/// Servers of a service, if it has so many, that must have failed in a row.
constexpr std::size_t min_failed_servers = 2;
/// Failures further apart have nothing to do with each other.
constexpr duration failure_lifetime = 3s;

} // namespace

void service_reach::set_server_count(const routing::service_name& p_service,
                                     std::size_t p_count)
{
    services_[p_service].servers_ = p_count;
}

void service_reach::record_change(const routing::service_name& p_service,
                                  service_state& r_state, bool p_lost,
                                  time_point p_now)
{
    r_state.lost_ = p_lost;
    changes_.push_back({p_service, p_lost, r_state.failed_.size(),
                        p_now - r_state.contacts_.last_at_.value_or(p_now)});
}

void service_reach::record_contact(const routing::service_name& p_service,
                                   const std::string& p_server,
                                   time_point p_now)
{
    auto& state = services_[p_service];
    if (state.lost_)
    {
        record_change(p_service, state, false, p_now);
    }
    state.failed_.clear();
    state.contacts_.record(p_server, p_now);
    contacts_.record(p_server, p_now);
}

void service_reach::record_failed(const routing::service_name& p_service,
                                  const std::string& p_server, time_point p_now)
{
    auto& state = services_[p_service];
    std::erase_if(state.failed_, [p_now](const auto& p_item)
                  { return p_now - p_item.second > failure_lifetime; });
    state.failed_[p_server] = p_now;
    const std::size_t needed =
        std::min(min_failed_servers, std::max<std::size_t>(1, state.servers_));
    if (!state.lost_ && state.failed_.size() >= needed)
    {
        record_change(p_service, state, true, p_now);
    }
}

bool service_reach::is_lost(const routing::service_name& p_service) const
{
    const auto found = services_.find(p_service);
    return found != services_.end() && found->second.lost_;
}

std::vector<routing::service_name> service_reach::lost_services() const
{
    std::vector<routing::service_name> services;
    for (const auto& [service, state] : services_)
    {
        if (state.lost_)
        {
            services.push_back(service);
        }
    }
    return services;
}

void service_reach::contact_times::record(const std::string& p_server,
                                          time_point p_now)
{
    if (last_ != p_server)
    {
        other_at_ = last_at_;
        last_ = p_server;
    }
    last_at_ = p_now;
}

bool service_reach::contact_times::other_since(const std::string& p_server,
                                               time_point p_since) const
{
    const auto& at = last_ == p_server ? other_at_ : last_at_;
    return at && *at > p_since;
}

bool service_reach::other_contact_since(const routing::service_name& p_service,
                                        const std::string& p_server,
                                        time_point p_since) const
{
    const auto found = services_.find(p_service);
    if (found == services_.end() || found->second.servers_ <= 1)
    {
        return contacts_.other_since(p_server, p_since);
    }
    return found->second.contacts_.other_since(p_server, p_since);
}

std::vector<service_reach::change> service_reach::take_changes()
{
    return std::exchange(changes_, {});
}

} // namespace peridotspar::dispatch
