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

/// What this node knows of each backend server: its own work there, other
/// nodes' work there, its speed, and whether new work may go to it.
class backend_table
{
public:
    explicit backend_table(const tuning& p_tuning) : tuning_(p_tuning) {}

    void configure(const catalogue& p_catalogue);

    // Own work.
    void record_start(backend_index p_backend, tier p_tier, bool p_long,
                      time_point p_now);
    void record_stop(backend_index p_backend, tier p_tier, bool p_long,
                     time_point p_now);
    [[nodiscard]] std::vector<backend_use> own_usage() const;

    // What others say.
    void record_load_report(const load_reported& p_report);
    void record_digest(const digest& p_digest, time_point p_now);
    /// Whether digests cover every other live node, so that they replace the
    /// engines' late reports.
    void set_live_peer_count(std::size_t p_count)
    {
        live_peer_count_ = p_count;
    }
    /// A peer that has work below `p_above` at a backend server.
    [[nodiscard]] std::optional<node_id>
    claim_preemptible_peer(backend_index p_backend, tier p_above,
                           time_point p_now);
    [[nodiscard]] bool has_preemptible_peer(backend_index p_backend,
                                            tier p_above,
                                            time_point p_now) const;
    /// Whether any peer has work of `p_pool` waiting in a tier up to
    /// `p_lowest_tier`.
    [[nodiscard]] bool has_waiting_peer(pool_index p_pool, tier p_lowest_tier,
                                        time_point p_now) const;
    /// Each peer's work in a pool, running or waiting, if it has any.
    [[nodiscard]] std::vector<std::pair<node_id, double>>
    peer_demands(pool_index p_pool, const std::vector<backend_index>& p_subset,
                 time_point p_now) const;
    /// Own long work at a backend server.
    [[nodiscard]] unsigned own_long_count(backend_index p_backend) const;
    /// Peers' work in the pool, running or waiting, up to a tier.
    [[nodiscard]] unsigned peer_waiting_count(pool_index p_pool,
                                              tier p_lowest_tier,
                                              time_point p_now) const;

    // Own observation.
    void record_first_token(backend_index p_backend, duration p_time,
                            time_point p_now);
    void record_token_gap(backend_index p_backend, double p_seconds,
                          time_point p_now);
    /// Counts a silence as a gap between tokens, without any output.
    void record_silence(backend_index p_backend, duration p_time);
    /// Whether anything came from the backend server since `p_since`.
    [[nodiscard]] bool had_output_since(backend_index p_backend,
                                        time_point p_since) const;
    void record_connection_refused(backend_index p_backend, time_point p_now);
    void set_accepts_new(backend_index p_backend, bool p_accepts);
    /// Compares speeds within each pool and sets who is on probation.
    void detect_slow_backends(const catalogue& p_catalogue, time_point p_now);
    [[nodiscard]] std::vector<backend_index> slow_backends() const;

    // Questions.
    [[nodiscard]] double load(backend_index p_backend, time_point p_now) const;
    [[nodiscard]] unsigned long_count(backend_index p_backend,
                                      time_point p_now) const;
    [[nodiscard]] std::uint32_t slots(backend_index p_backend) const;
    /// Whether new work may go there, apart from its load. A backend server
    /// on probation takes one request at each probe.
    [[nodiscard]] bool is_available(backend_index p_backend,
                                    time_point p_now) const;
    /// Whether its place in the lists lets it take new work.
    [[nodiscard]] bool accepts_new(backend_index p_backend) const;
    [[nodiscard]] bool is_slow(backend_index p_backend) const;
    /// Whether a probe is due, and by how much.
    [[nodiscard]] duration time_since_probe_due(backend_index p_backend,
                                                time_point p_now) const;
    void record_probe(backend_index p_backend, time_point p_now);
    /// Speed against its pool's median; 1 when it isn't known.
    [[nodiscard]] double slowdown(backend_index p_backend,
                                  time_point p_now) const;
    /// Median first token of the pool in seconds, 0 when it isn't known.
    [[nodiscard]] double median_first_token_s(pool_index p_pool) const;
    /// Median gap between tokens of the pool in seconds.
    [[nodiscard]] double median_token_gap_s(pool_index p_pool) const;
    [[nodiscard]] unsigned own_count(backend_index p_backend) const;

private:
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
        /// Own work over the last seconds, to compare with late reports.
        std::deque<std::pair<time_point, unsigned>> own_history_;
        std::map<node_id, peer_usage> peers_;
        load_reported report_;
        bool has_report_ = false;
        moving_average first_token_s_;
        moving_average token_gap_s_{0.25};
        time_point last_output_{};
        double slowdown_ = 1;
        bool slow_ = false;
        time_point slow_at_peer_until_{};
        time_point next_probe_{};
        unsigned probe_count_ = 0; ///< Since it was found slow.
    };
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
