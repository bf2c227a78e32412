#pragma once

#include "core/clock.hpp"
#include "core/ids.hpp"
#include "dispatch/server_load.hpp"

#include <map>

namespace peridotspar::dispatch
{

/// What peers run at one server, as of their last words. Not for several
/// threads.
class peer_loads
{
public:
    /// Replaces what the peer said before.
    void set(const node_id& p_peer, const server_load& p_load,
             time_point p_now);
    /// Adds a stream that the peer sent since.
    void add(const node_id& p_peer, duration p_pause, std::uint64_t p_tokens,
             duration p_prefill_time, time_point p_now);
    void erase(const node_id& p_peer);
    /// Forgets peers whose last word is from before.
    void erase_older_than(time_point p_oldest);

    /// The sum over all peers, as told.
    [[nodiscard]] const server_load& total() const { return total_; }
    /// What of the peers' unread prompts is still unread, if the server reads
    /// on all prompts alike, `p_own` of them this node's.
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
    /// Of the times of the words, weighted by the unread prompts they tell of.
    double weighted_report_time_s_ = 0;
};

} // namespace peridotspar::dispatch
