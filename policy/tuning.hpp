#pragma once

#include "core/clock.hpp"

namespace peridotspar::policy
{

using namespace std::chrono_literals;

/// The constants of the decision logic, with their units.
struct tuning
{
    /// Share of dispatches that due lower-tier requests may take.
    double minimum_share_ = 0.04;
    /// A waiting request is due after this share of its class's longest wait.
    double due_wait_fraction_ = 0.4;
    /// Slots are kept from long work for the short work that is usual, and
    /// this many of its standard deviations more.
    double short_reserve_stddevs_ = 4;
    /// At most this share of an engine's slots is kept so.
    double max_short_reserve_fraction_ = 0.5;
    /// Work is long when its class's usual output is this many times the
    /// shortest class's.
    double long_output_ratio_ = 4;
    /// How long short work counts as being about after its last arrival.
    duration activity_window_ = 30s;
    /// Backend servers of one pool that one node uses.
    std::size_t subset_size_ = 16;
    /// Quantile of its class's output that a request is charged at its start.
    double charge_quantile_ = 0.8;
    /// Unused cap that an account may save, as time at its rate.
    duration cap_burst_ = 300ms;
    /// Part of its share of a divided cap that a node earns: requests are
    /// charged whole, and nodes that start theirs at the same moments exceed a
    /// cap together for some seconds.
    double cap_refill_fraction_ = 0.96;
    /// Unused capacity is lent after nobody waited for this long.
    duration lending_idle_time_ = 1s;
    duration cap_claim_interval_ = 200ms;
    duration cap_grant_lifetime_ = 1s;
    duration digest_interval_ = 400ms;
    /// After this long without a digest, a peer's use counts as none.
    duration digest_lifetime_ = 2s;
    /// The same for its running work, which would else block slots for long.
    duration backend_use_lifetime_ = 1s;
    /// Retries allowed for each success.
    double retry_ratio_ = 0.1;
    /// Retries that may be saved up.
    double retry_reserve_ = 20;
    /// Attempts of one request.
    std::uint32_t max_attempts_ = 4;
    /// A backend server is slow at this many times its peers' median.
    double slow_ratio_ = 2.5;
    /// Share of a pool's backend servers that may be on probation.
    double max_slow_fraction_ = 0.4;
    duration probe_interval_ = 2s;
    /// Pause before a backend server that refused connections is tried again.
    duration down_retry_delay_ = 1s;
    /// A first token is overdue at this many times its peers' median.
    double overdue_ratio_ = 4;
    duration min_overdue_margin_ = 60ms;
    /// How long a crash is held against a fingerprint.
    duration crash_record_lifetime_ = 10min;
    /// Load score added for a backend server in another failure domain.
    double remote_domain_penalty_ = 0.05;
    /// Extra load that a shared prompt prefix is worth.
    double prefix_affinity_bonus_ = 0.25;
};

} // namespace peridotspar::policy
