#include "routing/route_table.hpp"

#include <algorithm>
#include <cctype>

namespace peridotspar::routing
{

namespace
{

std::string lower_case(std::string_view p_text)
{
    std::string lowered(p_text);
    std::transform(lowered.begin(), lowered.end(), lowered.begin(),
                   [](unsigned char p_char)
                   { return static_cast<char>(std::tolower(p_char)); });
    return lowered;
}

std::string host_key(std::string_view p_host)
{
    return lower_case(p_host.substr(0, p_host.find(':')));
}

} // namespace

void route_table::add(route p_route)
{
    auto& prefixes = hosts_[host_key(p_route.host_)];
    const std::string prefix = p_route.prefix_;
    prefixes.insert_or_assign(prefix, std::move(p_route));
    ++route_count_;
}

void route_table::add(service p_service)
{
    const service_name name = p_service.name_;
    services_.insert_or_assign(name, std::move(p_service));
}

void route_table::add_key(std::string p_key, account p_account)
{
    accounts_.insert_or_assign(std::move(p_key), std::move(p_account));
}

const route* route_table::find_route(std::string_view p_host,
                                     std::string_view p_target) const
{
    const auto host = hosts_.find(host_key(p_host));
    if (host == hosts_.end())
    {
        return nullptr;
    }
    std::string path(p_target.substr(0, p_target.find('?')));
    for (std::size_t slash = path.rfind('/'); slash != std::string::npos;
         slash = path.rfind('/'))
    {
        path.resize(slash + 1);
        if (const auto found = host->second.find(path);
            found != host->second.end())
        {
            return &found->second;
        }
        path.resize(slash);
    }
    return nullptr;
}

const account* route_table::find_account(const std::string& p_key) const
{
    const auto found = accounts_.find(p_key);
    return found == accounts_.end() ? nullptr : &found->second;
}

const service* route_table::find_service(const service_name& p_name) const
{
    const auto found = services_.find(p_name);
    return found == services_.end() ? nullptr : &found->second;
}

} // namespace peridotspar::routing
