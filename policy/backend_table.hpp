#pragma once

#include "policy/events.hpp"
#include "policy/rate_meter.hpp"
#include "policy/tuning.hpp"

#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace peridotspar::policy
{

/// This node's view of each backend server: requests of this node and of its
/// peers that run there, measured latency, and whether it takes new requests.
///
/// Backend servers are addressed by their position in the catalogue. Not
/// thread-safe. "Long" requests are those that the caller marked as long when
/// they started.
class backend_table
{
public:
    /// `p_tuning` must outlive this object.
    explicit backend_table(const tuning& p_tuning) : tuning_(p_tuning) {}

    /// Takes over a new catalogue. State of backend servers that are still
    /// listed is kept by name, except for the requests of peers.
    void configure(const catalogue& p_catalogue);

    // Requests of this node.

    void record_start(backend_index p_backend, tier p_tier, bool p_long,
                      time_point p_now);
    void record_stop(backend_index p_backend, tier p_tier, bool p_long,
                     time_point p_now);
    /// This node's running requests at each backend server that has any, as
    /// sent in digests.
    [[nodiscard]] std::vector<backend_use> own_usage() const;

    // Reports of engines and peers.

    /// Stores an engine's load report unless a more recent one is known.
    void record_load_report(const load_reported& p_report);
    /// Replaces the sender's running and waiting requests, and marks the
    /// backend servers that it reports as slow for `tuning::digest_lifetime_`.
    void record_digest(const digest& p_digest, time_point p_now);
    /// Sets the number of other live nodes. Once there is a fresh digest for
    /// each of them, digests replace the engines' load reports, which are late.
    void set_live_peer_count(std::size_t p_count)
    {
        live_peer_count_ = p_count;
    }
    /// Finds a peer that runs a request of a lower tier than `p_requester_tier`
    /// at a backend server, and deducts that request from the peer's usage
    /// until the peer's next digest.
    [[nodiscard]] std::optional<node_id>
    claim_preemptible_peer(backend_index p_backend, tier p_requester_tier,
                           time_point p_now);
    /// Whether `claim_preemptible_peer` would find a peer.
    [[nodiscard]] bool has_preemptible_peer(backend_index p_backend,
                                            tier p_requester_tier,
                                            time_point p_now) const;
    /// Whether a peer has requests for the pool waiting, in the tiers from the
    /// highest to `p_lowest_tier`.
    [[nodiscard]] bool has_waiting_peer(pool_index p_pool, tier p_lowest_tier,
                                        time_point p_now) const;
    /// Each peer's demand for a pool: its requests that wait for the pool plus
    /// those that run on the backend servers of `p_subset`. Peers without a
    /// fresh digest are left out.
    [[nodiscard]] std::vector<std::pair<node_id, double>>
    peer_demands(pool_index p_pool, const std::vector<backend_index>& p_subset,
                 time_point p_now) const;
    /// Long requests of this node that run at a backend server.
    [[nodiscard]] unsigned own_long_count(backend_index p_backend) const;
    /// Number of peers' requests that wait for the pool, in the tiers from the
    /// highest to `p_lowest_tier`.
    [[nodiscard]] unsigned peer_waiting_count(pool_index p_pool,
                                              tier p_lowest_tier,
                                              time_point p_now) const;

    // Measurements of this node.

    /// Adds a time to first token, as measured for one attempt.
    void record_first_token(backend_index p_backend, duration p_time,
                            time_point p_now);
    /// Adds a time per output token.
    void record_token_gap(backend_index p_backend, double p_seconds,
                          time_point p_now);
    /// Adds a silence to the token gaps without counting it as output.
    void record_silence(backend_index p_backend, duration p_time);
    /// Records that a request left the backend server because of its silence.
    void record_left_silent(backend_index p_backend, time_point p_now);
    /// Whether a request left it so a short time ago and it has sent no output
    /// since. Without requests, nothing else shows that it is silent.
    [[nodiscard]] bool was_left_silent(backend_index p_backend,
                                       time_point p_now) const;
    /// Whether the backend server has sent output to this node after `p_since`.
    [[nodiscard]] bool had_output_since(backend_index p_backend,
                                        time_point p_since) const;
    /// Marks a backend server as unavailable for `tuning::down_retry_delay_`.
    void record_connection_refused(backend_index p_backend, time_point p_now);
    void set_accepts_new(backend_index p_backend, bool p_accepts);
    /// Compares token gaps within each pool of engines and puts the slow
    /// backend servers on probation.
    void detect_slow_backends(const catalogue& p_catalogue, time_point p_now);
    [[nodiscard]] std::vector<backend_index> slow_backends() const;

    // Queries.

    /// Number of requests of all nodes at a backend server. Uses the peers'
    /// digests if they are complete, otherwise the engine's last report.
    [[nodiscard]] double load(backend_index p_backend, time_point p_now) const;
    /// Number of long requests of all nodes at a backend server.
    [[nodiscard]] unsigned long_count(backend_index p_backend,
                                      time_point p_now) const;
    [[nodiscard]] std::uint32_t slots(backend_index p_backend) const;
    /// Whether a backend server takes new requests, regardless of its load. On
    /// probation, it takes one request whenever a probe is due.
    [[nodiscard]] bool is_available(backend_index p_backend,
                                    time_point p_now) const;
    /// Whether the VM list and the operator allow new requests.
    [[nodiscard]] bool accepts_new(backend_index p_backend) const;
    /// Whether the backend server is on probation.
    [[nodiscard]] bool is_slow(backend_index p_backend) const;
    /// Time since the next probe of a slow backend server became due; negative
    /// if it isn't due yet.
    [[nodiscard]] duration time_since_probe_due(backend_index p_backend,
                                                time_point p_now) const;
    /// Records that a probe was sent and schedules the next one.
    void record_probe(backend_index p_backend, time_point p_now);
    /// Ratio of the token gap to the pool's median; 1 if it is unknown. At
    /// least `tuning::slow_ratio_` while a peer reports the backend server as
    /// slow.
    [[nodiscard]] double slowdown(backend_index p_backend,
                                  time_point p_now) const;
    /// Median time to first token of the pool's backend servers in seconds, as
    /// of the last `detect_slow_backends`; 0 if it is unknown.
    [[nodiscard]] double median_first_token_s(pool_index p_pool) const;
    /// Median time per output token in seconds; otherwise the same.
    [[nodiscard]] double median_token_gap_s(pool_index p_pool) const;
    /// Number of requests of this node that run at a backend server.
    [[nodiscard]] unsigned own_count(backend_index p_backend) const;

private:
    /// Requests of one peer at a backend server.
    struct peer_usage
    {
        tier_counts running_{};
        std::uint16_t long_count_ = 0;
        time_point received_at_{};
    };
    struct backend_state
    {
        std::string name_;
        std::uint32_t slots_ = 1;
        bool accepts_new_ = true;
        time_point down_until_{};
        tier_counts own_by_tier_{};
        unsigned own_count_ = 0;
        std::uint16_t own_long_count_ = 0;
        /// Own request counts of the last seconds: load reports are late and
        /// include the requests that this node had running at that time.
        std::deque<std::pair<time_point, unsigned>> own_history_;
        std::map<node_id, peer_usage> peers_;
        load_reported report_;
        bool has_report_ = false;
        moving_average first_token_s_;
        moving_average token_gap_s_{0.25};
        time_point last_output_{};
        std::optional<time_point> left_silent_at_;
        double slowdown_ = 1;
        bool slow_ = false;
        /// A peer's digest listed the backend server as slow.
        time_point slow_at_peer_until_{};
        time_point next_probe_{};
        unsigned probe_count_ = 0; ///< Since it was put on probation.
    };
    /// Requests of one peer that wait, by pool.
    struct peer_queue
    {
        std::map<pool_index, tier_counts> waiting_;
        time_point received_at_{};
    };
    struct pool_medians
    {
        double first_token_s_ = 0;
        double token_gap_s_ = 0;
    };

    void detect_slow_in_pool(const catalogue& p_catalogue, pool_index p_pool,
                             const std::vector<backend_index>& p_members,
                             time_point p_now);
    void record_own_load(backend_state& r_state, time_point p_now);
    [[nodiscard]] bool is_digest_fresh(time_point p_received_at,
                                       time_point p_now) const;
    [[nodiscard]] bool is_usage_fresh(time_point p_received_at,
                                      time_point p_now) const;
    [[nodiscard]] double peer_load(const backend_state& p_state,
                                   time_point p_now) const;

    const tuning& tuning_;
    std::vector<backend_state> backends_;
    std::vector<pool_medians> pools_;
    std::map<node_id, peer_queue> peers_;
    std::size_t live_peer_count_ = 0;
};

} // namespace peridotspar::policy
