#pragma once

#include "dispatch/request_profile.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <vector>

namespace peridotspar::dispatch
{

/// Number of a request that waits here.
using queued_request_id = std::uint64_t;

/// What waits of one kind: engine time of its prompts, together.
struct queue_summary
{
    routing::service_name service_;
    unsigned priority_ = 0;
    duration answer_target_{};
    duration prefill_time_{};
};

/// Requests that wait for a place: the highest priority first, among equals
/// those whose answer is due soonest after they come, then in order of arrival.
class wait_queue
{
public:
    struct key
    {
        unsigned priority_ = 0;
        duration answer_target_{};
        time_point arrived_{};
        queued_request_id id_ = 0;

        friend auto operator<=>(const key&, const key&) = default;
    };
    struct queued_request
    {
        duration prefill_time_{}; ///< Engine time that it will take.
    };
    using service_queue = std::map<key, queued_request>;

    void add(const request_profile& p_request, queued_request_id p_id,
             duration p_prefill_time);
    void remove(const request_profile& p_request, queued_request_id p_id);
    /// Engine time of all that goes before a request of the service.
    [[nodiscard]] duration
    prefill_ahead_of(const request_profile& p_request) const;
    /// Whether a request has to wait for what goes before it. It need not for
    /// much larger ones: it fits where they don't.
    [[nodiscard]] bool is_blocked(const request_profile& p_request,
                                  duration p_prefill_time) const;
    /// Offers each waiting request a place, in order, but those that are held
    /// back by one that found none; the placed ones leave the line.
    void
    try_dispatch(const std::function<bool(queued_request_id)>& p_try_dispatch);
    /// All that waits, by service, priority and target.
    [[nodiscard]] std::vector<queue_summary> summaries() const;
    [[nodiscard]] const std::map<routing::service_name, service_queue>&
    queues() const
    {
        return queues_;
    }
    [[nodiscard]] std::size_t size() const { return size_; }

private:
    static key make_key(const request_profile& p_request,
                        queued_request_id p_id);
    void try_dispatch_queue(
        service_queue& r_queue,
        const std::function<bool(queued_request_id)>& p_try_dispatch);

    std::map<routing::service_name, service_queue> queues_;
    std::size_t size_ = 0;
};

} // namespace peridotspar::dispatch
