#pragma once

#include "core/clock.hpp"
#include "core/ids.hpp"
#include "routing/route_table.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace peridotspar::routing
{

/// Identifies one run of a backend server: a restarted server may use the same
/// id with another start time.
struct instance_id
{
    std::string id_;
    std::int64_t started_ms_ = 0; ///< Unix time.

    /// Returns a string that is unique to each run of each server.
    [[nodiscard]] std::string key() const
    {
        return id_ + "@" + std::to_string(started_ms_);
    }
    friend auto operator<=>(const instance_id&, const instance_id&) = default;
};

/// A backend server as it registered itself.
struct server_entry
{
    instance_id instance_;
    service_name service_;
    std::string address_; ///< IP:PORT.
    /// Of the server's software. Streams of two versions don't fit together.
    std::string version_;
    failure_domain_id domain_;
    unsigned slots_ = 1;
    bool leaving_ = false; ///< Takes no new work.
    bool spot_ = false;    ///< May be reclaimed by the platform.

    friend bool operator==(const server_entry&, const server_entry&) = default;
};

/// The known backend servers. An entry that disappears without an announcement
/// may have lapsed, and come back. But if it was removed, its server must get
/// no requests some time later, and the removal lies anywhere between the last
/// time that the store confirmed the entry and its absence. So it is kept for a
/// time from both. Only after an outage, in which entries lapse, it is kept for
/// a grace period. Not thread-safe.
class server_list
{
public:
    using entries = std::map<std::string, server_entry>; ///< By id.

    /// How long an entry is kept that disappeared without having announced that
    /// it leaves, whichever ends first.
    struct retention
    {
        duration since_missing_{};
        duration since_confirmed_{};
    };
    explicit server_list(retention p_retention) : retention_(p_retention) {}

    /// Adds or replaces one entry.
    void put(server_entry p_entry);
    /// Removes an entry, at once if it announced that it leaves, or else after
    /// its retention time.
    void remove(const std::string& p_id, time_point p_now);

    /// The store held all entries of the present list at this time.
    void confirm(time_point p_at);
    [[nodiscard]] time_point confirmed_at() const { return confirmed_at_; }
    /// To be called when the store is back after an outage: entries that go
    /// missing from now on are kept at least until `p_grace_period` has passed.
    void begin_grace_period(time_point p_now, duration p_grace_period);
    /// Removes the missing entries whose retention time is over; returns
    /// whether anything changed.
    bool drop_expired(time_point p_now);

    [[nodiscard]] const entries& all() const { return entries_; }

private:
    /// Until when an entry is kept if it is missing from now on.
    [[nodiscard]] time_point retention_deadline(const server_entry& p_entry,
                                                time_point p_now) const;

    retention retention_;
    time_point confirmed_at_{};
    entries entries_;
    /// Missing entries by id, with the time until which each is kept.
    std::map<std::string, time_point> missing_until_;
    time_point grace_until_{};
};

} // namespace peridotspar::routing
