#include "bench/scenario_script.hpp"

#include <algorithm>
#include <cmath>
#include <stdexcept>

#include <lua.hpp>

namespace peridotspar::bench
{

namespace
{

/// The arrival rate is taken as constant within a slice.
constexpr double arrival_slice_s = 0.05;

time_point time_from_seconds(double p_seconds)
{
    return time_point(from_seconds(p_seconds));
}

duration from_ms(double p_ms)
{
    return from_seconds(p_ms / 1000);
}

} // namespace

scenario_script::scenario_script(scenario& r_scenario, double p_load_factor)
    : scenario_(r_scenario),
      load_factor_(p_load_factor),
      random_(r_scenario.seed_),
      lua_(luaL_newstate())
{
    luaL_requiref(lua_, "_G", luaopen_base, 1);
    luaL_requiref(lua_, "math", luaopen_math, 1);
    luaL_requiref(lua_, "table", luaopen_table, 1);
    luaL_requiref(lua_, "string", luaopen_string, 1);
    lua_settop(lua_, 0);
    for (const char* unsafe :
         {"dofile", "loadfile", "load", "collectgarbage", "print"})
    {
        lua_pushnil(lua_);
        lua_setglobal(lua_, unsafe);
    }
    *static_cast<scenario_script**>(lua_getextraspace(lua_)) = this;
    lua_register(lua_, "fleet", &call_member<&scenario_script::fleet>);
    lua_register(lua_, "pool", &call_member<&scenario_script::pool>);
    lua_register(lua_, "class", &call_member<&scenario_script::request_class>);
    lua_register(lua_, "account", &call_member<&scenario_script::account>);
    lua_register(lua_, "load", &call_member<&scenario_script::load>);
    lua_register(lua_, "request", &call_member<&scenario_script::request>);
    lua_register(lua_, "fault", &call_member<&scenario_script::fault>);
    lua_register(lua_, "expect", &call_member<&scenario_script::expect>);
}

scenario_script::~scenario_script()
{
    lua_close(lua_);
}

void scenario_script::run(const std::string& p_path)
{
    if (luaL_loadfilex(lua_, p_path.c_str(), "t") != LUA_OK ||
        lua_pcall(lua_, 0, 0, 0) != LUA_OK)
    {
        throw std::runtime_error(lua_tostring(lua_, -1));
    }
}

template <scenario_script::member_function Function>
int scenario_script::call_member(lua_State* p_state)
{
    auto* self = *static_cast<scenario_script**>(lua_getextraspace(p_state));
    luaL_checktype(p_state, 1, LUA_TTABLE);
    std::string error;
    try
    {
        (self->*Function)();
        lua_settop(p_state, 0);
        return 0;
    }
    catch (const std::exception& exception)
    {
        error = exception.what();
    }
    // lua_error leaves with longjmp and runs no destructors. It is called
    // outside the handler, after the exception is destroyed and the string is
    // emptied.
    luaL_where(p_state, 1);
    lua_pushstring(p_state, error.c_str());
    error = std::string();
    lua_concat(p_state, 2);
    return lua_error(p_state);
}

void scenario_script::throw_error(const std::string& p_message) const
{
    throw std::runtime_error(p_message);
}

double scenario_script::number(const char* p_field, double p_default) const
{
    const int type = lua_getfield(lua_, 1, p_field);
    const double value = lua_tonumber(lua_, -1);
    lua_pop(lua_, 1);
    if (type == LUA_TNIL)
    {
        return p_default;
    }
    if (type != LUA_TNUMBER)
    {
        throw_error(std::string(p_field) + " must be a number");
    }
    return value;
}

double scenario_script::required_number(const char* p_field) const
{
    const double value = number(p_field, std::nan(""));
    if (std::isnan(value))
    {
        throw_error(std::string(p_field) + " is missing");
    }
    return value;
}

std::string scenario_script::text(const char* p_field,
                                  const std::string& p_default) const
{
    const int type = lua_getfield(lua_, 1, p_field);
    std::string value =
        type == LUA_TSTRING ? lua_tostring(lua_, -1) : p_default;
    lua_pop(lua_, 1);
    return value;
}

bool scenario_script::flag(const char* p_field, bool p_default) const
{
    const int type = lua_getfield(lua_, 1, p_field);
    const bool value =
        type == LUA_TNIL ? p_default : lua_toboolean(lua_, -1) != 0;
    lua_pop(lua_, 1);
    return value;
}

double scenario_script::arrival_rate(double p_seconds) const
{
    const int type = lua_getfield(lua_, 1, "rate");
    if (type == LUA_TFUNCTION)
    {
        lua_pushnumber(lua_, p_seconds);
        if (lua_pcall(lua_, 1, 1, 0) != LUA_OK)
        {
            const std::string error = lua_tostring(lua_, -1);
            lua_pop(lua_, 1);
            throw_error(error);
        }
    }
    const double rate = lua_tonumber(lua_, -1);
    lua_pop(lua_, 1);
    return rate * load_factor_;
}

template <class Items>
std::uint32_t scenario_script::index_of(const Items& p_items,
                                        const char* p_field,
                                        const std::string& p_name) const
{
    const auto found = std::find_if(p_items.begin(), p_items.end(),
                                    [&](const auto& p_item)
                                    { return p_item.name_ == p_name; });
    if (found == p_items.end())
    {
        throw_error(std::string(p_field) + " has an unknown name: " + p_name);
    }
    return static_cast<std::uint32_t>(found - p_items.begin());
}

void scenario_script::fleet()
{
    scenario_.nodes_ = static_cast<std::uint32_t>(required_number("nodes"));
    scenario_.load_time_ = from_seconds(required_number("seconds"));
    scenario_.report_lag_ = from_ms(number("report_lag_ms", 1000));
    scenario_.network_delay_ = from_ms(number("network_ms", 0.5));
    scenario_.short_class_ = text("short_class", "");
}

void scenario_script::pool()
{
    policy::pool_entry entry;
    entry.name_ = text("name", "");
    entry.serves_model_ = flag("engines_batch", true);
    const auto index = pool_index(
        static_cast<std::uint32_t>(scenario_.catalogue_.pools_.size()));
    scenario_.catalogue_.pools_.push_back(entry);
    engine_speed speed;
    speed.slots_ = static_cast<std::uint32_t>(number("slots", 16));
    speed.step_time_ = from_ms(number("step_ms", 8));
    const auto count = static_cast<int>(required_number("engines"));
    for (int i = 0; i < count; ++i)
    {
        policy::backend_entry backend;
        backend.name_ = entry.name_ + std::to_string(i + 1);
        backend.slots_ = speed.slots_;
        backend.failure_domain_ =
            failure_domain_id("fd" + std::to_string(i % 3));
        backend.pools_ = {index};
        scenario_.catalogue_.backends_.push_back(backend);
        scenario_.engine_speeds_.push_back(speed);
    }
}

void scenario_script::request_class()
{
    policy::class_entry entry;
    entry.name_ = text("name", "");
    entry.tier_ = tier(static_cast<std::uint8_t>(required_number("tier")));
    entry.first_token_target_ = from_ms(number("first_token_ms", 1800));
    entry.inter_token_target_ = from_ms(number("inter_token_ms", 34));
    entry.max_wait_ = from_ms(number("max_wait_ms", 1500));
    scenario_.catalogue_.classes_.push_back(entry);
}

void scenario_script::account()
{
    policy::account_entry entry;
    entry.name_ = text("name", "");
    entry.cap_tokens_per_s_ = number("cap", 1e9);
    entry.cap_concurrent_ =
        static_cast<std::uint32_t>(number("concurrent", 1e6));
    entry.weight_ = number("weight", 1);
    scenario_.catalogue_.accounts_.push_back(entry);
}

std::uint32_t scenario_script::draw_token_count(const char* p_field,
                                                double p_default)
{
    const double median = number(p_field, p_default);
    const double spread = number((std::string(p_field) + "_spread").c_str(), 0);
    std::normal_distribution<double> normal(0, 1);
    const double value = median * std::exp(spread * normal(random_));
    constexpr double max_tokens = 8000;
    return static_cast<std::uint32_t>(
        std::clamp(std::round(value), 1.0, max_tokens));
}

planned_request scenario_script::draw_request()
{
    const auto& catalogue = scenario_.catalogue_;
    planned_request request;
    request.class_ = index_of(catalogue.classes_, "class", text("class", ""));
    request.account_ =
        index_of(catalogue.accounts_, "account", text("account", ""));
    request.pool_ = index_of(catalogue.pools_, "pool",
                             text("pool", catalogue.pools_[0].name_));
    request.prompt_tokens_ = draw_token_count("prompt", 100);
    request.output_tokens_ = draw_token_count("output", 64);
    std::uniform_real_distribution<double> unit_interval(0, 1);
    if (unit_interval(random_) < number("straggler_share", 0))
    {
        request.output_tokens_ = static_cast<std::uint32_t>(
            request.output_tokens_ * number("straggler_factor", 10));
    }
    const auto prefixes = static_cast<std::uint64_t>(number("prefixes", 0));
    request.prefix_hash_ = prefixes == 0 ? 0 : 1 + random_() % prefixes;
    request.resends_left_ = static_cast<std::uint32_t>(number("resends", 0));
    request.idempotent_ = flag("idempotent", true);
    request.poison_ = flag("poison", false);
    request.content_id_ = next_content_id_++;
    std::uniform_int_distribution<std::uint32_t> any_node(0,
                                                          scenario_.nodes_ - 1);
    request.node_ =
        static_cast<std::uint32_t>(number("node", any_node(random_)));
    return request;
}

void scenario_script::load()
{
    const double from = number("from", 0);
    const double to = number("to", to_seconds(scenario_.load_time_));
    std::uniform_real_distribution<double> offset_in_slice(0, arrival_slice_s);
    for (double start = from; start < to; start += arrival_slice_s)
    {
        const double mean = arrival_rate(start) * arrival_slice_s;
        if (mean <= 0)
        {
            continue;
        }
        std::poisson_distribution<int> arrivals(mean);
        for (int i = arrivals(random_); i > 0; --i)
        {
            planned_request request = draw_request();
            request.arrival_time_ =
                time_from_seconds(start + offset_in_slice(random_));
            scenario_.requests_.push_back(request);
        }
    }
}

void scenario_script::request()
{
    planned_request request = draw_request();
    request.arrival_time_ = time_from_seconds(required_number("at"));
    scenario_.requests_.push_back(request);
}

void scenario_script::fault()
{
    static const std::map<std::string, planned_fault::kind> kinds{
        {"slow", planned_fault::kind::slow},
        {"crash", planned_fault::kind::crash},
        {"kill", planned_fault::kind::kill},
        {"cut", planned_fault::kind::cut},
        {"heal", planned_fault::kind::heal},
        {"leave", planned_fault::kind::leave},
        {"split", planned_fault::kind::split}};
    const auto found = kinds.find(text("kind", ""));
    if (found == kinds.end())
    {
        throw_error("kind is not a known fault");
    }
    planned_fault fault;
    fault.kind_ = found->second;
    fault.time_ = time_from_seconds(required_number("at"));
    fault.target_ = static_cast<std::uint32_t>(required_number("target"));
    fault.factor_ = number("factor", 1);
    scenario_.faults_.push_back(fault);
}

void scenario_script::expect()
{
    expectation expected;
    expected.measure_ = text("measure", "");
    expected.reference_scenario_ = text("against", "");
    const double at_least = number("at_least", std::nan(""));
    const double at_most = number("at_most", std::nan(""));
    if (!std::isnan(at_least))
    {
        expected.at_least_ = at_least;
    }
    if (!std::isnan(at_most))
    {
        expected.at_most_ = at_most;
    }
    scenario_.expectations_.push_back(expected);
}

} // namespace peridotspar::bench
