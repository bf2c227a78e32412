#include "tests/platform/standin/store_faults.hpp"

#include <optional>

namespace peridotspar::standin
{

namespace
{

using json = nlohmann::json;

/// Cost of a read whose result may be some seconds old; other calls cost 1.
constexpr double stale_read_cost = 0.1;

std::optional<port_state> read_state(const std::string& p_name)
{
    static const std::map<std::string, port_state> names{
        {"open", port_state::open},
        {"refuses", port_state::refuses},
        {"limited", port_state::limited},
        {"resets", port_state::resets},
        {"silent", port_state::silent}};
    const auto found = names.find(p_name);
    return found == names.end() ? std::nullopt
                                : std::optional<port_state>(found->second);
}

} // namespace

std::string store_faults::set(const json& p_script)
{
    if (!p_script.is_object())
    {
        return "the script is no object";
    }
    std::map<int, port_state> ports;
    const json port_fields = p_script.value("doors", json::object());
    for (const auto& [port_index, name] : port_fields.items())
    {
        const auto state = name.is_string()
                               ? read_state(name.get<std::string>())
                               : std::nullopt;
        const bool is_number =
            port_index.find_first_not_of("0123456789") == std::string::npos;
        if (!state || !is_number)
        {
            return "doors." + port_index + " isn't a state of a door";
        }
        ports[std::stoi(port_index)] = *state;
    }
    for (const char* field :
         {"slow_ms", "lose_answers", "late_ms", "late_writes"})
    {
        const bool is_natural =
            !p_script.contains(field) ||
            (p_script[field].is_number_integer() && p_script[field] >= 0);
        if (!is_natural)
        {
            return std::string(field) + " isn't a whole number";
        }
    }
    const std::lock_guard lock(mutex_);
    for (const auto& [port_index, state] : ports)
    {
        port_states_[port_index] = state;
    }
    delay_ =
        std::chrono::milliseconds(p_script.value("slow_ms", delay_.count()));
    effect_delay_ = std::chrono::milliseconds(
        p_script.value("late_ms", effect_delay_.count()));
    responses_to_drop_ = p_script.value("lose_answers", responses_to_drop_);
    writes_to_delay_ = p_script.value("late_writes", writes_to_delay_);
    return {};
}

call_faults store_faults::next(int p_port_index, bool p_writes)
{
    const std::lock_guard lock(mutex_);
    call_faults faults;
    if (const auto known = port_states_.find(p_port_index);
        known != port_states_.end())
    {
        faults.port_state_ = known->second;
    }
    faults.delay_ = delay_;
    if (p_writes && responses_to_drop_ > 0)
    {
        --responses_to_drop_;
        faults.drops_response_ = true;
    }
    if (p_writes && writes_to_delay_ > 0)
    {
        --writes_to_delay_;
        faults.drops_response_ = true;
        faults.effect_delay_ = effect_delay_;
    }
    return faults;
}

void store_faults::count(const std::string& p_call, bool p_allow_stale)
{
    const std::lock_guard lock(mutex_);
    ++calls_[p_call];
    cost_ += p_allow_stale ? stale_read_cost : 1;
}

json store_faults::counts() const
{
    const std::lock_guard lock(mutex_);
    json result(calls_);
    result["price"] = cost_;
    return result;
}

} // namespace peridotspar::standin
