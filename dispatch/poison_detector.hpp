#pragma once

#include "core/clock.hpp"

#include <cstdint>
#include <map>
#include <vector>

namespace peridotspar::dispatch
{

/// A request that was running when its server fell away.
struct crash_report
{
    std::uint64_t fingerprint_ = 0;
    unsigned crashes_ = 0; ///< That the sender of the note saw itself.
};

/// Finds requests that crash each server that runs them, from what this node
/// and its peers saw. One that ever ended well is acquitted.
class poison_detector
{
public:
    void note_crash(std::uint64_t p_fingerprint, time_point p_now);
    void note_good_end(std::uint64_t p_fingerprint);
    /// What a peer saw; its last word on a fingerprint counts.
    void note_peer_crashes(std::uint64_t p_peer, const crash_report& p_report,
                           time_point p_now);
    [[nodiscard]] bool is_poison(std::uint64_t p_fingerprint) const;
    /// What this node saw, for its peers.
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
