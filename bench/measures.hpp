#pragma once

#include "bench/history.hpp"
#include "bench/scenario.hpp"

#include <map>
#include <string>

namespace peridotspar::bench
{

/// The measures of a run by name: `attainment_T` for each tier T, `goodput`
/// in tokens a second, `wasted` as a share of the generated tokens,
/// `p99_first_token_short` and `longest_wait` in milliseconds and seconds,
/// `over_cap` as a share of the cap, and counts.
[[nodiscard]] std::map<std::string, double> measure(const scenario& p_scenario,
                                                    const history& p_history);

} // namespace peridotspar::bench
