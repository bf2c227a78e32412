#pragma once

#include "routing/route_table.hpp"
#include "routing/server_list.hpp"
#include "store/object_feed.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace peridotspar
{

/// What a node believes: the newest configuration and the servers, from the
/// store or from peers, whoever is ahead. Belongs to the thread of its node.
class routing_state : public object_feed::listener
{
public:
    struct callbacks
    {
        std::function<void(std::shared_ptr<const routing::route_table>)>
            on_config_;
        std::function<void(const routing::server_list::entries&)> on_servers_;
    };
    routing_state(callbacks p_callbacks, duration p_drain_time);

    void on_list(const std::string& p_kind, const object_page& p_all) override;
    void on_changes(const std::string& p_kind,
                    const object_changes& p_changes) override;
    void on_contact(const std::string& p_kind, bool p_reached) override;

    /// Takes a configuration document if it is newer.
    void update_config(const std::string& p_document);
    /// What a peer that knows the servers as of a revision misses.
    struct server_changes
    {
        std::uint64_t revision_ = 0;
        std::map<std::string, std::string> documents_; ///< By server id.
        std::vector<std::string> removed_;
        bool is_full_ = false; ///< Servers that aren't named are gone.
    };
    [[nodiscard]] server_changes changes_since(std::uint64_t p_revision) const;
    /// Takes a peer's changes if they are newer.
    void update_servers(const server_changes& p_changes);
    /// Drops servers that stayed missing; call it regularly.
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

    /// Whether requests can be served.
    [[nodiscard]] bool is_complete() const
    {
        return config_version_ > 0 && servers_known_;
    }

private:
    /// One server's document, and the revision at which it was learnt.
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
    [[nodiscard]] std::optional<routing::server_entry>
    parse_document(const std::string& p_id,
                   const std::string& p_document) const;

    callbacks callbacks_;
    boot_clock clock_;
    std::uint64_t config_version_ = 0;
    std::string config_document_;
    routing::server_list servers_;
    std::map<std::string, server_document> documents_; ///< By server id.
    std::map<std::string, std::uint64_t>
        removal_revisions_;           ///< Since the first list.
    std::uint64_t history_start_ = 0; ///< Revision of the first list.
    bool servers_known_ = false;
};

} // namespace peridotspar
