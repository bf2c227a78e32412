#pragma once

#include "core/clock.hpp"
#include "policy/events.hpp"

#include <unordered_map>
#include <vector>

namespace peridotspar::policy
{

/// Identifies requests that crash the backend servers that run them.
///
/// Every request that was running on a backend server when it crashed is a
/// suspect of that crash. A suspect of two crashes is quarantined, and its
/// crashes are attributed to it: the other suspects of the same crashes are
/// cleared. A suspect that completes is cleared as well. Requests are
/// identified by fingerprint. Not thread-safe.
class crash_tracker
{
public:
    /// A suspect or a quarantine expires `p_retention` after its last crash.
    explicit crash_tracker(duration p_retention) : retention_(p_retention) {}

    /// Records a crash and all requests that were running on the backend
    /// server. Each broken connection reports the crash; the repeated calls
    /// have no effect.
    void record_crash(backend_index p_backend,
                      const std::vector<fingerprint>& p_running,
                      time_point p_now);
    /// Clears a suspect that completed. A quarantine stays.
    void record_completion(fingerprint p_fingerprint, time_point p_now);
    /// Adds a peer's records. Peers send the same records repeatedly.
    void merge(const std::vector<crash_record>& p_records, time_point p_now);

    [[nodiscard]] bool is_quarantined(fingerprint p_fingerprint) const;
    [[nodiscard]] bool is_suspect(fingerprint p_fingerprint) const;
    /// All suspects and quarantined requests with their crashes, for peers.
    [[nodiscard]] std::vector<crash_record> records() const;
    /// Drops entries that are older than the retention time.
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
    /// Adds a crash to a suspect and quarantines it at the second one. Has no
    /// effect if the crash is attributed or the request was cleared.
    void add_suspect(fingerprint p_fingerprint, const crash& p_crash);
    void quarantine(fingerprint p_fingerprint, time_point p_now);

    duration retention_;
    std::unordered_map<fingerprint, suspect> suspects_;
    std::vector<crash> attributed_; ///< Crashes caused by quarantined requests.
    /// When a suspect completed. Peers' records of it are ignored for a while,
    /// as they may be older.
    std::unordered_map<fingerprint, time_point> cleared_;
};

} // namespace peridotspar::policy
