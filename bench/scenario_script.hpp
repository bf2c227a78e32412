#pragma once

#include "bench/scenario.hpp"

#include <random>
#include <string>

struct lua_State;

namespace peridotspar::bench
{

/// Interpreter of scenario scripts. A script is written in Lua and calls the
/// functions `fleet`, `pool`, `class`, `account`, `load`, `request`, `fault`
/// and `expect`, which docs/SCENARIOS.md describes. Of Lua's own library it can
/// use the functions that don't access files or the system or load code.
class scenario_script
{
public:
    /// Draws random values from the seed of `r_scenario`, which must outlive
    /// this object.
    scenario_script(scenario& r_scenario, double p_load_factor);
    ~scenario_script();
    scenario_script(const scenario_script&) = delete;
    scenario_script& operator=(const scenario_script&) = delete;

    /// Adds what the script describes to the scenario. Throws
    /// std::runtime_error, with the script's line, if it fails.
    void run(const std::string& p_path);

private:
    using member_function = void (scenario_script::*)();
    /// Entry point of Lua: calls `Function` of the script that owns `p_state`
    /// with a table as its argument, and turns exceptions into Lua errors.
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

    // Fields of the table that the script passed, or their defaults. The
    // numbers throw std::runtime_error if a field has another type or, if
    // required, is missing.
    [[nodiscard]] double number(const char* p_field, double p_default) const;
    [[nodiscard]] double required_number(const char* p_field) const;
    [[nodiscard]] std::string text(const char* p_field,
                                   const std::string& p_default) const;
    [[nodiscard]] bool flag(const char* p_field, bool p_default) const;
    /// Requests per second at a time. The field `rate` is a number or a
    /// function of the time in seconds.
    [[nodiscard]] double arrival_rate(double p_seconds) const;
    [[noreturn]] void throw_error(const std::string& p_message) const;

    /// Index of the item called `p_name`.
    template <class Items>
    [[nodiscard]] std::uint32_t index_of(const Items& p_items,
                                         const char* p_field,
                                         const std::string& p_name) const;
    /// Draws a request from the distributions that the table describes.
    [[nodiscard]] planned_request draw_request();
    /// Draws from a log-normal distribution with the median `p_field` and the
    /// standard deviation `p_field`_spread of the logarithm.
    [[nodiscard]] std::uint32_t draw_token_count(const char* p_field,
                                                 double p_default);

    scenario& scenario_;
    double load_factor_;
    std::mt19937_64 random_;
    lua_State* lua_;
    std::uint64_t next_content_id_ = 1;
};

} // namespace peridotspar::bench
