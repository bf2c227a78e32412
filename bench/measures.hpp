#pragma once

#include "bench/history.hpp"
#include "bench/scenario.hpp"

#include <map>
#include <string>

namespace peridotspar::bench
{

/// Computes the measures of a run by name:
/// - `attainment_T`: share of the requests of tier T that met the latency
///   targets of their class,
/// - `goodput`: tokens per second in answers that met the targets,
/// - `wasted`: share of the generated tokens that no complete answer contains,
/// - `p50_first_token_short`, `p99_first_token_short`: time to the first token
///   of the scenario's short class in milliseconds,
/// - `longest_wait`: longest time in seconds that a class with waiting requests
///   was not served,
/// - `over_cap`: highest use above a cap as a share of the cap, -1 if there is
///   no interval to measure,
/// - counts: `requests`, `refused`, `refused_over_cap`, `preemptions`,
///   `second_runs`, `crashes` and `violations`.
[[nodiscard]] std::map<std::string, double> measure(const scenario& p_scenario,
                                                    const history& p_history);

} // namespace peridotspar::bench
