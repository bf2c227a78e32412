#include "bench/scenario.hpp"

#include "bench/scenario_script.hpp"

#include <algorithm>

namespace peridotspar::bench
{

scenario load_scenario(const std::string& p_path, std::uint64_t p_seed,
                       double p_scale)
{
    scenario made;
    made.seed_ = p_seed;
    const auto slash = p_path.rfind('/');
    const std::string file =
        slash == std::string::npos ? p_path : p_path.substr(slash + 1);
    made.name_ = file.substr(0, file.rfind('.'));
    scenario_script(made, p_scale).run(p_path);
    std::stable_sort(
        made.requests_.begin(), made.requests_.end(),
        [](const planned_request& p_left, const planned_request& p_right)
        { return p_left.when_ < p_right.when_; });
    return made;
}

} // namespace peridotspar::bench
