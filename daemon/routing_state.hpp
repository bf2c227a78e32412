#pragma once

#include "daemon/server_documents.hpp"
#include "membership/store_outage.hpp"
#include "routing/route_table.hpp"
#include "routing/server_list.hpp"
#include "store/object_watcher.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace peridotspar
{

/// Holds the newest configuration and the backend servers that an entry node
/// knows. Updates come from the object store and from peers, and may be late:
/// each counts for the revision at which it holds, so those that say nothing
/// new are ignored. Not thread-safe: use it only on the thread of its node.
class routing_state : public object_watcher::listener
{
public:
    /// Called with each new configuration and after each change to the backend
    /// servers, on the thread that made the update.
    struct callbacks
    {
        std::function<void(std::shared_ptr<const routing::route_table>)>
            on_config_;
        std::function<void(const routing::server_list::entries&)> on_servers_;
    };
    /// `p_drain_time`: after this time a backend server whose entry vanished
    /// without notice must get no more requests. `p_heartbeat`: interval at
    /// which servers write their entries.
    routing_state(callbacks p_callbacks, duration p_drain_time,
                  duration p_heartbeat);

    void on_list(const std::string& p_kind, const object_list& p_list) override;
    void on_changes(const std::string& p_kind,
                    const object_changes& p_changes) override;
    void on_contact_changed(const std::string& p_kind,
                            bool p_in_contact) override;

    void on_era_changed(const std::string& p_kind) override;

    /// The store answered all watches of a node that follows it at `p_at`, when
    /// nothing was newer than `p_revision` of the servers. After an outage for
    /// all nodes, servers whose entries it lost are kept for a while, as they
    /// may register again. `p_source` is logged.
    void record_store_contact(time_point p_at, std::uint64_t p_revision,
                              std::string_view p_source);
    /// The store failed to answer a call of this node or another.
    void record_store_failure(time_point p_at);

    /// Applies a configuration document if its version is higher than the
    /// current one. Logs a document that can't be parsed and ignores it.
    void update_config(const std::string& p_document);
    /// Returns what changed after a revision, or the full list if the recorded
    /// history doesn't tell.
    [[nodiscard]] server_changes changes_since(std::uint64_t p_revision) const;
    /// Applies an update from a peer if its revision is higher than the current
    /// one. A difference that may lack changes counts only for the revision
    /// after which it was asked for.
    void update_servers(const server_changes& p_changes);
    /// Applies a peer's full list also if it has the current revision.
    void repair_servers(const server_changes& p_list);
    /// Removes servers whose entries have been missing for longer than their
    /// grace period. Call it regularly.
    void tick(time_point p_now);

    [[nodiscard]] std::uint64_t config_version() const
    {
        return config_version_;
    }
    [[nodiscard]] const std::string& config_document() const
    {
        return config_document_;
    }
    [[nodiscard]] std::uint64_t servers_revision() const
    {
        return documents_.revision();
    }
    /// Equal at nodes that know the same servers.
    [[nodiscard]] std::uint64_t servers_hash() const
    {
        return documents_.content_hash();
    }

    /// Whether both a configuration and a server list are known, which are
    /// needed to serve requests.
    [[nodiscard]] bool is_complete() const
    {
        return config_version_ > 0 && documents_.is_known();
    }

private:
    /// The changes of one server in an update. A removal comes last; the entry
    /// before it matters only if it announced that the server leaves.
    struct net_change
    {
        std::optional<routing::server_entry> entry_;
        bool removed_ = false;
    };
    using net_changes = std::map<std::string, net_change>; ///< By server id.

    /// Applies a list of the store, unless newer changes are known.
    void apply_list(const object_list& p_list);
    /// Applies the answer to a watch, unless newer changes are known.
    void apply_events(const object_changes& p_changes);
    /// Applies changes that hold at a revision which isn't older than that of
    /// `documents_`.
    void apply_changes(const server_changes& p_changes);
    /// Records a document, or that it names no server any more.
    void record_document(const std::string& p_id, const std::string& p_text,
                         net_changes& r_changes);
    /// `p_is_server`: see `server_documents::remove()`.
    void record_removal(const std::string& p_id, bool p_is_server,
                        net_changes& r_changes);
    /// Brings the entries up to date with the documents.
    void update_entries(const net_changes& p_changes);
    /// Logs an update that is dropped.
    void log_outdated(std::string_view p_source,
                      std::uint64_t p_revision) const;
    void begin_grace_period();
    /// The store has answered now; after an outage, the grace period begins.
    void end_outage(time_point p_at, std::string_view p_source);
    /// Logs a document that can't be parsed and returns nothing.
    [[nodiscard]] std::optional<routing::server_entry>
    parse_document(const std::string& p_id,
                   const std::string& p_document) const;

    callbacks callbacks_;
    boot_clock clock_;
    std::uint64_t config_version_ = 0;
    std::string config_document_;
    /// Decides which updates are newer; `servers_` follows it.
    server_documents documents_;
    routing::server_list servers_;
    store_outage_detector outages_;
};

} // namespace peridotspar
