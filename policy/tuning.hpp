#pragma once

#include "core/clock.hpp"

namespace peridotspar::policy
{

using namespace std::chrono_literals;

/// Parameters of the decision logic. Shares, fractions and ratios have no unit.
struct tuning
{
    /// Share of the slots and of the dispatches that is reserved for lower-tier
    /// requests that are due.
    double minimum_share_ = 0.04;
    /// A waiting request is due after this fraction of its wait limit.
    double due_wait_fraction_ = 0.4;
    /// Slots reserved for short work cover the usual number of short requests
    /// plus this many standard deviations.
    double short_reserve_stddevs_ = 4;
    /// Upper limit of that reserve, as a fraction of a backend server's slots.
    double max_short_reserve_fraction_ = 0.5;
    /// A request is long if its expected output is at least this many times the
    /// usual output of the class with the shortest output.
    double long_output_ratio_ = 4;
    /// Short work, or a tier, counts as active for this long after its last
    /// arrival.
    duration activity_window_ = 30s;
    /// Backend servers of a pool that one node uses.
    std::size_t subset_size_ = 16;
    /// Quantile of its class's output that a request is charged when it starts.
    double charge_quantile_ = 0.8;
    /// Unused cap that an account may accumulate, as time at its rate.
    duration cap_burst_ = 300ms;
    /// Fraction of its part of a divided cap at which a node gains credit.
    /// Requests are charged as a whole, so nodes that start theirs at the same
    /// time would together exceed the cap for some seconds.
    double cap_refill_fraction_ = 0.96;
    /// Accounts may run beyond their caps after no request within its cap has
    /// waited for this long.
    duration lending_idle_time_ = 1s;
    /// Interval between claims to the home nodes.
    duration cap_claim_interval_ = 200ms;
    /// A grant of a home node expires after this time.
    duration cap_grant_lifetime_ = 1s;
    /// Interval between digests to the peers.
    duration digest_interval_ = 400ms;
    /// A peer's digest is ignored after this time.
    duration digest_lifetime_ = 2s;
    /// A peer's running work is ignored after this time. It is shorter than
    /// `digest_lifetime_`, as stale entries would keep slots blocked.
    duration backend_use_lifetime_ = 1s;
    /// Retries allowed per successful request.
    double retry_ratio_ = 0.1;
    /// Retries that may accumulate; a node starts with this many.
    double retry_reserve_ = 20;
    /// A request is refused after this many failed attempts.
    std::uint32_t max_attempts_ = 4;
    /// A backend server is slow if its time between tokens exceeds this many
    /// times the median of its pool.
    double slow_ratio_ = 2.5;
    /// Upper limit of the fraction of a pool's backend servers on probation.
    double max_slow_fraction_ = 0.4;
    /// Time before the first probe of a backend server on probation.
    duration probe_interval_ = 2s;
    /// Time before a backend server whose connection failed is used again.
    duration down_retry_delay_ = 1s;
    /// A first token is overdue after this many times the pool's median, scaled
    /// by the length of the prompt.
    double overdue_ratio_ = 4;
    /// A first token is never overdue before the pool's median plus this
    /// margin.
    duration min_overdue_margin_ = 60ms;
    /// A fingerprint stays suspect or quarantined for this long after a crash.
    duration crash_record_lifetime_ = 10min;
    /// Added to the load score of a backend server in another failure domain.
    double remote_domain_penalty_ = 0.05;
    /// Subtracted from the load score of the backend server that is preferred
    /// for the prompt prefix of the request.
    double prefix_affinity_bonus_ = 0.25;
};

} // namespace peridotspar::policy
