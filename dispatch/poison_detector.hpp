#pragma once

#include "core/clock.hpp"

#include <cstdint>
#include <map>
#include <vector>

namespace peridotspar::dispatch
{

/// The number of times that a request was running when its server failed.
struct crash_report
{
    std::uint64_t fingerprint_ = 0;
    unsigned crashes_ = 0; ///< Seen by the reporting node itself.
};

/// Finds requests that crash every server that runs them, from crashes seen by
/// this node and reported by its peers. A request that completes successfully
/// is removed. Requests are identified by a fingerprint. Not thread-safe.
class poison_detector
{
public:
    void record_crash(std::uint64_t p_fingerprint, time_point p_now);
    void record_success(std::uint64_t p_fingerprint);
    /// Takes the crashes that a peer saw. The peer's latest report on a
    /// fingerprint replaces the earlier ones.
    void record_peer_crashes(std::uint64_t p_peer, const crash_report& p_report,
                             time_point p_now);
    /// Whether the request crashed too many servers and must not be sent again.
    [[nodiscard]] bool is_poisonous(std::uint64_t p_fingerprint) const;
    /// The crashes seen by this node, to be reported to its peers.
    [[nodiscard]] std::vector<crash_report> own_crashes() const;
    void expire_entries(time_point p_now);

private:
    struct entry
    {
        unsigned own_crashes_ = 0;
        std::map<std::uint64_t, unsigned> crashes_by_peer_;
        time_point last_crash_at_{};
    };
    std::map<std::uint64_t, entry> entries_;
};

} // namespace peridotspar::dispatch
