#pragma once

#include "dispatch/work.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <utility>

namespace peridotspar::dispatch
{

/// Number of a request that waits here.
using waiter_id = std::uint64_t;

/// Requests that wait for a place, the most urgent first, then in order of
/// arrival.
class waiting_line
{
public:
    struct key
    {
        unsigned priority_ = 0;
        time_point arrived_{};
        waiter_id id_ = 0;

        friend auto operator<=>(const key&, const key&) = default;
    };
    struct waiter
    {
        duration reading_{}; ///< Engine time that it will take.
    };
    using line = std::map<key, waiter>;

    void add(const work& p_work, waiter_id p_id, duration p_reading);
    void remove(const work& p_work, waiter_id p_id);
    /// Engine time of all that goes before a request of the service.
    [[nodiscard]] duration ahead_of(const work& p_work) const;
    [[nodiscard]] const std::map<routing::service_name, line>& all() const
    {
        return lines_;
    }
    [[nodiscard]] std::size_t size() const { return size_; }

private:
    std::map<routing::service_name, line> lines_;
    std::size_t size_ = 0;
};

} // namespace peridotspar::dispatch
