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
    void note_started(backend_index p_backend, tier p_tier, bool p_long,
                      time_point p_now);
    void note_stopped(backend_index p_backend, tier p_tier, bool p_long,
                      time_point p_now);
    [[nodiscard]] std::vector<backend_use> uses() const;

    // What others say.
    void note_report(const load_reported& p_report);
    void note_digest(const digest& p_digest, time_point p_now);
    /// Whether digests cover every other live node, so that they replace the
    /// engines' late reports.
    void set_live_peers(std::size_t p_count) { live_peers_ = p_count; }
    /// A peer that has work below `p_above` at a backend server.
    [[nodiscard]] std::optional<node_id>
    peer_with_lower(backend_index p_backend, tier p_above, time_point p_now);
    [[nodiscard]] bool has_peer_with_lower(backend_index p_backend,
                                           tier p_above,
                                           time_point p_now) const;
    /// Whether any peer has work of `p_pool` waiting in a tier up to
    /// `p_lowest`.
    [[nodiscard]] bool peers_wait(pool_index p_pool, tier p_lowest,
                                  time_point p_now) const;
    /// Each peer's work in a pool, running or waiting, if it has any.
    [[nodiscard]] std::vector<std::pair<node_id, double>>
    peer_demands(pool_index p_pool, const std::vector<backend_index>& p_subset,
                 time_point p_now) const;
    /// Own long work at a backend server.
    [[nodiscard]] unsigned own_long(backend_index p_backend) const;
    /// Peers' work in the pool, running or waiting, up to a tier.
    [[nodiscard]] unsigned peers_demand(pool_index p_pool, tier p_lowest,
                                        time_point p_now) const;

    // Own observation.
    void note_first_token(backend_index p_backend, duration p_time,
                          time_point p_now);
    void note_token_gap(backend_index p_backend, double p_seconds,
                        time_point p_now);
    /// Counts a silence as a gap between tokens, without any output.
    void note_silence(backend_index p_backend, duration p_time);
    /// Whether anything came from the backend server since `p_since`.
    [[nodiscard]] bool was_heard(backend_index p_backend,
                                 time_point p_since) const;
    void note_refused_connection(backend_index p_backend, time_point p_now);
    void set_accepts_new(backend_index p_backend, bool p_accepts);
    /// Compares speeds within each pool and sets who is on probation.
    void judge_speeds(const catalogue& p_catalogue, time_point p_now);
    [[nodiscard]] std::vector<backend_index> slow_ones() const;

    // Questions.
    [[nodiscard]] double load(backend_index p_backend, time_point p_now) const;
    [[nodiscard]] unsigned long_work(backend_index p_backend,
                                     time_point p_now) const;
    [[nodiscard]] std::uint32_t slots(backend_index p_backend) const;
    /// Whether new work may go there, apart from its load. A backend server
    /// on probation takes one request at each probe.
    [[nodiscard]] bool takes_work(backend_index p_backend,
                                  time_point p_now) const;
    /// Whether its place in the lists lets it take new work.
    [[nodiscard]] bool accepts_new(backend_index p_backend) const;
    [[nodiscard]] bool is_slow(backend_index p_backend) const;
    /// Whether a probe is due, and by how much.
    [[nodiscard]] duration probe_overdue(backend_index p_backend,
                                         time_point p_now) const;
    void note_probe(backend_index p_backend, time_point p_now);
    /// Speed against its pool's median; 1 when it isn't known.
    [[nodiscard]] double slowness(backend_index p_backend,
                                  time_point p_now) const;
    /// Median first token of the pool in seconds, 0 when it isn't known.
    [[nodiscard]] double usual_first_token(pool_index p_pool) const;
    /// Median gap between tokens of the pool in seconds.
    [[nodiscard]] double usual_token_gap(pool_index p_pool) const;
    [[nodiscard]] unsigned own(backend_index p_backend) const;

private:
    struct peer_use
    {
        tier_counts running_{};
        std::uint16_t long_ = 0;
        time_point heard_{};
    };
    struct entry
    {
        std::string name_;
        std::uint32_t slots_ = 1;
        bool accepts_new_ = true;
        time_point down_until_{};
        tier_counts own_{};
        unsigned own_total_ = 0;
        std::uint16_t own_long_ = 0;
        /// Own work over the last seconds, to compare with late reports.
        std::deque<std::pair<time_point, unsigned>> own_history_;
        std::map<node_id, peer_use> peers_;
        load_reported report_;
        bool reported_ = false;
        moving_average first_token_s_;
        moving_average token_gap_s_{0.25};
        time_point last_output_{};
        double slowness_ = 1;
        bool slow_ = false;
        time_point slow_at_peer_until_{};
        time_point next_probe_{};
        unsigned probes_ = 0; ///< Since it was found slow.
    };
    struct peer_wait
    {
        std::map<pool_index, tier_counts> waiting_;
        time_point heard_{};
    };
    struct pool_speed
    {
        double first_token_s_ = 0;
        double token_gap_s_ = 0;
    };

    void judge_pool(const catalogue& p_catalogue, pool_index p_pool,
                    const std::vector<backend_index>& p_members,
                    time_point p_now);
    void record_own(entry& r_entry, time_point p_now);
    [[nodiscard]] bool is_fresh(time_point p_heard, time_point p_now) const;
    [[nodiscard]] bool is_use_fresh(time_point p_heard, time_point p_now) const;
    [[nodiscard]] double others(const entry& p_entry, time_point p_now) const;

    const tuning& tuning_;
    std::vector<entry> entries_;
    std::vector<pool_speed> pools_;
    std::map<node_id, peer_wait> peers_;
    std::size_t live_peers_ = 0;
};

} // namespace peridotspar::policy
