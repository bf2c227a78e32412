#include "routing/server_list.hpp"

#include <algorithm>

namespace peridotspar::routing
{

time_point server_list::retention_deadline(const server_entry& p_entry,
                                           time_point p_now) const
{
    if (p_entry.leaving_)
    {
        return p_now;
    }
    return std::max(grace_until_,
                    std::min(p_now + retention_.since_missing_,
                             confirmed_at_ + retention_.since_confirmed_));
}

void server_list::put(server_entry p_entry)
{
    missing_until_.erase(p_entry.instance_.id_);
    const std::string id = p_entry.instance_.id_;
    entries_.insert_or_assign(id, std::move(p_entry));
}

void server_list::remove(const std::string& p_id, time_point p_now)
{
    const auto found = entries_.find(p_id);
    if (found == entries_.end())
    {
        return;
    }
    const time_point until = retention_deadline(found->second, p_now);
    if (p_now < until)
    {
        missing_until_.emplace(p_id, until);
        return;
    }
    missing_until_.erase(p_id);
    entries_.erase(p_id);
}

void server_list::confirm(time_point p_at)
{
    confirmed_at_ = std::max(confirmed_at_, p_at);
}

void server_list::begin_grace_period(time_point p_now, duration p_grace_period)
{
    grace_until_ = p_now + p_grace_period;
}

bool server_list::drop_expired(time_point p_now)
{
    bool changed = false;
    for (auto it = missing_until_.begin(); it != missing_until_.end();)
    {
        if (p_now < it->second)
        {
            ++it;
            continue;
        }
        changed = entries_.erase(it->first) > 0 || changed;
        it = missing_until_.erase(it);
    }
    return changed;
}

} // namespace peridotspar::routing
