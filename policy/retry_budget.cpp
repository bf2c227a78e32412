#include "policy/retry_budget.hpp"

#include <algorithm>

namespace peridotspar::policy
{

retry_budget::retry_budget(double p_ratio, double p_capacity)
    : ratio_(p_ratio), capacity_(p_capacity), available_(p_capacity)
{
}

void retry_budget::record_success()
{
    available_ = std::min(capacity_, available_ + ratio_);
}

bool retry_budget::try_consume()
{
    if (available_ < 1)
    {
        return false;
    }
    available_ -= 1;
    return true;
}

} // namespace peridotspar::policy
