#pragma once

#include "membership/store_outage.hpp"
#include "routing/route_table.hpp"
#include "routing/server_list.hpp"
#include "store/object_watcher.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace peridotspar
{

/// Holds the newest configuration and the backend servers that an entry node
/// knows. Updates come from the object store and from peers; older ones are
/// ignored. Not thread-safe: use it only on the thread of its node.
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
    /// An update of the backend server list: either the difference to an
    /// earlier revision or the full list.
    struct server_changes
    {
        std::uint64_t revision_ = 0;
        std::map<std::string, std::string> documents_; ///< By server id.
        std::vector<std::string> removed_;
        bool is_full_ = false; ///< Servers not in `documents_` are removed.
    };
    /// Returns what changed after a revision, or the full list if the revision
    /// is older than the recorded history.
    [[nodiscard]] server_changes changes_since(std::uint64_t p_revision) const;
    /// Applies an update from a peer if its revision is higher than the current
    /// one.
    void update_servers(const server_changes& p_changes);
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
        return servers_.revision();
    }

    /// Whether both a configuration and a server list are known, which are
    /// needed to serve requests.
    [[nodiscard]] bool is_complete() const
    {
        return config_version_ > 0 && servers_known_;
    }

private:
    /// A server's document and the store revision of its last change.
    struct server_document
    {
        std::string text_;
        std::uint64_t changed_at_revision_ = 0;
    };
    void set_document(const std::string& p_id, const std::string& p_text,
                      std::uint64_t p_revision);
    void remove_document(const std::string& p_id, std::uint64_t p_revision);
    void apply_changes(const server_changes& p_changes);
    void rebuild_servers(std::uint64_t p_revision);
    void apply_server_change(const object_change& p_change,
                             std::uint64_t p_revision);
    void log_removed(const std::string& p_id) const;
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
    routing::server_list servers_;
    store_outage_detector outages_;
    /// By server id; only documents that name a server.
    std::map<std::string, server_document> documents_;
    /// Revision at which each removed server was removed, by server id. Goes
    /// back to `history_start_`.
    std::map<std::string, std::uint64_t> removal_revisions_;
    /// Revision of the first server list; earlier changes aren't known.
    std::uint64_t history_start_ = 0;
    bool servers_known_ = false;
};

} // namespace peridotspar
