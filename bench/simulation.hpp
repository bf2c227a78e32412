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

/// Runs a scenario on a test clock: policies at the interface of the daemon,
/// and small fakes of what lies beyond it (callers, engines, messages).
template <policy::dispatch_policy Policy>
class simulation
{
public:
    using policy_factory = std::function<Policy(std::uint32_t p_node)>;

    simulation(const scenario& p_scenario, const policy_factory& p_make_policy);

    /// Runs to the end and returns what happened.
    [[nodiscard]] history run();

private:
    struct node_state
    {
        explicit node_state(Policy p_policy) : policy_(std::move(p_policy)) {}
        Policy policy_;
        bool alive_ = true;
        bool partitioned_ = false;
        std::map<attempt_id, std::uint64_t> stream_ids_;
        std::uint64_t next_request_id_ = 1;
        std::unordered_map<request_id, std::size_t> history_indices_;
    };
    /// One attempt at an engine.
    struct attempt_stream
    {
        std::uint32_t node_ = 0;
        attempt_id attempt_;
        request_id request_;
        std::size_t history_index_ = 0;
        std::uint32_t backend_ = 0;
        std::uint32_t next_token_ = 0;
        running_work work_;
        bool open_ = true;
    };
    struct engine_state
    {
        explicit engine_state(const engine_speed& p_speed) : batch_(p_speed) {}
        engine_batch batch_;
        bool stepping_ = false;
        time_point down_until_{};
        std::optional<time_point> leave_time_;
        std::uint64_t epoch_ = 0; ///< Counts crashes.
    };
    struct scheduled_event
    {
        time_point time_{};
        std::uint64_t sequence_ = 0;
        std::function<void()> callback_;
        friend bool operator<(const scheduled_event& p_left,
                              const scheduled_event& p_right)
        {
            return std::tie(p_left.time_, p_left.sequence_) >
                   std::tie(p_right.time_, p_right.sequence_);
        }
    };

    void schedule(time_point p_when, std::function<void()> p_run);
    void submit_request(std::size_t p_history_index, std::uint32_t p_node);
    void notify_policy(std::uint32_t p_node, const policy::event& p_event);
    void execute(std::uint32_t p_node, std::vector<policy::action>& r_actions);
    void execute(std::uint32_t p_node, const policy::dispatch& p_action);
    void execute(std::uint32_t p_node, const policy::cancel_attempt& p_action);
    void execute(std::uint32_t p_node, const policy::refuse& p_action);
    void execute(std::uint32_t p_node, const policy::complete& p_action);
    void send_to_node(std::uint32_t p_from, const node_id& p_to,
                      policy::event p_event);
    void open_stream(std::uint64_t p_id);
    void close_stream(std::uint64_t p_id);
    void end_stream(std::uint64_t p_id, policy::attempt_result p_result);
    void schedule_engine_step(std::uint32_t p_backend);
    void finish_step(std::uint32_t p_backend, std::uint64_t p_epoch,
                     const engine_batch::step_result& p_result);
    void receive_token(std::uint64_t p_id, bool p_last);
    void crash_engine(std::uint32_t p_backend);
    void inject_fault(const planned_fault& p_fault);
    void kill_node(std::uint32_t p_node);
    void report_loads();
    void publish_live_nodes();
    void record_waiting();
    [[nodiscard]] std::vector<running_work>
    running_on_node(std::uint32_t p_node) const;
    [[nodiscard]] static node_id node_name(std::uint32_t p_node);

    const scenario& scenario_;
    history history_;
    std::vector<std::unique_ptr<node_state>> nodes_;
    std::vector<engine_state> engines_;
    std::unordered_map<std::uint64_t, attempt_stream> streams_;
    std::priority_queue<scheduled_event> event_queue_;
    std::set<std::pair<std::uint32_t, std::uint32_t>>
        unreachable_; ///< (by, whom)
    time_point now_{};
    std::uint64_t next_sequence_ = 0;
    std::uint64_t next_stream_id_ = 1;
    std::size_t unanswered_requests_ =
        0; ///< Requests without their last answer.
    std::vector<std::size_t> waiting_by_account_;
};

} // namespace peridotspar::bench
