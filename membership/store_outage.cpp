#include "membership/store_outage.hpp"

#include <algorithm>

namespace peridotspar
{

std::optional<store_outage_detector::outage>
store_outage_detector::record_contact(time_point p_at)
{
    const auto before = contact_;
    if (before && p_at <= *before)
    {
        return std::nullopt;
    }
    contact_ = p_at;
    const bool was_outage = before && failure_ && *failure_ > *before &&
                            p_at - *before >= min_outage_;
    if (!was_outage)
    {
        return std::nullopt;
    }
    return outage{p_at - *before, std::max(duration::zero(), p_at - *failure_)};
}

void store_outage_detector::record_failure(time_point p_at)
{
    failure_ = failure_ ? std::max(*failure_, p_at) : p_at;
}

} // namespace peridotspar
