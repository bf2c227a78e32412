#pragma once

namespace peridotspar::policy
{

/// Limits retries and hedged requests to a fraction of the successes. Each node
/// has its own budget, so the limit holds for the whole fleet too. Not
/// thread-safe.
class retry_budget
{
public:
    /// Each success adds `p_ratio` retries, up to `p_capacity`. The budget
    /// starts full.
    retry_budget(double p_ratio, double p_capacity);

    void record_success();
    /// Consumes one retry. Returns false if the budget is exhausted.
    [[nodiscard]] bool try_consume();

private:
    double ratio_;
    double capacity_;
    double available_;
};

} // namespace peridotspar::policy
