#pragma once

#include "capacity/capacity_decision.hpp"
#include "capacity/capacity_options.hpp"
#include "capacity/capacity_view.hpp"

namespace peridotspar::capacity
{

/// Engines that each resource needs, without the reserve.
struct engine_need
{
    double prefill_ = 0;
    double streams_ = 0;
    double cache_ = 0;

    [[nodiscard]] double largest() const;
    /// Names the resource that needs the most engines.
    [[nodiscard]] decision_reason reason() const;
};

/// `p_view` has to be usable.
[[nodiscard]] engine_need need_of(const capacity_view& p_view,
                                  const capacity_options& p_options);

} // namespace peridotspar::capacity
