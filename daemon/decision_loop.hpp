#pragma once

#include "core/bounded_queue.hpp"
#include "daemon/pending_response.hpp"
#include "daemon/snapshot.hpp"
#include "policy/decider.hpp"
#include "transport/backend_io.hpp"

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>
#include <unordered_map>

namespace peridotspar
{

/// Runs the decider on a thread of its own: feeds it events from a bounded
/// queue and executes the actions that it returns. Unless stated otherwise, any
/// thread may call the members.
class decision_loop
{
public:
    /// Receives the actions that are messages to other nodes. Called on the
    /// decision thread; must not block.
    using peer_sink = std::function<void(policy::action)>;

    decision_loop(node_id p_self, failure_domain_id p_domain,
                  backend_io& r_backends, peer_sink p_peer_sink);
    ~decision_loop();
    decision_loop(const decision_loop&) = delete;
    decision_loop& operator=(const decision_loop&) = delete;

    /// Starts the decision thread. Call it once.
    void start();
    /// Applies a configuration to this object and to the decider. Waits while
    /// the event queue is full.
    void set_snapshot(std::shared_ptr<const snapshot> p_snapshot);
    /// Registers a request and queues it for a decision. Returns false, and
    /// registers nothing, if the event queue is full.
    [[nodiscard]] bool submit(std::shared_ptr<pending_response> p_response,
                              const policy::request& p_request);
    /// Queues an event; waits while the queue is full.
    void post(policy::event p_event);
    /// Removes a request that its worker thread has finished.
    void unregister(request_id p_request);
    /// Returns a listener for a pending_response that posts the output and the
    /// end of its attempts to this loop. It must not outlive the loop.
    [[nodiscard]] pending_response::listener make_listener();

    /// Number of registered requests.
    [[nodiscard]] std::size_t open_requests() const;
    /// Stops and joins the decision thread; queued events are dropped. Only
    /// for the thread that owns this object.
    void stop();

private:
    void run();
    void execute(policy::action& r_action);
    void execute(const policy::dispatch& p_action);
    void execute(const policy::cancel_attempt& p_action);
    void execute(const policy::refuse& p_action);
    void execute(const policy::complete& p_action);
    [[nodiscard]] std::shared_ptr<pending_response>
    find_response(request_id p_request);
    /// Passes pending cancellations to the I/O thread until its queue is full.
    void flush_cancels();

    backend_io& backends_;
    peer_sink peer_sink_;
    policy::decider decider_;
    bounded_queue<policy::event> events_;
    mutable std::mutex mutex_;
    std::shared_ptr<const snapshot> snapshot_; ///< Guarded by `mutex_`.
    /// Registered requests; guarded by `mutex_`.
    std::unordered_map<request_id, std::shared_ptr<pending_response>>
        responses_;
    /// Cancellations that the backend I/O queue had no space for yet. Used only
    /// on the decision thread.
    std::deque<attempt_id> pending_cancels_;
    /// Events that the execution of actions caused. Used only on the decision
    /// thread, which would deadlock if it waited for space in `events_`.
    std::deque<policy::event> internal_events_;
    std::atomic<bool> stopping_{false};
    std::thread thread_;
};

} // namespace peridotspar
