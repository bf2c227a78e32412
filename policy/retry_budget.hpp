#pragma once

namespace peridotspar::policy
{

/// Limits retries and hedges to a share of the successes. Every node keeps
/// its own, so the fleet's retries keep to the same share of its successes.
class retry_budget
{
public:
    retry_budget(double p_ratio, double p_capacity);

    void record_success();
    /// Takes one retry from the budget; false when it is spent.
    [[nodiscard]] bool try_consume();

private:
    double ratio_;
    double capacity_;
    double available_;
};

} // namespace peridotspar::policy
