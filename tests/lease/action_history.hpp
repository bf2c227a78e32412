#pragma once

#include "core/clock.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace peridotspar
{

/// An action that a node was permitted to perform.
struct lease_action
{
    std::string node_;
    std::string run_;
    std::uint64_t token_ = 0;
    time_point at_{};
};

/// Checks the permitted actions of all nodes, in the order of true time.
class action_history
{
public:
    explicit action_history(duration p_lifetime) : lifetime_(p_lifetime) {}

    void record(const lease_action& p_action);
    /// Reports a violation that was found elsewhere.
    void report(std::string p_violation);

    /// The first violation.
    [[nodiscard]] const std::optional<std::string>& violation() const
    {
        return violation_;
    }
    [[nodiscard]] const std::optional<lease_action>& last() const
    {
        return last_;
    }
    [[nodiscard]] std::size_t changes_of_token() const
    {
        return run_of_token_.size();
    }

private:
    void check_token(const lease_action& p_action);
    void check_return(const lease_action& p_action);

    duration lifetime_;
    std::optional<lease_action> last_;
    std::map<std::uint64_t, std::string> run_of_token_;
    std::map<std::string, time_point> last_of_node_;
    std::optional<std::string> violation_;
};

} // namespace peridotspar
