#pragma once

#include "dispatch/request_profile.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <vector>

namespace peridotspar::dispatch
{

/// Identifies a queued request.
using queued_request_id = std::uint64_t;

/// Total prefill time of the queued requests with the same service, priority
/// and answer target.
struct queue_summary
{
    routing::service_name service_;
    unsigned priority_ = 0;
    duration answer_target_{};
    duration prefill_time_{};
};

/// Requests that wait for a server with capacity, ordered by priority, then by
/// answer target, then by arrival. Each service has its own queue. Not
/// thread-safe.
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
        duration prefill_time_{}; ///< Engine time of its prefill.
        std::size_t message_bytes_ = 0;
    };
    using service_queue = std::map<key, queued_request>;

    /// Adds a request; does nothing if it is queued already.
    void add(const request_profile& p_request, queued_request_id p_id,
             duration p_prefill_time);
    /// Removes a request; does nothing if it isn't queued.
    void remove(const request_profile& p_request, queued_request_id p_id);
    /// Total engine time of the requests that are ahead of the request.
    [[nodiscard]] duration
    prefill_ahead_of(const request_profile& p_request) const;
    /// Size of the messages that are ahead of the request.
    [[nodiscard]] std::size_t
    bytes_ahead_of(const request_profile& p_request) const;
    /// Whether a request has to wait for one ahead of it. Much larger requests
    /// don't block it, because it can fit where they don't.
    [[nodiscard]] bool is_blocked(const request_profile& p_request,
                                  duration p_prefill_time) const;
    /// Calls `p_try_dispatch` for each queued request in order, except for
    /// those blocked by a request that wasn't dispatched. It returns whether
    /// the request was dispatched; such requests are removed from the queue.
    void
    try_dispatch(const std::function<bool(queued_request_id)>& p_try_dispatch);
    /// What is queued, by service, priority and answer target.
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
