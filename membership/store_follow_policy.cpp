#include "membership/store_follow_policy.hpp"

#include <algorithm>

#include <xxhash.h>

namespace peridotspar
{

namespace
{

using namespace std::chrono_literals;

/// Number of nodes that follow the store for all.
constexpr std::size_t follower_count = 5;
/// After its start, a node waits for a peer before it turns to the store
/// itself.
struct peer_wait
{
    duration shortest_;
    duration spread_; ///< Up to this much longer.
};
constexpr peer_wait wait_at_first_start{500ms, 1s};
/// Callers wait meanwhile.
constexpr peer_wait wait_at_restart{100ms, 400ms};
/// Upper bound of a restarted node's first wait if it has peers, but none is in
/// contact: probably all nodes were gone.
constexpr duration max_wait_after_loss_of_all = 1s;
/// For this time after its start a node knows only some of its peers. Until
/// then its wait has at least this upper bound, if some node is in contact.
constexpr duration start_phase = 2s;
/// Upper bound of a node's wait, for each node of the fleet. All nodes together
/// thus attempt to follow the store 40 times a second, and half as often while
/// none is in contact with it, as it is probably down.
constexpr duration max_wait_per_node = 50ms;
constexpr duration max_wait_per_node_in_outage = 100ms;
/// Shortest upper bound of a node's wait, which doubles with each failed
/// attempt, up to `max_doublings` times.
constexpr duration min_wait_bound = 600ms;
constexpr unsigned max_doublings = 2;
/// A follower that was in contact tolerates fewer failed calls in a row than
/// this, as single responses of the store may be lost.
constexpr unsigned tolerated_failures = 3;

std::uint64_t rank_of(const std::string& p_address)
{
    return XXH64(p_address.data(), p_address.size(), 0);
}

bool follows_in_contact(const peer_state& p_peer)
{
    return p_peer.in_contact_ && !p_peer.leaving_;
}

} // namespace

store_follow_policy::store_follow_policy(std::string p_own_address,
                                         bool p_first_start,
                                         std::uint64_t p_seed)
    : own_address_(std::move(p_own_address)),
      first_start_(p_first_start),
      random_(p_seed)
{
}

bool store_follow_policy::should_follow(const std::vector<peer_state>& p_live,
                                        std::size_t p_nodes,
                                        const store_contact& p_own,
                                        time_point p_now)
{
    started_at_ = started_at_.value_or(p_now);
    if (following_)
    {
        was_in_contact_ = was_in_contact_ || p_own.in_contact_;
        failed_attempts_ = p_own.in_contact_ ? 0 : failed_attempts_;
        if (should_stop(p_live, p_own))
        {
            following_ = false;
            failed_attempts_ += p_own.in_contact_ ? 0 : 1;
        }
        return following_;
    }
    const auto in_contact = static_cast<std::size_t>(
        std::count_if(p_live.begin(), p_live.end(), follows_in_contact));
    if (in_contact >= follower_count)
    {
        next_attempt_at_.reset();
        return false;
    }
    const bool has_peers = !p_live.empty();
    if (!next_attempt_at_ || (waits_for_peers_ && has_peers))
    {
        const bool is_outage = in_contact == 0;
        const bool is_starting =
            !is_outage && p_now < *started_at_ + start_phase;
        next_attempt_at_ =
            p_now + draw_wait(has_peers, p_nodes, is_outage, is_starting);
        waits_for_peers_ = !has_peers;
    }
    if (p_now < *next_attempt_at_)
    {
        return false;
    }
    next_attempt_at_.reset();
    following_ = true;
    attempted_ = true;
    was_in_contact_ = false;
    return true;
}

bool store_follow_policy::should_stop(const std::vector<peer_state>& p_live,
                                      const store_contact& p_own) const
{
    const auto others =
        p_own.in_contact_
            ? followers_before(p_live)
            : static_cast<std::size_t>(std::count_if(
                  p_live.begin(), p_live.end(), follows_in_contact));
    if (others >= follower_count)
    {
        return true;
    }
    const unsigned max_failures = was_in_contact_ ? tolerated_failures : 1;
    return p_own.consecutive_failures_ >= max_failures;
}

std::size_t store_follow_policy::followers_before(
    const std::vector<peer_state>& p_live) const
{
    const std::uint64_t own_rank = rank_of(own_address_);
    return static_cast<std::size_t>(
        std::count_if(p_live.begin(), p_live.end(),
                      [own_rank](const peer_state& p_peer)
                      {
                          return follows_in_contact(p_peer) &&
                                 rank_of(p_peer.peer_address_) < own_rank;
                      }));
}

duration store_follow_policy::draw_wait(bool p_has_peers, std::size_t p_nodes,
                                        bool p_is_outage, bool p_is_starting)
{
    std::uniform_real_distribution<double> share(0, 1);
    if (!p_has_peers && !attempted_)
    {
        const peer_wait& wait =
            first_start_ ? wait_at_first_start : wait_at_restart;
        return is_contact_point_
                   ? duration{}
                   : wait.shortest_ + from_seconds(share(random_) *
                                                   to_seconds(wait.spread_));
    }
    if (!attempted_ && !first_start_ && p_is_outage)
    {
        return from_seconds(share(random_) *
                            to_seconds(max_wait_after_loss_of_all));
    }
    const duration own_bound =
        p_is_starting ? start_phase
                      : min_wait_bound *
                            (1U << std::min(failed_attempts_, max_doublings));
    const duration fleet_bound =
        (p_is_outage ? max_wait_per_node_in_outage : max_wait_per_node) *
        static_cast<duration::rep>(p_nodes);
    return from_seconds(share(random_) *
                        to_seconds(std::max(own_bound, fleet_bound)));
}

} // namespace peridotspar
