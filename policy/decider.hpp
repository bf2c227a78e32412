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
#include <deque>
#include <random>
#include <unordered_map>
#include <vector>

namespace peridotspar::policy
{

/// The dispatch policy of a node: it decides on admission, order of service,
/// caps, placement, preemption, retries and quarantine.
///
/// It does no I/O, starts no thread and reads no clock. With the same seed, the
/// same events at the same times give the same actions. It is not thread-safe.
class decider
{
public:
    /// `p_seed` initialises the random choices of placement and jitter.
    decider(node_id p_self, failure_domain_id p_failure_domain,
            std::uint64_t p_seed, tuning p_tuning = {});
    // The parts refer to `tuning_`, so a decider stays where it was made.
    decider(const decider&) = delete;
    decider& operator=(const decider&) = delete;

    /// Processes an event and appends the resulting actions. Time never moves
    /// backwards: an earlier `p_now` counts as the latest one. Requests may be
    /// submitted only after the first `catalogue_changed`.
    void handle(const event& p_event, time_point p_now,
                std::vector<action>& r_actions);

    /// Number of admitted requests that have not ended.
    [[nodiscard]] std::size_t open_requests() const { return requests_.size(); }

private:
    /// A request that was admitted and has not ended.
    struct request_state
    {
        request spec_;
        tier tier_;
        duration wait_limit_{}; ///< Longest wait before it is shed.
        time_point arrived_at_{};
        time_point queued_at_{}; ///< Last time that it entered its queue.
        /// Expected output.
        double predicted_tokens_ = 0;
        /// Charged to its account when it starts.
        double initial_charge_tokens_ = 0;
        /// Charged to its account so far.
        double charged_tokens_ = 0;
        /// Output received so far.
        std::uint32_t received_tokens_ = 0;
        /// Software version of the server that the output came from.
        std::string output_version_;
        /// Attempts that failed or were overdue.
        std::uint32_t failed_attempts_ = 0;
        std::optional<attempt_id> attempt_;
        /// Backend server of its last failed, overdue or slow attempt.
        std::optional<backend_index> avoided_backend_;
        /// Time that its attempts held a slot.
        double slot_seconds_ = 0;
        /// Its part of `tier_queues::waiting_service_s_`.
        double queued_service_s_ = 0;
        /// Its output is expected to be long, or not known yet.
        bool is_long_ = false;
        /// Started at least once; it is not shed any more.
        bool dispatched_ = false;
        /// A backend server may have received it.
        bool possibly_sent_ = false;
        /// Lost its server while the retry budget was used up. It is in no
        /// queue until the budget allows its retry.
        bool awaits_retry_ = false;
        /// Runs beyond its account's cap.
        bool borrowed_ = false;
        /// Runs on the minimum share of lower tiers.
        bool on_minimum_share_ = false;
    };
    /// A running attempt.
    struct attempt_state
    {
        request_id request_;
        backend_index backend_;
        time_point started_at_{};
        time_point last_output_at_{};
        std::uint32_t tokens_ = 0; ///< Output tokens so far.
        bool has_output_ = false;
        time_point first_output_at_{};
        bool output_continued_ = false; ///< Cleared the parts of the prompt.
    };
    /// The queues of a tier: one for short and one for long requests.
    struct tier_queues
    {
        std::array<account_queue, lane_count> lanes_;
        /// Expected output of the requests started from each lane, in tokens;
        /// the lane with less goes first.
        std::array<double, lane_count> served_tokens_{};
        /// Expected service time of the requests waiting in each lane.
        std::array<double, lane_count> waiting_service_s_{};
        [[nodiscard]] std::size_t size() const
        {
            return lanes_[0].size() + lanes_[1].size();
        }
    };
    /// State of a pool.
    struct pool_state
    {
        /// Backend servers of the pool that this node uses.
        std::vector<backend_index> subset_;
        std::array<tier_queues, tier_count> tiers_;
        wait_estimator wait_estimator_;
        moving_average prompt_tokens_{0.05};
        /// Dispatches that the minimum share may use now.
        double minimum_share_credit_ = 0;
        /// Last time that a request waited within its cap, here or at a peer.
        time_point last_waiting_at_{};
        unsigned minimum_share_running_ = 0; ///< Attempts on it.
        /// Slots of the pool that this node can expect to use.
        double usable_slots_ = 0;
        /// This node's slots at each backend server of `subset_`.
        std::vector<slot_shares::share> shares_;
        /// Nodes with work in this pool, this one included.
        std::size_t contending_nodes_ = 1;
        /// This node's work as of its last digest. Slots are divided by it
        /// because all nodes must divide by the same numbers.
        double published_demand_ = 0;
        /// Highest tier with requests within `tuning::activity_window_`.
        tier highest_active_tier_{tier_count - 1};
        std::array<time_point, tier_count> tier_last_arrivals_{};
        std::optional<time_point> last_short_arrival_;
        /// Short requests running concurrently, over all nodes.
        moving_average short_running_{0.03};
        /// Slots of each backend server that long requests may not use.
        unsigned short_reserved_slots_ = 0;
    };
    /// The request to start next and where.
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
    /// The refusal of a request that must not be admitted.
    [[nodiscard]] std::optional<refuse>
    check_admission(request_state& p_request);
    [[nodiscard]] std::optional<refuse>
    check_account_cap(const request_state& p_request);
    /// Estimated time until the request starts. `p_own_service_s` is its own
    /// service time if it is not in a queue yet, otherwise 0.
    [[nodiscard]] duration expected_wait(const request_state& p_request,
                                         double p_own_service_s) const;
    /// Slots that the minimum share may use at a time.
    [[nodiscard]] double minimum_share_slots(const pool_state& p_pool) const;
    /// Estimated time from the start of a request to the end of its answer.
    [[nodiscard]] duration
    expected_service(const request_state& p_request) const;
    /// Whether an attempt, here or at a peer, may be preempted for the request.
    [[nodiscard]] bool
    has_preemptible_work(const request_state& p_request) const;
    /// A delay of 1 to 1.5 times `p_wait`, based on at least 1 s.
    [[nodiscard]] duration with_jitter(duration p_wait);
    /// Sheds waiting requests that are expected to start too late.
    void shed_overload(pool_index p_pool);
    void shed_tier(pool_index p_pool, std::size_t p_tier);
    /// Sheds requests that have waited too long or whose account stays over
    /// its cap for too long.
    void shed_expired();
    /// Ends started requests that wait past their deadline, or too long, for a
    /// backend server to continue on.
    void end_interrupted();

    // Order of service.
    /// Starts waiting requests of a pool while there is room for them.
    void schedule(pool_index p_pool);
    [[nodiscard]] std::optional<dispatch_choice> choose_next(pool_index p_pool);
    /// The oldest due request of a lower tier, within the minimum share.
    [[nodiscard]] std::optional<dispatch_choice> choose_due(pool_index p_pool);
    /// The next request of a tier. Sets `r_blocked` if one is waiting within
    /// its cap but there is no room for it.
    [[nodiscard]] std::optional<dispatch_choice>
    choose_in_tier(pool_index p_pool, std::size_t p_tier, bool& r_blocked);
    /// A request beyond its account's cap, if the capacity is idle everywhere.
    [[nodiscard]] std::optional<dispatch_choice>
    choose_borrower(pool_index p_pool);
    void start(const dispatch_choice& p_choice);
    /// Adds a request to its queue; at the front if it was started before.
    void enqueue(request_state& r_request, bool p_front);
    void dequeue(request_state& r_request);
    [[nodiscard]] account_queue& queue_of(const request_state& p_request);

    // Placement.
    /// The best backend server with room for the request.
    [[nodiscard]] std::optional<backend_index>
    choose_backend(const request_state& p_request) const;
    /// Whether the backend server has the version that began the output.
    [[nodiscard]] bool may_go_on_at(const request_state& p_request,
                                    backend_index p_backend) const;
    /// Whether another backend server can go on with the output. True also if
    /// all have the same version.
    [[nodiscard]] bool
    has_matching_backend(const request_state& p_request) const;
    /// Whether the backend server at `p_position` of the subset may take the
    /// request now.
    [[nodiscard]] bool has_room(const request_state& p_request,
                                std::size_t p_position) const;
    /// Whether the request is suspected of a crash and the backend server
    /// already runs another suspect.
    [[nodiscard]] bool is_second_suspect(const request_state& p_request,
                                         backend_index p_backend) const;
    /// Whether a slot is free that the division gives to this node for short
    /// work.
    [[nodiscard]] bool has_reserved_slot(const pool_state& p_pool,
                                         std::size_t p_position) const;
    /// Load score of a backend server; the lowest one is the best.
    [[nodiscard]] double score(backend_index p_backend) const;
    /// Slots of a backend server that long requests may use.
    [[nodiscard]] unsigned long_work_limit(const pool_state& p_pool,
                                           backend_index p_backend) const;
    /// A backend server for the request that is next, if necessary by
    /// preemption.
    [[nodiscard]] std::optional<backend_index>
    choose_backend_or_preempt(const request_state& p_request);
    /// Whether other nodes may be taking the free slot for this request.
    [[nodiscard]] bool may_be_contended(const request_state& p_request,
                                        backend_index p_backend) const;
    /// Preempts an attempt of this node for the request and returns its
    /// backend server.
    [[nodiscard]] std::optional<backend_index>
    preempt_for(const request_state& p_request);
    /// Asks a peer to preempt lower-tier work and returns the backend server.
    /// The request starts there without waiting for the peer.
    [[nodiscard]] std::optional<backend_index>
    request_peer_preemption(const request_state& p_request);
    /// Whether an attempt of `p_victim` may be preempted for `p_request`.
    [[nodiscard]] bool may_preempt(const request_state& p_victim,
                                   const request_state& p_request) const;

    // Attempts.
    /// Clears the parts of a prompt once its output has gone on for a while.
    void check_output_continues(attempt_state& r_attempt);
    void record_crash(const attempt_state& p_attempt);
    /// Refuses waiting requests with parts that have been quarantined.
    void refuse_quarantined();
    /// Removes the attempt of a request and frees its slot.
    void release_attempt(request_state& r_request);
    /// Cancels the attempt of a request and returns it to its queue.
    void cancel_and_requeue(request_state& r_request, cancel_reason p_reason);
    /// Cancels the attempt of a request and starts the next one at once, so
    /// that no other request takes the place.
    void move_to(request_state& r_request, backend_index p_backend);
    /// Requeues a request whose attempt failed, or refuses it if it must not
    /// or may no longer be retried.
    void retry_or_refuse(request_state& r_request, bool p_may_retry);
    /// Requeues streams that wait for the retry budget, the oldest first.
    void resume_interrupted();
    // The next three functions end the request and invalidate the reference to
    // it.
    void complete_request(request_state& r_request);
    void refuse_failed(request_state& r_request);
    void refuse_request(request_state& r_request, refusal p_reason,
                        duration p_retry_after);
    /// Returns the charge beyond the received output to the account.
    void refund_unused_tokens(request_state& r_request);

    // Silent and slow backend servers.
    /// Moves requests whose output is overdue to other backend servers.
    void retry_overdue();
    /// Gives a place that became free to overdue requests before it goes to
    /// waiting ones, except to those of a higher tier.
    void retry_overdue_first();
    /// Counts a silence as slowness unless the whole backend server is busy or
    /// the pool is silent.
    void record_silence(const attempt_state& p_attempt);
    /// Returns whether there was a replacement.
    bool move_off_silent_backend(const attempt_state& p_attempt);
    /// Whether a request of a higher tier waits within its cap.
    [[nodiscard]] bool higher_tier_waits(const request_state& p_request);
    [[nodiscard]] bool is_overdue(const attempt_state& p_attempt) const;
    /// Time since the last output, or since the start.
    [[nodiscard]] duration silence_of(const attempt_state& p_attempt) const;
    /// Longest silence of a stream that isn't overdue.
    [[nodiscard]] duration stall_limit(pool_index p_pool) const;
    /// Whether a backend server has, or had until it was left, requests of this
    /// node whose output is missing, and has sent none for any request within
    /// `p_window`.
    [[nodiscard]] bool is_silent(backend_index p_backend,
                                 duration p_window) const;
    /// Whether several backend servers of a pool are silent, and more than have
    /// sent output. They more likely pause together than hang one by one.
    [[nodiscard]] bool is_common_silence(pool_index p_pool,
                                         duration p_window) const;
    /// The backend server that a running request can move to: one that is
    /// neither slow nor silent and has room, which no other node may be taking
    /// if there is output. `p_needs_output`: one without output within
    /// `p_window` isn't enough.
    [[nodiscard]] std::optional<backend_index>
    choose_replacement(const request_state& p_request, duration p_window,
                       bool p_needs_output) const;
    /// Moves running requests away from backend servers on probation.
    void move_off_slow_backends();

    // Periodic work.
    /// Recomputes the slots that this node can use in each pool.
    void refresh_slots();
    /// Divides the slots of a pool between the nodes with work in it.
    void refresh_shares(pool_index p_pool);
    /// Recomputes the slots reserved for short work.
    void refresh_reserve(pool_index p_pool);
    /// Requests of this node in a pool, running or waiting.
    [[nodiscard]] double own_demand(pool_index p_pool) const;
    /// Running attempts of this node in each pool.
    [[nodiscard]] std::vector<by_lane<unsigned>> running_by_pool() const;
    /// Preempts attempts beyond their caps when a request within its cap waits.
    void reclaim_borrowed(pool_index p_pool);
    /// Sends the digest and the cap claims when they are due.
    void publish_state();
    /// The part of each cap that this node may grant as home node: the fraction
    /// of listed nodes that see the same nodes as live.
    [[nodiscard]] double grantable_share() const;

    [[nodiscard]] pool_state& pool(pool_index p_pool)
    {
        return pools_[p_pool.value()];
    }

    node_id self_;
    failure_domain_id own_failure_domain_;
    tuning tuning_;
    mutable std::mt19937_64 random_;         ///< For placement and jitter.
    time_point now_{};                       ///< Time of the current event.
    std::vector<action>* actions_ = nullptr; ///< Set during `handle`.

    std::shared_ptr<const catalogue> catalogue_;
    std::vector<pool_state> pools_;
    backend_table backends_;
    cap_limiter cap_limiter_;
    cap_allocator cap_allocator_;
    output_predictor output_predictor_;
    retry_budget retry_budget_;
    slot_shares slot_shares_;
    crash_tracker crash_tracker_;                     ///< By whole requests.
    quarantine::crash_attribution crash_attribution_; ///< By parts, too.
    std::unordered_map<request_id, request_state> requests_;
    std::unordered_map<attempt_id, attempt_state> attempts_;
    std::vector<std::vector<attempt_id>> running_by_backend_;
    std::deque<request_id> awaiting_retry_;
    std::vector<attempt_id> overdue_; ///< Those that stayed at the last check.
    std::uint64_t next_attempt_ = 1;

    std::vector<node_id> listed_;
    std::vector<node_id> live_;
    std::uint64_t view_hash_ = 0; ///< Hash of `live_`.
    struct peer_view
    {
        std::uint64_t view_hash_ = 0;
        time_point last_heard_at_{};
    };
    std::unordered_map<node_id, peer_view> peer_views_;
    /// Before this time, grants of another home node may still be in use, so
    /// this node grants nothing.
    time_point grants_allowed_from_{};
    time_point next_digest_at_{};
    time_point next_claims_at_{};
    time_point next_check_at_{};
};

static_assert(dispatch_policy<decider>);

} // namespace peridotspar::policy
