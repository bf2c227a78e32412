#pragma once

#include "core/clock.hpp"
#include "routing/stream_versions.hpp"

#include <map>
#include <optional>
#include <string>

namespace peridotspar::routing
{

/// Decides which main version a service should have in the store. Nodes take a
/// stream without a record for one of the main version, so a change goes by way
/// of a time without one, in which all streams without a record end. The store
/// says with each main version how long such a stream may be taken up, and
/// nodes record those that may be for longer; so the time depends neither on
/// later configurations nor on what one node remembers. Used by the nodes that
/// follow the store; their writes are conditional, so two that decide at once
/// do no harm. Not thread-safe.
class main_version_policy
{
public:
    /// `p_first_start`: the whole system starts for the first time, so that no
    /// stream began before.
    explicit main_version_policy(bool p_first_start)
        : first_start_(p_first_start)
    {
    }

    /// What should be written for a service.
    struct decision
    {
        std::string version_; ///< Empty for none.
        duration unrecorded_time_{};
        friend bool operator==(const decision&, const decision&) = default;
    };
    /// Returns what should be written; nullopt if `p_stored` is right, which is
    /// null if the store has no object for the service. `p_unrecorded_time`:
    /// for how long after their begin most streams of the configuration in
    /// force may be taken up; zero if it has none for the service.
    [[nodiscard]] std::optional<decision>
    decide(const service_name& p_service,
           const stream_versions::version_counts& p_servers,
           const main_version* p_stored, duration p_unrecorded_time,
           time_point p_now);
    /// The store came back from an older copy: what it says of a service may
    /// have been replaced before, so that times without a main version begin
    /// anew.
    void restart_pauses() { pauses_.clear(); }

private:
    /// How long streams without a record may be taken up that began before the
    /// service's main version was given up.
    [[nodiscard]] duration time_after(const service_name& p_service,
                                      const main_version& p_stored,
                                      duration p_unrecorded_time) const;

    /// Since when this node knows that the service has no main version.
    struct pause
    {
        std::uint64_t revision_ = 0;
        time_point since_{};
    };

    bool first_start_;
    std::map<service_name, pause> pauses_;
    /// Longest time seen in the store, for objects that don't say it.
    std::map<service_name, duration> longest_times_;
};

} // namespace peridotspar::routing
