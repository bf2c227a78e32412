#include "tests/capacity/scenario_csv.hpp"

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <stdexcept>

namespace peridotspar::capacity
{

void write_scenario_csv(const std::string& p_name,
                        const fleet_simulation& p_simulation)
{
    const char* const folder = std::getenv("CAPACITY_CSV");
    if (folder == nullptr)
    {
        return;
    }
    const std::filesystem::path path =
        std::filesystem::path(folder) / (p_name + ".csv");
    std::ofstream file(path);
    file << "time_s,prefill_ms_per_s,streams,cached_engines,needed,ordered,"
            "running\n";
    for (const simulation_row& row : p_simulation.rows())
    {
        file << row.time_s_ << ',' << row.demand_.prefill_ms_per_s_ << ','
             << row.demand_.streams_ << ',' << row.demand_.cached_engines_
             << ',' << row.needed_ << ',' << row.ordered_ << ',' << row.running_
             << '\n';
    }
    if (!file.flush())
    {
        throw std::runtime_error("cannot write " + path.string());
    }
}

} // namespace peridotspar::capacity
