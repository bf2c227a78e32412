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
/// of a time without one, which is longer than any stream can be taken up. Used
/// by the nodes that follow the store; their writes are conditional, so two
/// that decide at once do no harm. Not thread-safe.
class main_version_policy
{
public:
    /// `p_first_start`: the whole system starts for the first time, so that no
    /// stream began before.
    explicit main_version_policy(bool p_first_start)
        : first_start_(p_first_start)
    {
    }

    /// Returns the main version that should be written for a service, empty for
    /// none; nullopt if `p_stored` is right, which is null if the store has no
    /// object for the service. `p_resume_time`: how long after its begin a
    /// stream may be taken up.
    [[nodiscard]] std::optional<std::string>
    decide(const service_name& p_service,
           const stream_versions::version_counts& p_servers,
           const main_version* p_stored, duration p_resume_time,
           time_point p_now);

private:
    /// Since when this node knows that the service has no main version.
    struct pause
    {
        std::uint64_t revision_ = 0;
        time_point since_{};
    };

    bool first_start_;
    std::map<service_name, pause> pauses_;
};

} // namespace peridotspar::routing
