#pragma once

#include "core/clock.hpp"

#include <optional>

namespace peridotspar
{

/// Finds outages of the store, in which server entries lapse. A time in which
/// nobody asked it, or in which single connections or nodes were lost, is none.
/// An outage took longer than the store needs to drop an entry whose server
/// can't write, and some node's call failed meanwhile that should have been
/// answered at once. It has no clock and does no I/O. Not thread-safe.
class store_outage_detector
{
public:
    struct outage
    {
        duration since_contact_{}; ///< Since the last response before.
        duration since_failure_{}; ///< Since the last call that failed.
    };

    /// `p_min_outage`: shorter outages let no entry lapse.
    explicit store_outage_detector(duration p_min_outage)
        : min_outage_(p_min_outage)
    {
    }

    /// The store answered this node or another. Returns the outage that ended
    /// with the response, if there was one.
    std::optional<outage> record_contact(time_point p_at);
    /// A call of this node or another failed that didn't wait for a change.
    void record_failure(time_point p_at);
    /// When the store last answered any node; nullopt if it never did.
    [[nodiscard]] std::optional<time_point> last_contact() const
    {
        return contact_;
    }

private:
    duration min_outage_;
    std::optional<time_point> contact_;
    std::optional<time_point> failure_;
};

} // namespace peridotspar
