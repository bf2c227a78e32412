#pragma once

#include "core/clock.hpp"

#include <cstddef>

namespace peridotspar
{

/// Decides how a node that follows the store makes sure that its watches would
/// still deliver a change. A watch on a connection that fell silent looks like
/// one without changes, so somebody has to get a response regularly: the first
/// of the followers, whose watches are short. The others rely on its word, and
/// check one after the other as soon as it is overdue, so that the calls don't
/// grow with the followers. It has no clock and does no I/O. Not thread-safe.
class store_check_policy
{
public:
    struct decision
    {
        duration watch_wait_{};  ///< Of this node's next watches.
        bool check_now_ = false; ///< The watches in progress may be silent.
    };

    /// Call it several times a second while the node is in contact with the
    /// store. `p_rank`: the number of followers in contact that come before
    /// this one. `p_confirmed_at`: when a follower, this one included, last had
    /// responses to all its watches. `p_report_interval`: at which followers
    /// tell each other.
    [[nodiscard]] decision decide(std::size_t p_rank, time_point p_confirmed_at,
                                  duration p_report_interval, time_point p_now);

private:
    time_point last_check_{};
};

} // namespace peridotspar
