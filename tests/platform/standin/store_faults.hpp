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
enum class door_state : std::uint8_t
{
    open,
    refuses, ///< 503: nothing was done.
    limited, ///< 429.
    resets,  ///< Ends the connection without an answer.
    silent,  ///< Takes the call and says nothing.
};

/// How a call is treated: by the state of its door and the script of faults.
struct treatment
{
    door_state door_ = door_state::open;
    std::chrono::milliseconds pause_{0};
    bool loses_answer_ = false; ///< It takes effect, and isn't answered.
    std::chrono::milliseconds takes_effect_after_{0};
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
    [[nodiscard]] treatment next(int p_door, bool p_writes);
    /// Counts a call, for its kind and at its price.
    void count(const std::string& p_call, bool p_old_is_fine);
    /// Calls by kind, and their price in whole calls.
    [[nodiscard]] nlohmann::json counts() const;

private:
    mutable std::mutex mutex_;
    std::map<int, door_state> doors_;
    std::chrono::milliseconds slow_{0};
    std::chrono::milliseconds late_{0};
    int lose_answers_ = 0;
    int late_writes_ = 0;
    std::map<std::string, std::uint64_t> calls_;
    double price_ = 0;
};

} // namespace peridotspar::standin
