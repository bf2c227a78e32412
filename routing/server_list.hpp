#pragma once

#include "core/clock.hpp"
#include "core/ids.hpp"
#include "routing/route_table.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace peridotspar::routing
{

/// One start of a backend server: an id may come back with another start.
struct instance_id
{
    std::string id_;
    std::int64_t started_ms_ = 0; ///< Unix time.

    /// Differs for each start of each server.
    [[nodiscard]] std::string key() const
    {
        return id_ + "@" + std::to_string(started_ms_);
    }
    friend auto operator<=>(const instance_id&, const instance_id&) = default;
};

/// A backend server as it says of itself.
struct server_entry
{
    instance_id instance_;
    service_name service_;
    std::string address_; ///< IP:PORT.
    failure_domain_id domain_;
    unsigned slots_ = 1;
    bool leaving_ = false; ///< Takes no new work.

    friend bool operator==(const server_entry&, const server_entry&) = default;
};

/// The backend servers that are believed to be there. Entries that a store
/// lost while it was away are kept for a while after its return.
class server_list
{
public:
    using entries = std::map<std::string, server_entry>; ///< By id.

    /// `p_unannounced`: how long an entry that vanished without having said
    /// that it leaves is kept, as it may come back.
    explicit server_list(duration p_missing_retention)
        : missing_retention_(p_missing_retention)
    {
    }

    /// Takes the whole list as of a revision; an older one is ignored.
    /// Returns whether anything changed.
    bool replace(std::uint64_t p_revision, entries p_entries, time_point p_now);
    /// Takes one entry that was written.
    void put(std::uint64_t p_revision, server_entry p_entry);
    /// Takes note that an entry is gone.
    void remove(std::uint64_t p_revision, const std::string& p_id,
                time_point p_now);
    void advance_revision(std::uint64_t p_revision);

    /// The source was away until now: for `p_grace` what is missing stays.
    void begin_grace_period(time_point p_now, duration p_grace_period);
    /// Drops what stayed missing; returns whether anything changed.
    bool drop_expired(time_point p_now);

    [[nodiscard]] const entries& all() const { return entries_; }
    [[nodiscard]] std::uint64_t revision() const { return revision_; }

private:
    [[nodiscard]] time_point retention_deadline(const server_entry& p_entry,
                                                time_point p_now) const;

    duration missing_retention_;
    entries entries_;
    std::map<std::string, time_point>
        missing_until_; ///< Until when each is kept.
    std::uint64_t revision_ = 0;
    time_point grace_until_{};
};

} // namespace peridotspar::routing
