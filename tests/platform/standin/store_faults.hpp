#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

#include <nlohmann/json.hpp>

namespace peridotspar::standin
{

/// What the store does with the calls to one of its ports. Each node of a test
/// uses its own port. The fault script and the command line call a port a door.
enum class port_state : std::uint8_t
{
    open,
    refuses, ///< Answers 503 without effect.
    limited, ///< Answers 429 without effect.
    resets,  ///< Closes the connection without a response.
    silent,  ///< Accepts the call and sends no response.
};

/// The faults to apply to a call, from the state of its port and the script.
struct call_faults
{
    port_state port_state_ = port_state::open;
    std::chrono::milliseconds delay_{0}; ///< Before the call is processed.
    bool drops_response_ = false;        ///< Takes effect without a response.
    std::chrono::milliseconds effect_delay_{0}; ///< Before a write's effect.
};

/// Holds the fault script and counts the calls and their cost. Thread-safe.
class store_faults
{
public:
    /// Applies a script: {"doors": {"2": "silent"}, "slow_ms": 5,
    /// "lose_answers": 3, "late_ms": 800, "late_writes": 2}. Fields that it
    /// lacks keep their values. Returns an error that names the field, and
    /// changes nothing then, or an empty string.
    std::string set(const nlohmann::json& p_script);
    /// The faults for the next call at a port; 0 is the first port.
    [[nodiscard]] call_faults next(int p_port_index, bool p_writes);
    /// Counts a call by its type. A read that may be stale costs less than
    /// others.
    void count(const std::string& p_call, bool p_allow_stale);
    /// The number of calls by type, and their total cost as `price`. A call
    /// that isn't a stale read costs 1.
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
