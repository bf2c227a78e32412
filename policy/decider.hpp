#pragma once

#include "policy/account_queue.hpp"
#include "policy/backend_table.hpp"
#include "policy/cap_home.hpp"
#include "policy/cap_ledger.hpp"
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
    decider(node_id p_self, failure_domain_id p_failure_domain,
            std::uint64_t p_seed, tuning p_tuning = {});

    /// Takes one event and appends what is to be done about it.
    void handle(const event& p_event, time_point p_now,
                std::vector<action>& r_actions);

    /// Requests that this node has accepted and not yet answered.
    [[nodiscard]] std::size_t open_requests() const { return requests_.size(); }

private:
    struct request_state
    {
        request spec_;
        tier tier_;
        duration wait_limit_{};
        time_point arrived_at_{};
        time_point queued_at_{};
        double predicted_tokens_ = 0;       ///< Output in tokens.
        double initial_charge_tokens_ = 0;  ///< Charged when it starts.
        double charged_tokens_ = 0;         ///< Tokens charged to its account.
        std::uint32_t received_tokens_ = 0; ///< Output tokens so far.
        std::uint32_t failed_attempts_ =
            0; ///< Attempts that failed or stalled.
        std::optional<attempt_id> attempt_;
        std::optional<backend_index>
            avoided_backend_; ///< Where it failed last.
        double slot_seconds_ = 0;
        double queued_service_s_ = 0; ///< Service counted for it in its queue.
        bool is_long_ = false;
        bool dispatched_ = false; ///< Was dispatched once; never shed after.
        bool possibly_sent_ =
            false;              ///< Bytes may have reached a backend server.
        bool borrowed_ = false; ///< Runs on capacity beyond its cap.
        bool on_minimum_share_ = false; ///< Runs on the minimum share.
    };
    struct attempt_state
    {
        request_id request_;
        backend_index backend_;
        time_point started_at_{};
        time_point last_output_at_{};
        std::uint32_t tokens_ = 0;
        bool has_output_ = false;
    };
    /// Lanes of a tier: short work and long work wait apart.
    struct tier_queues
    {
        std::array<account_queue, lane_count> lanes_;
        std::array<double, lane_count> served_tokens_{};
        std::array<double, lane_count>
            waiting_service_s_{}; ///< Service to give.
        [[nodiscard]] std::size_t size() const
        {
            return lanes_[0].size() + lanes_[1].size();
        }
    };
    struct pool_state
    {
        std::vector<backend_index> subset_;
        std::array<tier_queues, tier_count> tiers_;
        wait_estimator wait_estimator_;
        moving_average prompt_tokens_{0.05};
        double minimum_share_credit_ = 0;
        time_point last_waiting_at_{}; ///< Somebody waited, here or at a peer.
        unsigned minimum_share_running_ = 0;
        double usable_slots_ = 0; ///< That this node may count on.
        std::vector<slot_shares::share> shares_; ///< By place in the subset.
        std::size_t contending_nodes_ = 1; ///< Nodes with work in this pool.
        /// Own work as peers know it; the division must use the same for all.
        double published_demand_ = 0;
        tier highest_active_tier_{tier_count -
                                  1}; ///< Highest one in use lately.
        std::array<time_point, tier_count> tier_last_arrivals_{};
        std::optional<time_point> last_short_arrival_;
        /// Short requests that run at a time, over all nodes.
        moving_average short_running_{0.03};
        unsigned short_reserved_slots_ = 0; ///< Slots of each backend server.
    };
    struct dispatch_choice
    {
        request_state* request_ = nullptr;
        backend_index backend_;
        bool borrowed_ = false;
        bool on_minimum_share_ = false;
    };

    // Events.
    void on(const catalogue_changed& p_event);
    void on(const request_arrived& p_event);
    void on(const output_received& p_event);
    void on(const attempt_ended& p_event);
    void on(const caller_disconnected& p_event);
    void on(const load_reported& p_event);
    void on(const backend_admission_changed& p_event);
    void on(const nodes_changed& p_event);
    void on(const digest_received& p_event);
    void on(const caps_claimed& p_event);
    void on(const caps_granted& p_event);
    void on(const preemption_requested& p_event);
    void on(const clock_ticked& p_event);

    // Admission.
    [[nodiscard]] request_state
    make_request_state(const request& p_request) const;
    [[nodiscard]] std::optional<refuse>
    check_admission(request_state& p_request);
    [[nodiscard]] std::optional<refuse>
    check_account_cap(const request_state& p_request);
    /// `p_own_service_s`: its own service, if it doesn't wait yet.
    [[nodiscard]] duration expected_wait(const request_state& p_request,
                                         double p_own_service_s) const;
    [[nodiscard]] double minimum_share_slots(const pool_state& p_pool) const;
    [[nodiscard]] duration
    expected_service(const request_state& p_request) const;
    [[nodiscard]] bool
    has_preemptible_work(const request_state& p_request) const;
    [[nodiscard]] duration with_jitter(duration p_wait);
    void shed_overload(pool_index p_pool);
    void shed_tier(pool_index p_pool, std::size_t p_tier);
    /// Sheds what waited longer than its class allows.
    void shed_expired();

    // Order.
    void schedule(pool_index p_pool);
    [[nodiscard]] std::optional<dispatch_choice> choose_next(pool_index p_pool);
    [[nodiscard]] std::optional<dispatch_choice> choose_due(pool_index p_pool);
    [[nodiscard]] std::optional<dispatch_choice>
    choose_in_tier(pool_index p_pool, std::size_t p_tier, bool& r_blocked);
    [[nodiscard]] std::optional<dispatch_choice>
    choose_borrower(pool_index p_pool);
    void start(const dispatch_choice& p_choice);
    void enqueue(request_state& r_request, bool p_front);
    void dequeue(request_state& r_request);
    [[nodiscard]] account_queue& queue_of(const request_state& p_request);

    // Placement.
    [[nodiscard]] std::optional<backend_index>
    choose_backend(const request_state& p_request) const;
    [[nodiscard]] bool has_room(const request_state& p_request,
                                std::size_t p_position) const;
    [[nodiscard]] bool is_second_suspect(const request_state& p_request,
                                         backend_index p_backend) const;
    [[nodiscard]] bool has_reserved_slot(const pool_state& p_pool,
                                         std::size_t p_position) const;
    [[nodiscard]] double score(backend_index p_backend) const;
    [[nodiscard]] unsigned long_work_limit(const pool_state& p_pool,
                                           backend_index p_backend) const;
    /// A place for a request whose turn it is, made free if need be.
    [[nodiscard]] std::optional<backend_index>
    choose_backend_or_preempt(const request_state& p_request);
    /// Whether other nodes may be taking the slot that looks free.
    [[nodiscard]] bool may_be_contended(const request_state& p_request,
                                        backend_index p_backend) const;
    [[nodiscard]] std::optional<backend_index>
    preempt_for(const request_state& p_request);
    /// Asks a peer to preempt lower-tier work, and counts on it.
    [[nodiscard]] std::optional<backend_index>
    request_peer_preemption(const request_state& p_request);
    [[nodiscard]] bool may_preempt(const request_state& p_victim,
                                   const request_state& p_request) const;

    // Attempts.
    void release_attempt(request_state& r_request);
    void cancel_and_requeue(request_state& r_request, cancel_reason p_reason);
    void retry_or_refuse(request_state& r_request, bool p_may_retry);
    void complete_request(request_state& r_request);
    void refuse_request(request_state& r_request, refusal p_reason,
                        duration p_retry_after);
    void retry_overdue();
    [[nodiscard]] bool is_overdue(const attempt_state& p_attempt) const;
    /// Moves streams away from backend servers that turned out slow.
    void move_off_slow_backends();
    void refund_unused_tokens(request_state& r_request);

    // Periodic.
    void refresh_slots();
    void refresh_shares(pool_index p_pool);
    void refresh_reserve(pool_index p_pool);
    [[nodiscard]] double own_demand(pool_index p_pool) const;
    /// This node's running work, by pool.
    [[nodiscard]] std::vector<by_lane<unsigned>> running_by_pool() const;
    /// Takes capacity that was lent back when somebody waits for it.
    void reclaim_borrowed(pool_index p_pool);
    void publish_state();
    [[nodiscard]] double grantable_share() const;

    [[nodiscard]] pool_state& pool(pool_index p_pool)
    {
        return pools_[p_pool.value()];
    }

    node_id self_;
    failure_domain_id own_failure_domain_;
    tuning tuning_;
    mutable std::mt19937_64 random_; ///< Placement draws from it.
    time_point now_{};
    std::vector<action>* actions_ = nullptr;

    std::shared_ptr<const catalogue> catalogue_;
    std::vector<pool_state> pools_;
    backend_table backends_;
    cap_ledger cap_limiter_;
    cap_home cap_allocator_;
    output_predictor output_predictor_;
    retry_budget retry_budget_;
    slot_shares slot_shares_;
    crash_tracker crash_tracker_;
    std::unordered_map<request_id, request_state> requests_;
    std::unordered_map<attempt_id, attempt_state> attempts_;
    std::vector<std::vector<attempt_id>>
        running_by_backend_; ///< By backend server.
    std::uint64_t next_attempt_ = 1;

    std::vector<node_id> listed_;
    std::vector<node_id> live_;
    std::uint64_t view_hash_ = 0;
    struct peer_view
    {
        std::uint64_t view_hash_ = 0;
        time_point last_heard_at_{};
    };
    std::unordered_map<node_id, peer_view> peer_views_;
    /// Until then, grants of another home node may still be in use.
    time_point grants_allowed_from_{};
    time_point next_digest_at_{};
    time_point next_claims_at_{};
    time_point next_check_at_{};
};

static_assert(dispatch_policy<decider>);

} // namespace peridotspar::policy
