#include "routing/server_list.hpp"

#include <algorithm>

namespace peridotspar::routing
{

time_point server_list::kept_until(const server_entry& p_entry,
                                   time_point p_now) const
{
    return p_entry.leaving_ ? p_now
                            : std::max(grace_until_, p_now + unannounced_);
}

bool server_list::replace(std::uint64_t p_revision, entries p_entries,
                          time_point p_now)
{
    if (p_revision < revision_)
    {
        return false;
    }
    revision_ = p_revision;
    std::map<std::string, time_point> missing;
    for (const auto& [id, entry] : entries_)
    {
        if (p_entries.contains(id))
        {
            continue;
        }
        const auto known = missing_.find(id);
        const time_point until =
            known == missing_.end() ? kept_until(entry, p_now) : known->second;
        if (p_now < until)
        {
            missing[id] = until;
            p_entries.emplace(id, entry);
        }
    }
    missing_ = std::move(missing);
    const bool changed = p_entries != entries_;
    entries_ = std::move(p_entries);
    return changed;
}

void server_list::put(std::uint64_t p_revision, server_entry p_entry)
{
    advance(p_revision);
    missing_.erase(p_entry.instance_.id_);
    const std::string id = p_entry.instance_.id_;
    entries_.insert_or_assign(id, std::move(p_entry));
}

void server_list::remove(std::uint64_t p_revision, const std::string& p_id,
                         time_point p_now)
{
    advance(p_revision);
    const auto found = entries_.find(p_id);
    if (found == entries_.end())
    {
        return;
    }
    const time_point until = kept_until(found->second, p_now);
    if (p_now < until)
    {
        missing_.emplace(p_id, until);
        return;
    }
    missing_.erase(p_id);
    entries_.erase(p_id);
}

void server_list::advance(std::uint64_t p_revision)
{
    revision_ = std::max(revision_, p_revision);
}

void server_list::begin_grace(time_point p_now, duration p_grace)
{
    grace_until_ = p_now + p_grace;
}

bool server_list::drop_missing(time_point p_now)
{
    bool changed = false;
    for (auto each = missing_.begin(); each != missing_.end();)
    {
        if (p_now < each->second)
        {
            ++each;
            continue;
        }
        changed = entries_.erase(each->first) > 0 || changed;
        each = missing_.erase(each);
    }
    return changed;
}

} // namespace peridotspar::routing
