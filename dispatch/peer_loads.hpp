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
    void set(const node_id& p_peer, const running_count& p_count,
             time_point p_now);
    /// Adds a stream that the peer sent since.
    void add(const node_id& p_peer, duration p_pause, std::uint64_t p_tokens,
             duration p_reading, time_point p_now);
    void erase(const node_id& p_peer);
    /// Forgets peers whose last word is from before.
    void forget_before(time_point p_oldest);

    /// The sum over all peers, as told.
    [[nodiscard]] const running_count& total() const { return total_; }
    /// What of the peers' unread prompts is still unread, if the server reads
    /// on all prompts alike, `p_own` of them this node's.
    [[nodiscard]] duration unread(duration p_own, time_point p_now) const;

private:
    struct load
    {
        running_count count_;
        time_point heard_{};
    };
    void take_in(const load& p_load);
    void take_out(const load& p_load);

    std::map<node_id, load> peers_;
    running_count total_;
    /// Of the times of the words, weighted by the unread prompts they tell of.
    double weighted_heard_s_ = 0;
};

} // namespace peridotspar::dispatch
