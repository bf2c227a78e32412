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
    server_changes all;
    all.revision_ = p_all.revision_;
    all.all_ = true;
    for (const auto& object : p_all.objects_)
    {
        all.documents_[object.name_] = object.document_;
    }
    apply(all);
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
        servers_.begin_grace_period(clock_.now(), grace_after_outage);
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
        if (auto entry = read(id, document.text_))
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
        drop_document(id, p_revision);
        servers_.remove(p_revision, id, clock_.now());
        return;
    }
    set_document(id, p_change.object_.document_, p_revision);
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

void entry_beliefs::set_document(const std::string& p_id,
                                 const std::string& p_text,
                                 std::uint64_t p_revision)
{
    auto& known = documents_[p_id];
    removed_at_.erase(p_id);
    if (known.text_ != p_text)
    {
        known = {p_text, p_revision};
    }
}

void entry_beliefs::drop_document(const std::string& p_id,
                                  std::uint64_t p_revision)
{
    if (documents_.erase(p_id) > 0)
    {
        removed_at_[p_id] = p_revision;
    }
}

void entry_beliefs::apply(const server_changes& p_changes)
{
    if (!has_servers_)
    {
        known_from_ = p_changes.revision_;
    }
    std::vector<std::string> gone = p_changes.removed_;
    for (const auto& [id, document] : documents_)
    {
        if (p_changes.all_ && !p_changes.documents_.contains(id))
        {
            gone.push_back(id);
        }
    }
    for (const std::string& id : gone)
    {
        drop_document(id, p_changes.revision_);
    }
    for (const auto& [id, text] : p_changes.documents_)
    {
        set_document(id, text, p_changes.revision_);
    }
    replace_servers(p_changes.revision_);
}

entry_beliefs::server_changes
entry_beliefs::changes_since(std::uint64_t p_revision) const
{
    server_changes changes;
    changes.revision_ = servers_.revision();
    changes.all_ = p_revision < known_from_;
    for (const auto& [id, document] : documents_)
    {
        if (changes.all_ || document.learnt_at_ > p_revision)
        {
            changes.documents_[id] = document.text_;
        }
    }
    for (const auto& [id, removed_at] : removed_at_)
    {
        if (removed_at > p_revision)
        {
            changes.removed_.push_back(id);
        }
    }
    return changes;
}

void entry_beliefs::take_servers(const server_changes& p_changes)
{
    if (p_changes.revision_ > servers_.revision())
    {
        apply(p_changes);
    }
}

void entry_beliefs::tick(time_point p_now)
{
    if (servers_.drop_expired(p_now))
    {
        takers_.servers_(servers_.all());
    }
}

} // namespace peridotspar
