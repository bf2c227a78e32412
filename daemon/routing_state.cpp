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
    apply_list(p_list);
}

void routing_state::on_changes(const std::string& p_kind,
                               const object_changes& p_changes)
{
    if (!is_config(p_kind))
    {
        apply_events(p_changes);
        return;
    }
    for (const auto& change : p_changes.changes_)
    {
        if (!change.removed_ &&
            change.object_.name_ == platform::names::config_name)
        {
            update_config(change.object_.document_);
        }
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
    if (p_revision <= documents_.revision())
    {
        servers_.confirm(p_at);
    }
}

void routing_state::record_store_failure(time_point p_at)
{
    outages_.record_failure(p_at);
}

void routing_state::update_config(const std::string& p_document)
{
    const time_point begun_at = clock_.now();
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
        .with("routes", (*table)->route_count())
        .with("bytes", p_document.size())
        .with("parse_ms", to_ms(clock_.now() - begun_at));
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

void routing_state::log_outdated(std::string_view p_source,
                                 std::uint64_t p_revision) const
{
    log_event(log_level::info, "servers.update_outdated")
        .with("source", p_source)
        .with("revision", p_revision)
        .with("known_revision", documents_.revision());
}

void routing_state::apply_list(const object_list& p_list)
{
    // Peers may have told newer changes while the list was on its way. One of
    // the same revision comes from the store itself.
    if (!documents_.is_newer(p_list.revision_) &&
        p_list.revision_ != documents_.revision())
    {
        log_outdated("list", p_list.revision_);
        return;
    }
    end_outage(clock_.now(), "own");
    server_changes list;
    list.revision_ = p_list.revision_;
    list.is_full_ = true;
    for (const auto& object : p_list.objects_)
    {
        list.documents_[object.name_] = object.document_;
    }
    for (const std::string& id : documents_.ids())
    {
        if (!p_list.covers(id))
        {
            list.documents_.emplace(id, *documents_.find(id));
        }
    }
    apply_changes(list);
}

void routing_state::apply_events(const object_changes& p_changes)
{
    if (p_changes.changes_.empty())
    {
        return;
    }
    // Peers may have told newer changes while the answer was on its way. If it
    // ends after those, the last event of each server holds, as the answer has
    // all events up to its end.
    if (!documents_.is_newer(p_changes.revision_))
    {
        log_outdated("watch", p_changes.revision_);
        return;
    }
    documents_.begin_update(p_changes.revision_,
                            server_documents::history::events);
    net_changes changes;
    for (const auto& change : p_changes.changes_)
    {
        if (change.removed_)
        {
            record_removal(change.object_.name_, false, changes);
        }
        else
        {
            record_document(change.object_.name_, change.object_.document_,
                            changes);
        }
    }
    update_entries(changes);
}

void routing_state::apply_changes(const server_changes& p_changes)
{
    using history = server_documents::history;
    documents_.begin_update(p_changes.revision_, p_changes.is_continuous_
                                                     ? history::complete
                                                     : history::skipped);
    net_changes changes;
    for (const std::string& id : p_changes.removed_)
    {
        record_removal(id, true, changes);
    }
    if (p_changes.is_full_)
    {
        for (const std::string& id : documents_.ids())
        {
            if (!p_changes.documents_.contains(id))
            {
                record_removal(id, true, changes);
            }
        }
    }
    for (const auto& [id, text] : p_changes.documents_)
    {
        const std::string* known = documents_.find(id);
        if (!p_changes.is_full_ || known == nullptr || *known != text)
        {
            record_document(id, text, changes);
        }
    }
    update_entries(changes);
}

void routing_state::record_document(const std::string& p_id,
                                    const std::string& p_text,
                                    net_changes& r_changes)
{
    auto entry = parse_document(p_id, p_text);
    if (!entry)
    {
        record_removal(p_id, false, r_changes);
        return;
    }
    documents_.put(p_id, p_text);
    log_event(log_level::info, "server.changed")
        .with("server", p_id)
        .with("leaving", entry->leaving_)
        .with("address", entry->address_);
    r_changes[p_id] = {std::move(entry), false};
}

void routing_state::record_removal(const std::string& p_id, bool p_is_server,
                                   net_changes& r_changes)
{
    if (documents_.find(p_id) != nullptr)
    {
        log_event(log_level::info, "server.gone")
            .with("server", p_id)
            .with("confirmed_ms_ago",
                  to_ms(clock_.now() - servers_.confirmed_at()));
    }
    documents_.remove(p_id, p_is_server);
    r_changes[p_id].removed_ = true;
}

void routing_state::update_entries(const net_changes& p_changes)
{
    for (const auto& [id, change] : p_changes)
    {
        if (change.entry_ && (!change.removed_ || change.entry_->leaving_))
        {
            servers_.put(*change.entry_);
        }
        if (change.removed_)
        {
            servers_.remove(id, clock_.now());
        }
    }
    callbacks_.on_servers_(servers_.all());
}

server_changes routing_state::changes_since(std::uint64_t p_revision) const
{
    return documents_.changes_since(p_revision);
}

void routing_state::update_servers(const server_changes& p_changes)
{
    // This node may have learnt of a server since it asked that is gone by now.
    // A difference that lacks changes doesn't name it.
    const bool may_lack_removals =
        !p_changes.is_full_ && !p_changes.is_continuous_ &&
        p_changes.since_.value_or(documents_.revision()) !=
            documents_.revision();
    if (may_lack_removals || !documents_.is_newer(p_changes.revision_))
    {
        log_outdated("peer", p_changes.revision_);
        return;
    }
    apply_changes(p_changes);
}

void routing_state::repair_servers(const server_changes& p_list)
{
    if (p_list.is_full_ && p_list.revision_ >= documents_.revision())
    {
        apply_changes(p_list);
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
