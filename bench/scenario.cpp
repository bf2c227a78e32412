#include "bench/scenario.hpp"

#include "bench/scenario_script.hpp"

#include <algorithm>

namespace peridotspar::bench
{

scenario load_scenario(const std::string& p_path, std::uint64_t p_seed,
                       double p_load_factor)
{
    scenario loaded;
    loaded.seed_ = p_seed;
    const auto last_slash = p_path.rfind('/');
    const std::string file_name = last_slash == std::string::npos
                                      ? p_path
                                      : p_path.substr(last_slash + 1);
    loaded.name_ = file_name.substr(0, file_name.rfind('.'));
    scenario_script(loaded, p_load_factor).run(p_path);
    std::stable_sort(
        loaded.requests_.begin(), loaded.requests_.end(),
        [](const planned_request& p_left, const planned_request& p_right)
        { return p_left.arrival_time_ < p_right.arrival_time_; });
    return loaded;
}

} // namespace peridotspar::bench
