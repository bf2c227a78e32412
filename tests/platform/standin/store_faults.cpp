#include "tests/platform/standin/store_faults.hpp"

#include <optional>

namespace peridotspar::standin
{

namespace
{

using json = nlohmann::json;

/// Of a call that may be seconds old.
constexpr double price_of_old = 0.1;

std::optional<door_state> read_state(const std::string& p_word)
{
    static const std::map<std::string, door_state> words{
        {"open", door_state::open},
        {"refuses", door_state::refuses},
        {"limited", door_state::limited},
        {"resets", door_state::resets},
        {"silent", door_state::silent}};
    const auto found = words.find(p_word);
    return found == words.end() ? std::nullopt
                                : std::optional<door_state>(found->second);
}

} // namespace

std::string store_faults::set(const json& p_script)
{
    if (!p_script.is_object())
    {
        return "the script is no object";
    }
    std::map<int, door_state> doors;
    const json told_doors = p_script.value("doors", json::object());
    for (const auto& [door, word] : told_doors.items())
    {
        const auto state = word.is_string()
                               ? read_state(word.get<std::string>())
                               : std::nullopt;
        const bool is_number =
            door.find_first_not_of("0123456789") == std::string::npos;
        if (!state || !is_number)
        {
            return "doors." + door + " isn't a state of a door";
        }
        doors[std::stoi(door)] = *state;
    }
    for (const char* field :
         {"slow_ms", "lose_answers", "late_ms", "late_writes"})
    {
        const bool natural =
            !p_script.contains(field) ||
            (p_script[field].is_number_integer() && p_script[field] >= 0);
        if (!natural)
        {
            return std::string(field) + " isn't a whole number";
        }
    }
    const std::lock_guard lock(mutex_);
    for (const auto& [door, state] : doors)
    {
        doors_[door] = state;
    }
    slow_ = std::chrono::milliseconds(p_script.value("slow_ms", slow_.count()));
    late_ = std::chrono::milliseconds(p_script.value("late_ms", late_.count()));
    lose_answers_ = p_script.value("lose_answers", lose_answers_);
    late_writes_ = p_script.value("late_writes", late_writes_);
    return {};
}

treatment store_faults::next(int p_door, bool p_writes)
{
    const std::lock_guard lock(mutex_);
    treatment fate;
    if (const auto known = doors_.find(p_door); known != doors_.end())
    {
        fate.door_ = known->second;
    }
    fate.pause_ = slow_;
    if (p_writes && lose_answers_ > 0)
    {
        --lose_answers_;
        fate.loses_answer_ = true;
    }
    if (p_writes && late_writes_ > 0)
    {
        --late_writes_;
        fate.loses_answer_ = true;
        fate.takes_effect_after_ = late_;
    }
    return fate;
}

void store_faults::count(const std::string& p_call, bool p_old_is_fine)
{
    const std::lock_guard lock(mutex_);
    ++calls_[p_call];
    price_ += p_old_is_fine ? price_of_old : 1;
}

json store_faults::counts() const
{
    const std::lock_guard lock(mutex_);
    json told(calls_);
    told["price"] = price_;
    return told;
}

} // namespace peridotspar::standin
