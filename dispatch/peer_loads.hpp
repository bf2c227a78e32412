#pragma once

#include "core/clock.hpp"
#include "core/ids.hpp"
#include "dispatch/server_load.hpp"

#include <map>

namespace peridotspar::dispatch
{

/// What peers run at one server, as of their latest reports. Not thread-safe.
class peer_loads
{
public:
    /// Replaces the peer's earlier report.
    void set(const node_id& p_peer, const server_load& p_load,
             time_point p_now);
    /// Adds a stream that the peer sent after its last full report. `p_tokens`
    /// is the engine memory that it is expected to need.
    void add(const node_id& p_peer, duration p_pause, std::uint64_t p_tokens,
             duration p_prefill_time, time_point p_now);
    void erase(const node_id& p_peer);
    /// Removes peers whose latest report is older than `p_oldest`.
    void erase_older_than(time_point p_oldest);

    /// The sum over all peers as reported, not advanced to the present.
    [[nodiscard]] const server_load& total() const { return total_; }
    /// Estimates the peers' prefill time that is still pending at `p_now`,
    /// assuming that the server makes equal progress on all pending prompts.
    /// `p_own` is this node's pending prefill time.
    [[nodiscard]] duration pending_prefill(duration p_own,
                                           time_point p_now) const;

private:
    struct peer_load
    {
        server_load load_;
        time_point reported_at_{};
    };
    void add_to_total(const peer_load& p_load);
    void subtract_from_total(const peer_load& p_load);

    std::map<node_id, peer_load> loads_;
    server_load total_;
    /// Sum of the report times in seconds, each weighted by the pending prefill
    /// seconds of its report.
    double weighted_report_time_s_ = 0;
};

} // namespace peridotspar::dispatch
