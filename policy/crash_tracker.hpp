#pragma once

#include "core/clock.hpp"
#include "policy/events.hpp"

#include <unordered_map>
#include <vector>

namespace peridotspar::policy
{

/// Finds the request that crashes each backend server that runs it.
///
/// Every request that ran on a backend server when it crashed is a suspect of
/// that crash. A suspect of two crashes is quarantined. Its quarantine
/// explains its crashes: the other suspects of them are cleared, as is a
/// suspect that completes.
class crash_tracker
{
public:
    explicit crash_tracker(duration p_retention) : retention_(p_retention) {}

    /// Notes a crash with all that ran on the backend server. Further calls
    /// for the same crash, which several connections report, change nothing.
    void record_crash(backend_index p_backend,
                      const std::vector<fingerprint>& p_running,
                      time_point p_now);
    /// Clears a request that completed.
    void record_completion(fingerprint p_fingerprint, time_point p_now);
    /// Takes what a peer found.
    void merge(const std::vector<crash_record>& p_records, time_point p_now);

    [[nodiscard]] bool is_quarantined(fingerprint p_fingerprint) const;
    [[nodiscard]] bool is_suspect(fingerprint p_fingerprint) const;
    /// What peers need to know.
    [[nodiscard]] std::vector<crash_record> records() const;
    /// Drops what is older than the memory.
    void expire(time_point p_now);

private:
    struct crash
    {
        backend_index backend_;
        time_point time_;
    };
    struct suspect
    {
        std::vector<crash> crashes_;
        bool quarantined_ = false;
        time_point updated_at_;
    };

    static bool is_same_crash(const crash& p_left, const crash& p_right);
    [[nodiscard]] bool is_attributed(const crash& p_crash) const;
    void add_suspect(fingerprint p_fingerprint, const crash& p_crash);
    void quarantine(fingerprint p_fingerprint, time_point p_now);

    duration retention_;
    std::unordered_map<fingerprint, suspect> suspects_;
    std::vector<crash> attributed_; ///< Crashes that a quarantine explains.
    /// When a suspect completed; a peer's older word of it is void.
    std::unordered_map<fingerprint, time_point> cleared_;
};

} // namespace peridotspar::policy
