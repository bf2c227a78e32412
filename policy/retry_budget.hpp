#pragma once

namespace peridotspar::policy
{

/// Limits retries and hedges to a share of the successes. Every node keeps
/// its own, so the fleet's retries keep to the same share of its successes.
class retry_budget
{
public:
    retry_budget(double p_ratio, double p_reserve);

    void note_success();
    /// Takes one retry from the budget; false when it is spent.
    [[nodiscard]] bool take();

private:
    double ratio_;
    double reserve_;
    double left_;
};

} // namespace peridotspar::policy
