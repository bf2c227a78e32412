#pragma once

#include "tests/lease/action_history.hpp"
#include "tests/lease/model_node.hpp"
#include "tests/lease/model_store.hpp"

#include <cstdint>
#include <deque>
#include <list>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace peridotspar
{

/// Frequencies of events, in 1/s for the whole fleet unless said otherwise.
struct event_rates
{
    double kill_ = 0;
    double stop_ = 0; ///< Planned stop, followed by a restart.
    double suspend_ = 0;
    double cut_ = 0; ///< From the store.
    double change_candidates_ = 0;
    double reset_store_ = 0;
    double remove_record_ = 0;
    double set_payload_ = 0; ///< By the holder.
    /// Shares of calls.
    double lost_answer_ = 0;
    double late_write_ = 0; ///< Done 1 to 6 s later; the result is unknown.
    double slow_ = 0;
    double failed_ = 0;
    double suspend_before_answer_ = 0; ///< Of the holder's renewals.
};

/// Several nodes and one store, with random events from a seed. True time
/// advances in steps.
class fleet_model
{
public:
    static constexpr duration step = std::chrono::milliseconds(10);

    fleet_model(std::uint64_t p_seed, std::size_t p_nodes,
                lease_options p_options, planted_fault p_fault);

    void set_rates(const event_rates& p_rates) { rates_ = p_rates; }
    void run(duration p_time);
    /// Ends all disturbances and starts all nodes.
    void restore();

    /// Makes the first nodes the candidates. All nodes must be running.
    void set_candidates(std::size_t p_count);
    /// A node that takes itself for the holder.
    [[nodiscard]] std::optional<std::size_t> holder();
    [[nodiscard]] model_node& node(std::size_t p_node)
    {
        return nodes_[p_node];
    }
    [[nodiscard]] model_store& store() { return store_; }
    [[nodiscard]] const action_history& history() const { return history_; }
    [[nodiscard]] time_point now() const { return now_; }

private:
    struct operation
    {
        std::size_t node_ = 0;
        std::string run_;
        lease_call call_;
        std::optional<time_point> perform_at_;
        time_point answer_at_{};
        /// The node gets this instead of the true result.
        std::optional<lease_answer> forced_;
        lease_answer result_{};
        std::optional<std::uint64_t> epoch_; ///< When it was performed.
    };

    void advance();
    void disturb();
    void disturb_store();
    void restart_nodes();
    void perform_operations();
    void answer_operations();
    void run_nodes();
    void gossip();
    void take_action(model_node& r_node);
    void issue(std::size_t p_node, lease_call p_call);
    void shape(operation& r_operation);
    void choose_candidates();
    void schedule_start(std::size_t p_node, double p_min_s, double p_max_s);

    [[nodiscard]] bool occurs(double p_per_s);
    [[nodiscard]] bool is_drawn(double p_share);
    [[nodiscard]] duration between(double p_min_s, double p_max_s);
    [[nodiscard]] std::size_t pick_node();
    [[nodiscard]] std::optional<std::size_t> pick_awake_node();

    std::mt19937_64 random_;
    event_rates rates_;
    time_point now_;
    model_store store_;
    std::deque<model_store::copy> copies_; ///< One for each of the last steps.
    std::vector<model_node> nodes_;
    std::vector<bool> is_candidate_;
    std::vector<std::optional<time_point>> start_at_;
    std::vector<std::optional<time_point>> kill_at_;
    std::list<operation> operations_;
    action_history history_;
    std::uint64_t payloads_ = 0;
};

} // namespace peridotspar
