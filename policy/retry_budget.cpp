#include "policy/retry_budget.hpp"

#include <algorithm>

namespace peridotspar::policy
{

retry_budget::retry_budget(double p_ratio, double p_reserve)
    : ratio_(p_ratio), reserve_(p_reserve), left_(p_reserve)
{
}

void retry_budget::note_success()
{
    left_ = std::min(reserve_, left_ + ratio_);
}

bool retry_budget::take()
{
    if (left_ < 1)
    {
        return false;
    }
    left_ -= 1;
    return true;
}

} // namespace peridotspar::policy
