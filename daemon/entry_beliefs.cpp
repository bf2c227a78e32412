#include "daemon/entry_beliefs.hpp"

#include "core/log.hpp"
#include "platform/documents.hpp"
#include "platform/names.hpp"

namespace peridotspar
{

namespace
{

using namespace std::chrono_literals;

/// Servers are back in the store's list that long after its return, or gone.
constexpr duration grace_after_outage = 2s;

bool is_config(const std::string& p_kind)
{
    return p_kind == platform::names::config_kind;
}

} // namespace

entry_beliefs::entry_beliefs(takers p_takers, duration p_drain_time)
    : takers_(std::move(p_takers)), servers_(p_drain_time * 3 / 4)
{
}

void entry_beliefs::on_list(const std::string& p_kind, const object_page& p_all)
{
    if (is_config(p_kind))
    {
        for (const auto& object : p_all.objects_)
        {
            if (object.name_ == platform::names::config_name)
            {
                take_config(object.document_);
            }
        }
        return;
    }
    documents_.clear();
    for (const auto& object : p_all.objects_)
    {
        documents_[object.name_] = object.document_;
    }
    replace_servers(p_all.revision_);
}

void entry_beliefs::on_changes(const std::string& p_kind,
                               const object_changes& p_changes)
{
    if (p_changes.changes_.empty())
    {
        return;
    }
    for (const auto& change : p_changes.changes_)
    {
        if (!is_config(p_kind))
        {
            change_server(change, p_changes.revision_);
        }
        else if (!change.removed_ &&
                 change.object_.name_ == platform::names::config_name)
        {
            take_config(change.object_.document_);
        }
    }
    if (!is_config(p_kind))
    {
        takers_.servers_(servers_.all());
    }
}

void entry_beliefs::on_contact(const std::string& p_kind, bool p_reached)
{
    if (p_reached && !is_config(p_kind))
    {
        servers_.begin_grace(clock_.now(), grace_after_outage);
    }
}

void entry_beliefs::take_config(const std::string& p_document)
{
    const auto table = platform::read_config(p_document);
    if (!table)
    {
        log_event(log_level::error, "config.unreadable")
            .with("error", table.error());
        return;
    }
    if ((*table)->version() <= version_)
    {
        return;
    }
    version_ = (*table)->version();
    config_ = p_document;
    log_event(log_level::info, "config.in_force")
        .with("version", version_)
        .with("routes", (*table)->route_count());
    takers_.config_(*table);
}

std::optional<routing::server_entry>
entry_beliefs::read(const std::string& p_id,
                    const std::string& p_document) const
{
    auto entry = platform::read_server(p_id, p_document);
    if (!entry)
    {
        log_event(log_level::warning, "server.unreadable")
            .with("server", p_id)
            .with("error", entry.error());
        return std::nullopt;
    }
    return *entry;
}

void entry_beliefs::replace_servers(std::uint64_t p_revision)
{
    routing::server_list::entries entries;
    for (const auto& [id, document] : documents_)
    {
        if (auto entry = read(id, document))
        {
            entries.emplace(id, std::move(*entry));
        }
    }
    has_servers_ = true;
    servers_.replace(p_revision, std::move(entries), clock_.now());
    takers_.servers_(servers_.all());
}

void entry_beliefs::change_server(const object_change& p_change,
                                  std::uint64_t p_revision)
{
    const std::string& id = p_change.object_.name_;
    if (p_change.removed_)
    {
        log_event(log_level::info, "server.gone").with("server", id);
        documents_.erase(id);
        servers_.remove(p_revision, id, clock_.now());
        return;
    }
    documents_[id] = p_change.object_.document_;
    if (auto entry = read(id, p_change.object_.document_))
    {
        log_event(log_level::info, "server.changed")
            .with("server", id)
            .with("leaving", entry->leaving_)
            .with("address", entry->address_);
        servers_.put(p_revision, std::move(*entry));
    }
    else
    {
        servers_.remove(p_revision, id, clock_.now());
    }
}

void entry_beliefs::take_servers(std::uint64_t p_revision,
                                 std::map<std::string, std::string> p_documents)
{
    if (p_revision <= servers_.revision())
    {
        return;
    }
    documents_ = std::move(p_documents);
    replace_servers(p_revision);
}

void entry_beliefs::tick(time_point p_now)
{
    if (servers_.drop_missing(p_now))
    {
        takers_.servers_(servers_.all());
    }
}

} // namespace peridotspar
