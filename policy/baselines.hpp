#pragma once

#include "policy/events.hpp"

#include <deque>
#include <unordered_map>
#include <vector>

namespace peridotspar::policy
{

/// Simple dispatch policies that the decider is compared with in benchmarks.
/// Each has a single FIFO queue and ignores tiers and caps.
class baseline_policy
{
public:
    enum class strategy
    {
        round_robin,
        least_reported_load,
    };

    explicit baseline_policy(strategy p_strategy) : strategy_(p_strategy) {}

    /// Handles one event and appends the resulting actions.
    void handle(const event& p_event, time_point p_now,
                std::vector<action>& r_actions);

private:
    struct backend_state
    {
        std::uint32_t running_count_ = 0;
        std::uint32_t reported_load_ = 0;
    };
    struct attempt_state
    {
        request request_;
        backend_index backend_;
        std::uint32_t received_ = 0;
        std::uint32_t failures_ = 0;
    };

    void on_arrival(const request& p_request);
    void on_attempt_ended(const attempt_ended& p_event);
    void start_attempt(const attempt_state& p_attempt);
    void dispatch_queued();
    [[nodiscard]] backend_index choose_backend(pool_index p_pool);
    [[nodiscard]] bool is_full(backend_index p_backend) const;

    strategy strategy_;
    std::vector<action>* actions_ = nullptr;
    std::shared_ptr<const catalogue> catalogue_;
    std::vector<std::vector<backend_index>> members_;
    std::vector<backend_state> backends_;
    std::unordered_map<attempt_id, attempt_state> attempts_;
    std::deque<attempt_state> queue_;
    std::uint64_t next_attempt_ = 1;
    std::size_t next_member_ = 0;
};

static_assert(dispatch_policy<baseline_policy>);

} // namespace peridotspar::policy
