#pragma once

#include "bench/scenario.hpp"

#include <random>
#include <string>

struct lua_State;

namespace peridotspar::bench
{

/// The scenario language: Lua with the functions `fleet`, `pool`, `class`,
/// `account`, `load`, `request`, `fault` and `expect`, which docs/SCENARIOS.md
/// describes, and Lua's own without files, system and code loading.
class scenario_script
{
public:
    scenario_script(scenario& r_scenario, double p_load_factor);
    ~scenario_script();
    scenario_script(const scenario_script&) = delete;
    scenario_script& operator=(const scenario_script&) = delete;

    void run(const std::string& p_path);

private:
    using member_function = void (scenario_script::*)();
    template <member_function Function>
    static int call_member(lua_State* p_state);

    void fleet();
    void pool();
    void request_class();
    void account();
    void load();
    void request();
    void fault();
    void expect();

    // Fields of the table that the script gave.
    [[nodiscard]] double number(const char* p_field, double p_default) const;
    [[nodiscard]] double required_number(const char* p_field) const;
    [[nodiscard]] std::string text(const char* p_field,
                                   const std::string& p_default) const;
    [[nodiscard]] bool flag(const char* p_field, bool p_default) const;
    /// A number, or a function of the time that gives one.
    [[nodiscard]] double arrival_rate(double p_seconds) const;
    [[noreturn]] void throw_error(const std::string& p_message) const;

    template <class Items>
    [[nodiscard]] std::uint32_t index_of(const Items& p_items,
                                         const char* p_field,
                                         const std::string& p_name) const;
    [[nodiscard]] planned_request draw_request();
    [[nodiscard]] std::uint32_t draw_token_count(const char* p_field,
                                                 double p_default);

    scenario& scenario_;
    double load_factor_;
    std::mt19937_64 random_;
    lua_State* lua_;
    std::uint64_t next_content_id_ = 1;
};

} // namespace peridotspar::bench
