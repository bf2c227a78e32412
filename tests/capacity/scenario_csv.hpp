#pragma once

#include "tests/capacity/fleet_simulation.hpp"

#include <string>

namespace peridotspar::capacity
{

/// Writes demand, needed, ordered and running engines over time to NAME.csv in
/// the folder that the environment variable CAPACITY_CSV names. Does nothing
/// if it isn't set. Throws std::runtime_error if the file can't be written.
void write_scenario_csv(const std::string& p_name,
                        const fleet_simulation& p_simulation);

} // namespace peridotspar::capacity
