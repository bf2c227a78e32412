#pragma once

#include "policy/account_queue.hpp"
#include "policy/backend_table.hpp"
#include "policy/cap_allocator.hpp"
#include "policy/cap_limiter.hpp"
#include "policy/crash_tracker.hpp"
#include "policy/events.hpp"
#include "policy/output_predictor.hpp"
#include "policy/retry_budget.hpp"
#include "policy/slot_shares.hpp"
#include "policy/tuning.hpp"
#include "policy/wait_estimator.hpp"

#include <array>
#include <random>
#include <unordered_map>
#include <vector>

namespace peridotspar::policy
{

/// All decisions of one node: admission, order, caps, placement, preemption,
/// retries and quarantine. It does no I/O, starts no thread and reads no
/// clock; the same events at the same times give the same actions.
class decider
{
public:
    decider(node_id p_self, failure_domain_id p_domain, std::uint64_t p_seed,
            tuning p_tuning = {});

    /// Takes one event and appends what is to be done about it.
    void handle(const event& p_event, time_point p_now,
                std::vector<action>& r_actions);

    /// Requests that this node has accepted and not yet answered.
    [[nodiscard]] std::size_t open_requests() const { return requests_.size(); }

private:
    struct live_request
    {
        request spec_;
        tier tier_;
        duration wait_limit_{};
        time_point arrived_{};
        time_point queued_{};
        double predicted_ = 0;       ///< Output in tokens.
        double reserved_tokens_ = 0; ///< Charged when it starts.
        double charged_ = 0;         ///< Tokens charged to its account.
        std::uint32_t received_ = 0; ///< Output tokens so far.
        std::uint32_t failures_ = 0; ///< Attempts that failed or stalled.
        std::optional<attempt_id> attempt_;
        std::optional<backend_index> avoid_; ///< Where it failed last.
        double slot_seconds_ = 0;
        double queued_s_ = 0; ///< Service counted for it in its queue.
        bool long_ = false;
        bool started_ = false;  ///< Was dispatched once; never shed after.
        bool sent_ = false;     ///< Bytes may have reached a backend server.
        bool borrowed_ = false; ///< Runs on capacity beyond its cap.
        bool reserved_ = false; ///< Runs on the minimum share.
    };
    struct live_attempt
    {
        request_id request_;
        backend_index backend_;
        time_point started_{};
        time_point last_output_{};
        std::uint32_t tokens_ = 0;
        bool answered_ = false;
    };
    /// Lanes of a tier: short work and long work wait apart.
    struct tier_lanes
    {
        std::array<account_queue, lane_count> lanes_;
        std::array<double, lane_count> served_{};
        std::array<double, lane_count> waiting_s_{}; ///< Service to give.
        [[nodiscard]] std::size_t size() const
        {
            return lanes_[0].size() + lanes_[1].size();
        }
    };
    struct pool_state
    {
        std::vector<backend_index> subset_;
        std::array<tier_lanes, tier_count> tiers_;
        wait_estimator waits_;
        moving_average prompt_tokens_{0.05};
        double minimum_credit_ = 0;
        time_point last_waiting_{}; ///< Somebody waited, here or at a peer.
        unsigned reserved_running_ = 0;
        double slots_ = 0; ///< That this node may count on.
        std::vector<slot_shares::share> shares_; ///< By place in the subset.
        std::size_t contenders_ = 1; ///< Nodes with work in this pool.
        /// Own work as peers know it; the division must use the same for all.
        double published_demand_ = 0;
        tier top_tier_{tier_count - 1}; ///< Highest one in use lately.
        std::array<time_point, tier_count> tier_seen_{};
        std::optional<time_point> short_seen_;
        /// Short requests that run at a time, over all nodes.
        moving_average short_running_{0.03};
        unsigned short_reserve_ = 0; ///< Slots of each backend server.
    };
    struct choice
    {
        live_request* request_ = nullptr;
        backend_index backend_;
        bool borrowed_ = false;
        bool reserved_ = false;
    };

    // Events.
    void on(const catalogue_changed& p_event);
    void on(const request_arrived& p_event);
    void on(const output_received& p_event);
    void on(const attempt_ended& p_event);
    void on(const caller_gone& p_event);
    void on(const load_reported& p_event);
    void on(const backend_admission_changed& p_event);
    void on(const nodes_changed& p_event);
    void on(const digest_received& p_event);
    void on(const caps_claimed& p_event);
    void on(const caps_granted& p_event);
    void on(const yield_asked& p_event);
    void on(const clock_ticked& p_event);

    // Admission.
    [[nodiscard]] live_request describe(const request& p_request) const;
    [[nodiscard]] std::optional<refuse> find_refusal(live_request& p_request);
    [[nodiscard]] std::optional<refuse>
    find_cap_refusal(const live_request& p_request);
    /// `p_own_s`: its own service, if it doesn't wait yet.
    [[nodiscard]] duration expected_wait(const live_request& p_request,
                                         double p_own_s) const;
    [[nodiscard]] double minimum_slots(const pool_state& p_pool) const;
    [[nodiscard]] duration
    expected_service(const live_request& p_request) const;
    [[nodiscard]] bool has_preemptible(const live_request& p_request) const;
    [[nodiscard]] duration with_jitter(duration p_wait);
    void shed_excess(pool_index p_pool);
    void shed_tier(pool_index p_pool, std::size_t p_tier);
    /// Sheds what waited longer than its class allows.
    void shed_late();

    // Order.
    void schedule(pool_index p_pool);
    [[nodiscard]] std::optional<choice> choose_next(pool_index p_pool);
    [[nodiscard]] std::optional<choice> choose_due(pool_index p_pool);
    [[nodiscard]] std::optional<choice>
    choose_in_tier(pool_index p_pool, std::size_t p_tier, bool& r_blocked);
    [[nodiscard]] std::optional<choice> choose_borrower(pool_index p_pool);
    void start(const choice& p_choice);
    void enqueue(live_request& r_request, bool p_front);
    void dequeue(live_request& r_request);
    [[nodiscard]] account_queue& lane_of(const live_request& p_request);

    // Placement.
    [[nodiscard]] std::optional<backend_index>
    place(const live_request& p_request) const;
    [[nodiscard]] bool has_room(const live_request& p_request,
                                std::size_t p_position) const;
    [[nodiscard]] bool is_suspect_beside(const live_request& p_request,
                                         backend_index p_backend) const;
    [[nodiscard]] bool has_kept_slot(const pool_state& p_pool,
                                     std::size_t p_position) const;
    [[nodiscard]] double score(backend_index p_backend) const;
    [[nodiscard]] unsigned long_limit(const pool_state& p_pool,
                                      backend_index p_backend) const;
    /// A place for a request whose turn it is, made free if need be.
    [[nodiscard]] std::optional<backend_index>
    find_place(const live_request& p_request);
    /// Whether other nodes may be taking the slot that looks free.
    [[nodiscard]] bool is_risky(const live_request& p_request,
                                backend_index p_backend) const;
    [[nodiscard]] std::optional<backend_index>
    make_room(const live_request& p_request);
    /// Asks a peer to preempt lower-tier work, and counts on it.
    [[nodiscard]] std::optional<backend_index>
    ask_for_room(const live_request& p_request);
    [[nodiscard]] bool may_preempt(const live_request& p_victim,
                                   const live_request& p_request) const;

    // Attempts.
    void release(live_request& r_request);
    void preempt(live_request& r_request, abandon_reason p_reason);
    void retry_or_refuse(live_request& r_request, bool p_repeatable);
    void finish(live_request& r_request);
    void give_up(live_request& r_request, refusal p_reason,
                 duration p_retry_after);
    void check_overdue();
    [[nodiscard]] bool is_overdue(const live_attempt& p_attempt) const;
    /// Moves streams away from backend servers that turned out slow.
    void leave_slow();
    void settle_charge(live_request& r_request);

    // Periodic.
    void refresh_slots();
    void refresh_shares(pool_index p_pool);
    void refresh_reserve(pool_index p_pool);
    [[nodiscard]] double own_demand(pool_index p_pool) const;
    /// This node's running work, by pool.
    [[nodiscard]] std::vector<by_lane<unsigned>> running_by_pool() const;
    /// Takes capacity that was lent back when somebody waits for it.
    void reclaim_borrowed(pool_index p_pool);
    void publish();
    [[nodiscard]] double shares_to_hand_out() const;

    [[nodiscard]] pool_state& pool(pool_index p_pool)
    {
        return pools_[p_pool.value()];
    }

    node_id self_;
    failure_domain_id own_domain_;
    tuning tuning_;
    mutable std::mt19937_64 random_; ///< Placement draws from it.
    time_point now_{};
    std::vector<action>* actions_ = nullptr;

    std::shared_ptr<const catalogue> catalogue_;
    std::vector<pool_state> pools_;
    backend_table backends_;
    cap_limiter caps_;
    cap_allocator home_;
    output_predictor outputs_;
    retry_budget retries_;
    slot_shares shares_;
    crash_tracker crashes_;
    std::unordered_map<request_id, live_request> requests_;
    std::unordered_map<attempt_id, live_attempt> attempts_;
    std::vector<std::vector<attempt_id>> running_; ///< By backend server.
    std::uint64_t next_attempt_ = 1;

    std::vector<node_id> listed_;
    std::vector<node_id> live_;
    std::uint64_t view_ = 0;
    struct peer_view
    {
        std::uint64_t view_ = 0;
        time_point heard_{};
    };
    std::unordered_map<node_id, peer_view> peer_views_;
    /// Until then, grants of another home node may still be in use.
    time_point home_from_{};
    time_point next_digest_{};
    time_point next_claims_{};
    time_point next_check_{};
};

static_assert(dispatch_policy<decider>);

} // namespace peridotspar::policy
