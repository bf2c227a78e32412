#pragma once

#include "dispatch/request_profile.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <vector>

namespace peridotspar::dispatch
{

/// Number of a request that waits here.
using waiter_id = std::uint64_t;

/// What waits of one kind: engine time of its prompts, together.
struct waiting_sum
{
    routing::service_name service_;
    unsigned priority_ = 0;
    duration target_{};
    duration reading_{};
};

/// Requests that wait for a place: the highest priority first, among equals
/// those whose answer is due soonest after they come, then in order of arrival.
class waiting_line
{
public:
    struct key
    {
        unsigned priority_ = 0;
        duration target_{};
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
    /// Whether a request has to wait for what goes before it. It need not for
    /// much larger ones: it fits where they don't.
    [[nodiscard]] bool holds_back(const work& p_work, duration p_reading) const;
    /// Offers each waiting request a place, in order, but those that are held
    /// back by one that found none; the placed ones leave the line.
    void offer(const std::function<bool(waiter_id)>& p_place);
    /// All that waits, by service, priority and target.
    [[nodiscard]] std::vector<waiting_sum> sums() const;
    [[nodiscard]] const std::map<routing::service_name, line>& all() const
    {
        return lines_;
    }
    [[nodiscard]] std::size_t size() const { return size_; }

private:
    static key key_of(const work& p_work, waiter_id p_id);
    void offer_line(line& r_line,
                    const std::function<bool(waiter_id)>& p_place);

    std::map<routing::service_name, line> lines_;
    std::size_t size_ = 0;
};

} // namespace peridotspar::dispatch
