#pragma once

#include "quarantine/crash_attribution.hpp"
#include "transport/gen/suspect_types.h"

namespace peridotspar
{

// Conversions between reports of crashes and their messages, which both kinds
// of node exchange. Clocks differ between nodes, so messages hold ages.

/// Times become ages at `p_now`, in milliseconds.
[[nodiscard]] suspect_wire::suspect
to_wire(const quarantine::suspect_report& p_report, time_point p_now);
/// Ages that are negative count as zero, but for those that stand for no time.
[[nodiscard]] quarantine::suspect_report
from_wire(const suspect_wire::suspect& p_message, time_point p_now);

} // namespace peridotspar
