#pragma once

#include "bench/history.hpp"
#include "bench/scenario.hpp"
#include "policy/events.hpp"
#include "standins/model_engine.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <unordered_map>
#include <vector>

namespace peridotspar::bench
{

/// Discrete-event simulation of a cluster that runs a scenario. Each node runs
/// a real policy, driven through the events and actions that the daemon uses;
/// callers, engines and the network are simulated. Time is virtual, and a run
/// is deterministic for a given seed.
template <policy::dispatch_policy Policy>
class simulation
{
public:
    /// Creates the policy of a node.
    using policy_factory = std::function<Policy(std::uint32_t p_node)>;

    /// `p_scenario` must outlive this object.
    simulation(const scenario& p_scenario, const policy_factory& p_make_policy);

    /// Runs until every request has its last answer, or for 300 s of simulated
    /// time after the load ends, and returns the history. May be called once.
    [[nodiscard]] history run();

private:
    struct node_state
    {
        /// Makes the policy in place, as a decider can't be moved.
        node_state(const policy_factory& p_make_policy, std::uint32_t p_node)
            : policy_(p_make_policy(p_node))
        {
        }
        Policy policy_;
        bool alive_ = true;
        bool partitioned_ = false; ///< Exchanges no messages with peers.
        std::map<attempt_id, std::uint64_t> stream_ids_;
        std::uint64_t next_request_id_ = 1;
        std::unordered_map<request_id, std::size_t> history_indices_;
    };
    /// One attempt to run a request at an engine.
    struct attempt_stream
    {
        std::uint32_t node_ = 0;
        attempt_id attempt_;
        request_id request_;
        std::size_t history_index_ = 0;
        std::uint32_t backend_ = 0;
        std::uint32_t next_token_ = 0;
        attempt_properties properties_;
        bool open_ = true;
    };
    struct engine_state
    {
        explicit engine_state(const engine_speed& p_speed) : batch_(p_speed) {}
        engine_batch batch_;
        bool stepping_ = false;
        time_point down_until_{};
        std::optional<time_point> leave_time_;
        /// Number of crashes, by which the end of a step that a crash
        /// interrupted is recognized and ignored.
        std::uint64_t epoch_ = 0;
    };
    struct scheduled_event
    {
        time_point time_{};
        std::uint64_t sequence_ = 0;
        std::function<void()> callback_;
        /// Reversed, as std::priority_queue yields its greatest element first.
        friend bool operator<(const scheduled_event& p_left,
                              const scheduled_event& p_right)
        {
            return std::tie(p_left.time_, p_left.sequence_) >
                   std::tie(p_right.time_, p_right.sequence_);
        }
    };

    /// Adds an event to the queue. Events of equal time run in order of their
    /// scheduling.
    void schedule(time_point p_time, std::function<void()> p_callback);
    /// Sends a request to `p_node`, or to the next live node after it.
    void submit_request(std::size_t p_history_index, std::uint32_t p_node);
    /// Passes an event to the policy of a node and executes its actions.
    void notify_policy(std::uint32_t p_node, const policy::event& p_event);
    void execute(std::uint32_t p_node, std::vector<policy::action>& r_actions);
    void execute(std::uint32_t p_node, const policy::dispatch& p_action);
    void execute(std::uint32_t p_node, const policy::cancel_attempt& p_action);
    void execute(std::uint32_t p_node, const policy::refuse& p_action);
    void execute(std::uint32_t p_node, const policy::complete& p_action);
    void send_to_node(std::uint32_t p_from, const node_id& p_to,
                      policy::event p_event);
    /// The attempt reaches its engine.
    void open_stream(std::uint64_t p_id);
    /// The node closes the connection to the engine.
    void close_stream(std::uint64_t p_id);
    /// The engine or its connection ends the attempt.
    void end_stream(std::uint64_t p_id, policy::attempt_result p_result);
    void schedule_engine_step(std::uint32_t p_backend);
    void finish_step(std::uint32_t p_backend, std::uint64_t p_epoch,
                     const engine_batch::step_result& p_result);
    void receive_token(std::uint64_t p_id, bool p_last);
    void crash_engine(std::uint32_t p_backend);
    void inject_fault(const planned_fault& p_fault);
    void kill_node(std::uint32_t p_node);
    void report_loads();
    /// Tells each node which nodes it now sees as live.
    void publish_live_nodes();
    /// Records, for each account, whether others have waiting requests.
    void record_waiting();
    [[nodiscard]] std::vector<attempt_properties>
    running_on_node(std::uint32_t p_node) const;
    [[nodiscard]] static node_id node_name(std::uint32_t p_node);

    const scenario& scenario_;
    history history_;
    std::vector<std::unique_ptr<node_state>> nodes_;
    std::vector<engine_state> engines_;
    std::unordered_map<std::uint64_t, attempt_stream> streams_;
    std::priority_queue<scheduled_event> event_queue_;
    /// Pairs (observer, target) of nodes where the observer sees the target as
    /// dead.
    std::set<std::pair<std::uint32_t, std::uint32_t>> unreachable_;
    time_point now_{};
    std::uint64_t next_sequence_ = 0;
    std::uint64_t next_stream_id_ = 1;
    /// Requests that haven't had their last answer yet.
    std::size_t unanswered_requests_ = 0;
    std::vector<std::size_t> waiting_by_account_;
};

} // namespace peridotspar::bench
