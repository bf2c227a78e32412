#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

#include <nlohmann/json.hpp>

namespace peridotspar::standin
{

/// What a door of the store does to the calls that come through it. Each node
/// of a test has a door of its own.
enum class port_state : std::uint8_t
{
    open,
    refuses, ///< 503: nothing was done.
    limited, ///< 429.
    resets,  ///< Ends the connection without an answer.
    silent,  ///< Takes the call and says nothing.
};

/// How a call is treated: by the state of its door and the script of faults.
struct call_faults
{
    port_state port_state_ = port_state::open;
    std::chrono::milliseconds delay_{0};
    bool drops_response_ = false; ///< It takes effect, and isn't answered.
    std::chrono::milliseconds effect_delay_{0};
};

/// The script of faults, and what calls cost. Every member may be called from
/// any thread.
class store_faults
{
public:
    /// Takes a script: {"doors": {"2": "silent"}, "slow_ms": 5,
    /// "lose_answers": 3, "late_ms": 800, "late_writes": 2}. Returns an error
    /// that names the field, or nothing.
    std::string set(const nlohmann::json& p_script);
    /// The next call's fate.
    [[nodiscard]] call_faults next(int p_port_index, bool p_writes);
    /// Counts a call, for its kind and at its price.
    void count(const std::string& p_call, bool p_allow_stale);
    /// Calls by kind, and their price in whole calls.
    [[nodiscard]] nlohmann::json counts() const;

private:
    mutable std::mutex mutex_;
    std::map<int, port_state> port_states_;
    std::chrono::milliseconds delay_{0};
    std::chrono::milliseconds effect_delay_{0};
    int responses_to_drop_ = 0;
    int writes_to_delay_ = 0;
    std::map<std::string, std::uint64_t> calls_;
    double cost_ = 0;
};

} // namespace peridotspar::standin
