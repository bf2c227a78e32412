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
    scenario_script(scenario& r_scenario, double p_scale);
    ~scenario_script();
    scenario_script(const scenario_script&) = delete;
    scenario_script& operator=(const scenario_script&) = delete;

    void run(const std::string& p_path);

private:
    using member = void (scenario_script::*)();
    template <member Function>
    static int call(lua_State* p_state);

    void fleet();
    void pool();
    void class_of_work();
    void account();
    void load();
    void request();
    void fault();
    void expect();

    // Fields of the table that the script gave.
    [[nodiscard]] double number(const char* p_field, double p_default) const;
    [[nodiscard]] double required(const char* p_field) const;
    [[nodiscard]] std::string text(const char* p_field,
                                   const std::string& p_default) const;
    [[nodiscard]] bool flag(const char* p_field, bool p_default) const;
    /// A number, or a function of the time that gives one.
    [[nodiscard]] double rate_at(double p_seconds) const;
    [[noreturn]] void fail(const std::string& p_message) const;

    template <class Items>
    [[nodiscard]] std::uint32_t find(const Items& p_items, const char* p_field,
                                     const std::string& p_name) const;
    [[nodiscard]] planned_request describe();
    [[nodiscard]] std::uint32_t draw(const char* p_field, double p_default);

    scenario& scenario_;
    double scale_;
    std::mt19937_64 random_;
    lua_State* state_;
    std::uint64_t next_content_ = 1;
};

} // namespace peridotspar::bench
