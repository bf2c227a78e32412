#include "capacity/engine_need.hpp"

#include <algorithm>

namespace peridotspar::capacity
{

double engine_need::largest() const
{
    return std::max({prefill_, streams_, cache_});
}

decision_reason engine_need::reason() const
{
    if (prefill_ >= streams_ && prefill_ >= cache_)
    {
        return decision_reason::up_prefill;
    }
    return streams_ >= cache_ ? decision_reason::up_streams
                              : decision_reason::up_cache;
}

engine_need need_of(const capacity_view& p_view,
                    const capacity_options& p_options)
{
    constexpr double ms_per_s = 1000;
    return {
        p_view.prefill_ms_per_s_ / ms_per_s / p_options.prefill_utilization_,
        p_view.streams_ / (p_view.slots_per_engine_ * p_options.stream_share_),
        p_view.cached_engines_ * p_options.cached_engines_factor_};
}

} // namespace peridotspar::capacity
