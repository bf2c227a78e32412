#pragma once

#include "core/bounded_queue.hpp"
#include "daemon/pending_answer.hpp"
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

/// Runs the decision logic on its own thread: takes events from a bounded
/// ring and carries out the actions.
class decision_loop
{
public:
    /// Takes actions that are messages to other nodes; must not block.
    using peer_sink = std::function<void(policy::action)>;

    decision_loop(node_id p_self, failure_domain_id p_domain,
                  backend_io& r_backends, peer_sink p_peers);
    ~decision_loop();
    decision_loop(const decision_loop&) = delete;
    decision_loop& operator=(const decision_loop&) = delete;

    void start();
    /// Puts a configuration in force, here and in the decision logic.
    void set_snapshot(std::shared_ptr<const snapshot> p_snapshot);
    /// Registers a request and asks for a decision; false if too much waits.
    [[nodiscard]] bool submit(std::shared_ptr<pending_answer> p_answer,
                              const policy::request& p_request);
    /// Queues an event, waiting if the ring is full.
    void post(policy::event p_event);
    /// Forgets a request whose worker is done with it.
    void forget(request_id p_request);
    /// The listener for a request's pending answer.
    [[nodiscard]] pending_answer::listener listener();

    [[nodiscard]] std::size_t open_requests() const;
    void stop();

private:
    void run();
    void carry_out(policy::action& r_action);
    void carry_out(const policy::dispatch& p_action);
    void carry_out(const policy::cancel_attempt& p_action);
    void carry_out(const policy::refuse& p_action);
    void carry_out(const policy::complete& p_action);
    [[nodiscard]] std::shared_ptr<pending_answer> find(request_id p_request);
    void flush_cancels();

    backend_io& backends_;
    peer_sink peers_;
    policy::decider decider_;
    bounded_queue<policy::event> events_;
    mutable std::mutex mutex_;
    std::shared_ptr<const snapshot> snapshot_;
    std::unordered_map<request_id, std::shared_ptr<pending_answer>> answers_;
    std::deque<attempt_id> cancels_;       ///< Not yet taken by the I/O thread.
    std::deque<policy::event> own_events_; ///< Raised by carrying out actions.
    std::atomic<bool> stopping_{false};
    std::thread thread_;
};

} // namespace peridotspar
