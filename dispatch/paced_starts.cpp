#include "dispatch/paced_starts.hpp"

#include "core/log.hpp"

#include <algorithm>

namespace peridotspar::dispatch
{

namespace
{

using namespace std::chrono_literals;

/// Runs in lists within this time after the first one are not new: a node that
/// joins gets the servers in parts.
constexpr duration first_lists_time = 2s;
/// A run that returns to the list within this time is not new: the store drops
/// entries of servers that are late to renew them.
constexpr duration run_memory = 1min;

std::string_view name_of(pace_cause p_cause)
{
    return p_cause == pace_cause::started ? "started" : "recovered";
}

std::string_view name_of(const std::optional<pace_end>& p_end)
{
    if (!p_end)
    {
        return "begins";
    }
    switch (*p_end)
    {
    case pace_end::full_level:
        return "full_level";
    case pace_end::time_limit:
        return "time_limit";
    case pace_end::cancelled:
        return "too_many";
    }
    return "";
}

} // namespace

void paced_starts::update_services(const routing::route_table& p_table,
                                   time_point p_now)
{
    const auto is_covered = [&](const routing::service& p_service)
    {
        return covered_ == paced_services::all ||
               (covered_ == paced_services::ordered && p_service.scaling_);
    };
    std::erase_if(services_,
                  [&](const auto& p_item)
                  {
                      const auto* service = p_table.find_service(p_item.first);
                      return service == nullptr || !is_covered(*service);
                  });
    for (const auto& [name, service] : p_table.services())
    {
        if (is_covered(service) && !services_.contains(name))
        {
            services_[name].known_since_ = p_now;
        }
    }
}

void paced_starts::update(const routing::server_list::entries& p_servers,
                          const routing::route_table& p_table, time_point p_now)
{
    if (p_servers.empty())
    {
        return;
    }
    update_services(p_table, p_now);
    if (services_.empty())
    {
        pace_.forget_absent({});
        return;
    }
    std::map<routing::service_name, server_entries> entries;
    std::set<std::string> keys;
    for (const auto& [id, entry] : p_servers)
    {
        if (services_.contains(entry.service_))
        {
            entries[entry.service_].push_back(&entry);
            keys.insert(entry.instance_.key());
        }
    }
    pace_.forget_absent(keys);
    for (auto& [name, service] : services_)
    {
        const auto started = update_runs(service, entries[name], p_now);
        if (p_now - service.known_since_ >= first_lists_time)
        {
            begin(service, started, pace_cause::started, p_now);
        }
    }
}

paced_starts::server_entries
paced_starts::update_runs(service_state& r_service,
                          const server_entries& p_servers, time_point p_now)
{
    server_entries started;
    std::set<std::string> present;
    r_service.servers_ = 0;
    for (const auto* server : p_servers)
    {
        const std::string key = server->instance_.key();
        r_service.servers_ += server->leaving_ ? 0 : 1;
        const bool is_new = r_service.runs_.insert_or_assign(key, p_now).second;
        present.insert(key);
        if (is_new && !server->leaving_)
        {
            started.push_back(server);
        }
    }
    std::erase_if(r_service.runs_, [p_now](const auto& p_item)
                  { return p_now - p_item.second > run_memory; });
    std::erase_if(r_service.unhealthy_since_, [&present](const auto& p_item)
                  { return !present.contains(p_item.first); });
    return started;
}

void paced_starts::begin(const service_state& p_service,
                         const server_entries& p_servers, pace_cause p_cause,
                         time_point p_now)
{
    if (p_servers.empty())
    {
        return;
    }
    for (const auto* server : p_servers)
    {
        pace_.begin(server->instance_.key(), server->slots_, p_cause, p_now);
    }
    const auto paced =
        std::count_if(p_service.runs_.begin(), p_service.runs_.end(),
                      [&](const auto& p_item)
                      { return pace_.is_paced(p_item.first, p_now); });
    if (static_cast<std::size_t>(paced) * 2 <= p_service.servers_)
    {
        return;
    }
    for (const auto& [key, seen_at] : p_service.runs_)
    {
        pace_.cancel(key, p_now);
    }
}

void paced_starts::record_unhealthy(const routing::server_entry& p_server,
                                    std::size_t p_unhealthy, time_point p_now)
{
    const auto found = services_.find(p_server.service_);
    if (found == services_.end())
    {
        return;
    }
    service_state& service = found->second;
    service.unhealthy_since_.try_emplace(p_server.instance_.key(), p_now);
    if (p_unhealthy * 2 > service.servers_)
    {
        service.cut_off_at_ = p_now;
    }
}

void paced_starts::record_recovered(const routing::server_entry& p_server,
                                    time_point p_now)
{
    const auto found = services_.find(p_server.service_);
    if (found == services_.end())
    {
        return;
    }
    service_state& service = found->second;
    const auto unhealthy =
        service.unhealthy_since_.find(p_server.instance_.key());
    if (unhealthy == service.unhealthy_since_.end())
    {
        return;
    }
    const time_point since = unhealthy->second;
    service.unhealthy_since_.erase(unhealthy);
    const bool was_cut_off =
        service.cut_off_at_ && *service.cut_off_at_ >= since;
    if (!was_cut_off && !p_server.leaving_)
    {
        begin(service, {&p_server}, pace_cause::recovered, p_now);
    }
}

void paced_starts::forget_unhealthy(const routing::service_name& p_service)
{
    const auto found = services_.find(p_service);
    if (found != services_.end())
    {
        found->second.unhealthy_since_.clear();
    }
}

void paced_starts::tick(time_point p_now)
{
    if (services_.empty())
    {
        return;
    }
    for (const auto& change : pace_.take_changes(p_now))
    {
        log_event(log_level::info, "server.paced")
            .with("server", change.server_key_)
            .with("cause", name_of(change.cause_))
            .with("state", name_of(change.end_))
            .with("level", change.level_)
            .with("good", change.good_)
            .with("bad", change.bad_);
    }
}

} // namespace peridotspar::dispatch
