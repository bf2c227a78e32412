#include "daemon/routing_state.hpp"

#include "core/log.hpp"
#include "platform/documents.hpp"
#include "platform/names.hpp"

namespace peridotspar
{

namespace
{

using namespace std::chrono_literals;

/// After an outage the store's list may lack servers that still run. Those that
/// don't register again within this time are removed.
constexpr duration store_outage_grace = 2s;

/// The store drops an entry after three heartbeats without a write, so one that
/// was written just before an outage lapses after more than this many.
constexpr int min_outage_heartbeats = 2;

bool is_config(const std::string& p_kind)
{
    return p_kind == platform::names::config_kind;
}

} // namespace

routing_state::routing_state(callbacks p_callbacks, duration p_drain_time,
                             duration p_heartbeat)
    : callbacks_(std::move(p_callbacks)),
      // The rest is for the way of a request to its server.
      servers_({p_drain_time * 3 / 4, p_drain_time * 7 / 8}),
      outages_(p_heartbeat * min_outage_heartbeats)
{
}

void routing_state::on_list(const std::string& p_kind,
                            const object_list& p_list)
{
    if (is_config(p_kind))
    {
        for (const auto& object : p_list.objects_)
        {
            if (object.name_ == platform::names::config_name)
            {
                update_config(object.document_);
            }
        }
        return;
    }
    end_outage(clock_.now(), "own");
    server_changes update;
    update.revision_ = p_list.revision_;
    update.is_full_ = true;
    for (const auto& object : p_list.objects_)
    {
        update.documents_[object.name_] = object.document_;
    }
    for (const auto& [id, document] : documents_)
    {
        if (!p_list.covers(id))
        {
            update.documents_.emplace(id, document.text_);
        }
    }
    apply_changes(update);
}

void routing_state::on_changes(const std::string& p_kind,
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
            apply_server_change(change, p_changes.revision_);
        }
        else if (!change.removed_ &&
                 change.object_.name_ == platform::names::config_name)
        {
            update_config(change.object_.document_);
        }
    }
    if (!is_config(p_kind))
    {
        callbacks_.on_servers_(servers_.all());
    }
}

void routing_state::on_contact_changed(const std::string& p_kind,
                                       bool p_in_contact)
{
    if (p_in_contact && !is_config(p_kind))
    {
        end_outage(clock_.now(), "own");
    }
}

void routing_state::on_era_changed(const std::string& p_kind)
{
    if (!is_config(p_kind))
    {
        log_event(log_level::info, "store.outage_ended")
            .with("source", "era")
            .with("grace_ms", to_ms(store_outage_grace));
        begin_grace_period();
    }
}

void routing_state::begin_grace_period()
{
    servers_.begin_grace_period(clock_.now(), store_outage_grace);
}

void routing_state::end_outage(time_point p_at, std::string_view p_source)
{
    const auto outage = outages_.record_contact(p_at);
    if (!outage)
    {
        return;
    }
    log_event(log_level::info, "store.outage_ended")
        .with("source", p_source)
        .with("since_contact_ms", to_ms(outage->since_contact_))
        .with("since_failure_ms", to_ms(outage->since_failure_))
        .with("grace_ms", to_ms(store_outage_grace));
    begin_grace_period();
}

void routing_state::record_store_contact(time_point p_at,
                                         std::uint64_t p_revision,
                                         std::string_view p_source)
{
    end_outage(p_at, p_source);
    if (p_revision <= servers_.revision())
    {
        servers_.confirm(p_at);
    }
}

void routing_state::record_store_failure(time_point p_at)
{
    outages_.record_failure(p_at);
}

void routing_state::log_removed(const std::string& p_id) const
{
    log_event(log_level::info, "server.gone")
        .with("server", p_id)
        .with("confirmed_ms_ago",
              to_ms(clock_.now() - servers_.confirmed_at()));
}

void routing_state::update_config(const std::string& p_document)
{
    const auto table = platform::parse_config(p_document);
    if (!table)
    {
        log_event(log_level::error, "config.unreadable")
            .with("error", table.error());
        return;
    }
    if ((*table)->version() <= config_version_)
    {
        return;
    }
    config_version_ = (*table)->version();
    config_document_ = p_document;
    log_event(log_level::info, "config.in_force")
        .with("version", config_version_)
        .with("routes", (*table)->route_count());
    callbacks_.on_config_(*table);
}

std::optional<routing::server_entry>
routing_state::parse_document(const std::string& p_id,
                              const std::string& p_document) const
{
    auto entry = platform::parse_server(p_id, p_document);
    if (!entry)
    {
        log_event(log_level::warning, "server.unreadable")
            .with("server", p_id)
            .with("error", entry.error());
        return std::nullopt;
    }
    return *entry;
}

void routing_state::rebuild_servers(std::uint64_t p_revision)
{
    routing::server_list::entries entries;
    std::vector<std::string> unreadable_ids;
    for (const auto& [id, document] : documents_)
    {
        if (auto entry = parse_document(id, document.text_))
        {
            entries.emplace(id, std::move(*entry));
        }
        else
        {
            unreadable_ids.push_back(id);
        }
    }
    for (const std::string& id : unreadable_ids)
    {
        remove_document(id, p_revision);
    }
    servers_known_ = true;
    servers_.replace(p_revision, std::move(entries), clock_.now());
    callbacks_.on_servers_(servers_.all());
}

void routing_state::apply_server_change(const object_change& p_change,
                                        std::uint64_t p_revision)
{
    const std::string& id = p_change.object_.name_;
    if (p_change.removed_)
    {
        log_removed(id);
        remove_document(id, p_revision);
        servers_.remove(p_revision, id, clock_.now());
        return;
    }
    const std::string& document = p_change.object_.document_;
    if (auto entry = parse_document(id, document))
    {
        set_document(id, document, p_revision);
        log_event(log_level::info, "server.changed")
            .with("server", id)
            .with("leaving", entry->leaving_)
            .with("address", entry->address_);
        servers_.put(p_revision, std::move(*entry));
    }
    else
    {
        remove_document(id, p_revision);
        servers_.remove(p_revision, id, clock_.now());
    }
}

void routing_state::set_document(const std::string& p_id,
                                 const std::string& p_text,
                                 std::uint64_t p_revision)
{
    auto& known = documents_[p_id];
    removal_revisions_.erase(p_id);
    if (known.text_ != p_text)
    {
        known = {p_text, p_revision};
    }
}

void routing_state::remove_document(const std::string& p_id,
                                    std::uint64_t p_revision)
{
    if (documents_.erase(p_id) > 0)
    {
        removal_revisions_[p_id] = p_revision;
    }
}

void routing_state::apply_changes(const server_changes& p_changes)
{
    // A peer may have had news of the era before that this node never had.
    if (!servers_known_ ||
        era_of(p_changes.revision_) != era_of(servers_.revision()))
    {
        history_start_ = p_changes.revision_;
    }
    std::vector<std::string> removed_ids = p_changes.removed_;
    for (const auto& [id, document] : documents_)
    {
        if (p_changes.is_full_ && !p_changes.documents_.contains(id))
        {
            removed_ids.push_back(id);
        }
    }
    for (const std::string& id : removed_ids)
    {
        log_removed(id);
        remove_document(id, p_changes.revision_);
    }
    for (const auto& [id, text] : p_changes.documents_)
    {
        set_document(id, text, p_changes.revision_);
    }
    rebuild_servers(p_changes.revision_);
}

routing_state::server_changes
routing_state::changes_since(std::uint64_t p_revision) const
{
    server_changes changes;
    changes.revision_ = servers_.revision();
    changes.is_full_ = p_revision < history_start_;
    for (const auto& [id, document] : documents_)
    {
        if (changes.is_full_ || document.changed_at_revision_ > p_revision)
        {
            changes.documents_[id] = document.text_;
        }
    }
    for (const auto& [id, removal_revision] : removal_revisions_)
    {
        if (removal_revision > p_revision)
        {
            changes.removed_.push_back(id);
        }
    }
    return changes;
}

void routing_state::update_servers(const server_changes& p_changes)
{
    if (p_changes.revision_ > servers_.revision())
    {
        apply_changes(p_changes);
    }
}

void routing_state::tick(time_point p_now)
{
    if (servers_.drop_expired(p_now))
    {
        callbacks_.on_servers_(servers_.all());
    }
}

} // namespace peridotspar
