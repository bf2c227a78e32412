#pragma once

#include "lease/lease_keeper.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace peridotspar
{

/// Faults for the proof that the check over the history finds them.
enum class planted_fault
{
    none,
    validity_from_answer,       ///< Counts the lease from the answer.
    clock_stops_while_suspended ///< Doesn't count the suspended time.
};

/// A node of the model: a keeper with its clocks, which may be suspended, cut
/// off, killed and started again. All times are true times.
class model_node
{
public:
    model_node(lease_options p_options, planted_fault p_fault,
               duration p_clock_offset, std::int64_t p_unix_offset_s);

    /// Starts a new process under the same name.
    void start(std::uint64_t p_epoch);
    void kill() { keeper_.reset(); }
    void suspend(time_point p_now, time_point p_until);
    /// Cuts the node off from the store until then.
    void cut(time_point p_until) { cut_until_ = p_until; }
    void give_back();

    [[nodiscard]] bool is_running() const { return keeper_.has_value(); }
    [[nodiscard]] bool is_awake(time_point p_now) const
    {
        return keeper_ && p_now >= suspended_until_;
    }
    [[nodiscard]] bool is_cut(time_point p_now) const
    {
        return p_now < cut_until_;
    }
    [[nodiscard]] const std::string& name() const { return options_.node_; }
    [[nodiscard]] const std::string& run() const { return options_.run_; }
    [[nodiscard]] lease_keeper& keeper() { return *keeper_; }

    [[nodiscard]] std::optional<lease_call> next(time_point p_now);
    /// `p_epoch`: of the store when it performed the call. The node learns of a
    /// store reset before the first answer from the store after it.
    void on_answer(const lease_call& p_call, const lease_answer& p_answer,
                   std::optional<std::uint64_t> p_epoch, time_point p_now);
    void learn_epoch(std::uint64_t p_epoch);
    [[nodiscard]] bool may_act(time_point p_now) const;
    [[nodiscard]] std::uint64_t token() const;

private:
    [[nodiscard]] time_point clock(time_point p_now) const;
    void track_fault(const lease_call& p_call, const lease_answer& p_answer,
                     time_point p_now);

    lease_options options_;
    planted_fault fault_;
    duration clock_offset_;
    std::int64_t unix_offset_s_;
    std::optional<lease_keeper> keeper_;
    std::uint64_t starts_ = 0;
    std::uint64_t epoch_ = 0;
    time_point suspended_until_{};
    duration suspended_time_{};
    time_point cut_until_{};
    std::uint64_t faulty_token_ = 0; ///< With `validity_from_answer`.
    time_point faulty_until_{};
};

} // namespace peridotspar
