#pragma once

#include "core/log.hpp"
#include "store/claim_segment.hpp"
#include "store/object_api.hpp"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <future>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace peridotspar
{

/// The result of a request for a claim.
struct claim_result
{
    enum class kind : std::uint8_t
    {
        granted,     ///< The claim is stored and held by the caller.
        taken,       ///< Another attempt holds the claim; see `record_`.
        unavailable, ///< The claim failed; the request must not be sent.
    };
    kind kind_ = kind::unavailable;
    claim_record record_;
};

/// Writes claims to the store from a pool of worker threads. Operations on one
/// segment that arrive while the segment is being written share the next write
/// (group commit).
///
/// If the response to a write is lost, the segment is read back and searched
/// for the nonce of the claim. The store must outlive this object. Thread-safe.
template <object_api Store>
class claim_committer
{
public:
    /// Longest time for which `stop` tries to write what is queued. It covers
    /// a short outage only: a leaving node waits for pending writes before it
    /// stops, and must end before it is killed.
    static constexpr std::chrono::milliseconds max_stop_time{2000};

    claim_committer(Store& r_store, std::size_t p_thread_count)
        : store_(r_store)
    {
        for (std::size_t i = 0; i < p_thread_count; ++i)
        {
            threads_.emplace_back([this] { run_worker(); });
        }
    }

    ~claim_committer() { stop(); }
    claim_committer(const claim_committer&) = delete;
    claim_committer& operator=(const claim_committer&) = delete;

    /// Requests a claim and blocks until it is granted, taken or failed.
    /// `p_nonce` identifies the attempt; a repeated call with the same nonce is
    /// granted again.
    claim_result claim(const claim_location& p_location,
                       const std::string& p_nonce,
                       const std::string& p_body_hash)
    {
        operation op;
        op.kind_ = operation_kind::claim;
        op.entry_ = p_location.entry_;
        op.record_ = {p_nonce, p_body_hash, std::nullopt};
        auto result = op.result_.get_future();
        submit(p_location.object_, std::move(op));
        return result.get();
    }

    /// Stores the response of a completed request in the background. The write
    /// is retried until it succeeds or the committer is stopped.
    void finish(const claim_location& p_location, const std::string& p_nonce,
                recorded_response p_response)
    {
        operation op;
        op.kind_ = operation_kind::finish;
        op.entry_ = p_location.entry_;
        op.record_ = {p_nonce, {}, std::move(p_response)};
        submit(p_location.object_, std::move(op));
    }

    /// Removes a claim whose request was not sent, in the background. The write
    /// is retried until it succeeds or the committer is stopped.
    void release(const claim_location& p_location, const std::string& p_nonce)
    {
        operation op;
        op.kind_ = operation_kind::release;
        op.entry_ = p_location.entry_;
        op.record_.nonce_ = p_nonce;
        submit(p_location.object_, std::move(op));
    }

    /// Number of queued operations, plus one for each segment whose commit is
    /// in progress, plus the operations that a stop left unwritten.
    [[nodiscard]] std::size_t pending_writes() const
    {
        std::lock_guard lock(mutex_);
        return pending_writes_;
    }

    /// Stops the worker threads once every queued operation is written. If the
    /// store is unavailable, it blocks for at most `max_stop_time` and one
    /// attempt to write a segment. Claims that are left or come later fail;
    /// other operations are logged as `claim.unwritten` and dropped, so that
    /// their claims stay stored without a response: resends learn that the
    /// request may have run.
    void stop()
    {
        {
            std::lock_guard lock(mutex_);
            if (!stopping_)
            {
                stopping_ = true;
                stop_deadline_ =
                    std::chrono::steady_clock::now() + max_stop_time;
            }
            for (auto& [name, state] : segments_)
            {
                state.retry_at_ = {};
            }
        }
        work_available_.notify_all();
        for (auto& thread : threads_)
        {
            thread.join();
        }
        threads_.clear();
        std::lock_guard lock(mutex_);
        for (auto& [name, state] : segments_)
        {
            for (auto& op : state.queued_)
            {
                drop(name, op);
            }
            state.queued_.clear();
        }
        pending_writes_ = dropped_writes_;
    }

private:
    enum class operation_kind : std::uint8_t
    {
        claim,
        finish,
        release,
    };
    struct operation
    {
        operation_kind kind_ = operation_kind::claim;
        std::string entry_;
        claim_record record_;
        std::promise<claim_result> result_;
    };
    struct segment_state
    {
        std::vector<operation> queued_;
        bool committing_ = false;
        std::chrono::steady_clock::time_point retry_at_{};
        /// Consecutive commits that left operations unwritten.
        unsigned consecutive_failures_ = 0;
        std::uint64_t version_ = 0; ///< Of the stored object; 0 if not known.
        claim_segment cached_;      ///< The segment as of `version_`.
    };

    /// Attempts to write a segment in one commit.
    static constexpr std::uint32_t max_attempts = 6;
    static constexpr std::size_t max_cached_segments = 64;
    /// Delay after a throttled write, base of the backoff, and the interval at
    /// which idle workers check for due retries.
    static constexpr std::chrono::milliseconds retry_delay{300};
    /// Interval at which idle workers check for due retries during a stop.
    static constexpr std::chrono::milliseconds stop_poll_interval{20};
    /// Number of conflict-free commits after which a segment is written without
    /// being read first again.
    static constexpr int read_first_commits_after_conflict = 20;

    void submit(const std::string& p_object, operation p_op)
    {
        {
            std::lock_guard lock(mutex_);
            if (stopping_)
            {
                drop(p_object, p_op);
                pending_writes_ += p_op.kind_ == operation_kind::claim ? 0 : 1;
                return;
            }
            segments_[p_object].queued_.push_back(std::move(p_op));
            ++pending_writes_;
        }
        work_available_.notify_one();
    }

    void run_worker()
    {
        std::unique_lock lock(mutex_);
        while (true)
        {
            const auto next = find_ready_segment();
            if (is_stop_overdue() ||
                (stopping_ && next == segments_.end() && !has_retries()))
            {
                return;
            }
            if (next == segments_.end())
            {
                work_available_.wait_for(lock, stopping_ ? stop_poll_interval
                                                         : retry_delay);
                continue;
            }
            const std::string name = next->first;
            next->second.committing_ = true;
            std::vector<operation> batch = std::move(next->second.queued_);
            next->second.queued_.clear();
            lock.unlock();
            commit(name, next->second, batch);
            lock.lock();
            requeue_unwritten(next->second, batch);
            evict_old_segments();
        }
    }

    /// Ends a commit: puts the unwritten operations back into the queue and
    /// updates the number of pending writes. Requires the lock.
    void requeue_unwritten(segment_state& r_state,
                           std::vector<operation>& r_unwritten)
    {
        pending_writes_ = dropped_writes_;
        if (!r_unwritten.empty())
        {
            r_state.retry_at_ =
                std::chrono::steady_clock::now() +
                (stopping_
                     ? retry_delay
                     : retry_delay_after(r_state.consecutive_failures_++));
        }
        else
        {
            r_state.consecutive_failures_ = 0;
        }
        for (auto& unwritten : r_unwritten)
        {
            r_state.queued_.push_back(std::move(unwritten));
        }
        r_unwritten.clear();
        r_state.committing_ = false;
        for (const auto& [name, state] : segments_)
        {
            pending_writes_ +=
                state.queued_.size() + (state.committing_ ? 1 : 0);
        }
    }

    /// Returns the delay before the next commit of a segment. It doubles with
    /// each failure and has random jitter, so that the end of an outage does
    /// not cause a burst of calls. Segments with queued claims are committed
    /// without this delay.
    std::chrono::milliseconds retry_delay_after(unsigned p_failures)
    {
        constexpr unsigned max_doublings = 5;
        const auto max_delay =
            retry_delay * (1U << std::min(p_failures, max_doublings));
        std::uniform_int_distribution<std::int64_t> jitter(
            max_delay.count() / 2, max_delay.count());
        return std::chrono::milliseconds(jitter(random_));
    }

    /// Returns a segment that can be committed now, or the end iterator.
    /// Requires the lock.
    auto find_ready_segment()
    {
        const auto now = std::chrono::steady_clock::now();
        auto next = segments_.begin();
        for (; next != segments_.end(); ++next)
        {
            const segment_state& state = next->second;
            const bool has_claims =
                std::any_of(state.queued_.begin(), state.queued_.end(),
                            [](const operation& p_op)
                            { return p_op.kind_ == operation_kind::claim; });
            if (!state.committing_ && !state.queued_.empty() &&
                (has_claims || state.retry_at_ <= now))
            {
                break;
            }
        }
        return next;
    }

    /// Whether a segment waits for the time of its next commit, if none can be
    /// committed now. Requires the lock.
    bool has_retries() const
    {
        return std::any_of(segments_.begin(), segments_.end(),
                           [](const auto& p_item) {
                               return !p_item.second.committing_ &&
                                      !p_item.second.queued_.empty();
                           });
    }

    /// Whether the time of a stop is over. Requires the lock.
    bool is_stop_overdue() const
    {
        return stopping_ && std::chrono::steady_clock::now() >= stop_deadline_;
    }

    void evict_old_segments()
    {
        // Object names begin with their time span, so the first are the oldest.
        for (auto i = segments_.begin();
             i != segments_.end() && segments_.size() > max_cached_segments;)
        {
            const bool idle =
                !i->second.committing_ && i->second.queued_.empty();
            i = idle ? segments_.erase(i) : std::next(i);
        }
    }

    /// Writes a batch of operations and completes its claims. Operations that
    /// could not be written remain in `r_batch`, except claims, which fail
    /// because their callers are waiting.
    void commit(const std::string& p_name, segment_state& r_state,
                std::vector<operation>& r_batch)
    {
        // After a lost response only a read shows the state of the store.
        bool may_have_written = false;
        for (std::uint32_t i = 0; i < max_attempts; ++i)
        {
            if (i > 0 && must_end_commit())
            {
                break;
            }
            // If other nodes write to the store as well, reading first is
            // cheaper than a write that fails with a conflict.
            const bool is_fresh = i > 0 || read_first_commits_.load() > 0;
            if (is_fresh && !read(p_name, r_state))
            {
                break;
            }
            claim_segment next = r_state.cached_;
            const bool changes = apply_operations(next, r_batch);
            if (!changes && is_fresh)
            {
                complete_claims(r_state.cached_, r_batch);
                return;
            }
            if (!changes)
            {
                // The cached segment may be stale, so read the stored one
                // before deciding that no write is needed.
                continue;
            }
            const auto written =
                store_.put(p_name, r_state.version_, next.serialize());
            if (written)
            {
                read_first_commits_ =
                    std::max(0, read_first_commits_.load() - 1);
                r_state.version_ = *written;
                r_state.cached_ = std::move(next);
                complete_claims(r_state.cached_, r_batch);
                return;
            }
            if (written.error().kind_ == store_error_kind::conflict)
            {
                read_first_commits_ = read_first_commits_after_conflict;
            }
            if (written.error().kind_ == store_error_kind::throttled)
            {
                std::this_thread::sleep_for(retry_delay);
            }
            if (written.error().kind_ == store_error_kind::unavailable &&
                !may_have_written)
            {
                break;
            }
            may_have_written =
                may_have_written ||
                written.error().kind_ == store_error_kind::unknown_effect;
        }
        r_state.version_ = 0;
        r_state.cached_ = {};
        fail_unwritten_claims(r_batch, may_have_written);
    }

    /// Whether a commit must not be tried again because of a stop.
    bool must_end_commit() const
    {
        std::lock_guard lock(mutex_);
        return is_stop_overdue();
    }

    bool read(const std::string& p_name, segment_state& r_state)
    {
        const auto stored = store_.get(p_name);
        if (!stored)
        {
            return false;
        }
        auto parsed = claim_segment::parse(stored->value_);
        if (!parsed)
        {
            return false;
        }
        r_state.version_ = stored->version_;
        r_state.cached_ = std::move(*parsed);
        return true;
    }

    /// Applies the operations to a segment. Returns whether any changed it.
    static bool apply_operations(claim_segment& r_segment,
                                 const std::vector<operation>& p_batch)
    {
        bool changes = false;
        for (const auto& op : p_batch)
        {
            switch (op.kind_)
            {
            case operation_kind::claim:
                changes |= r_segment.add(op.entry_, op.record_);
                break;
            case operation_kind::finish:
            {
                const auto* existing = r_segment.find(op.entry_);
                if (existing != nullptr && !existing->response_)
                {
                    changes |= r_segment.finish(op.entry_, op.record_.nonce_,
                                                *op.record_.response_);
                }
                break;
            }
            case operation_kind::release:
                changes |= r_segment.release(op.entry_, op.record_.nonce_);
                break;
            }
        }
        return changes;
    }

    /// Completes each claim with the holder of its entry in the stored segment.
    static void complete_claims(const claim_segment& p_segment,
                                std::vector<operation>& r_batch)
    {
        for (auto& op : r_batch)
        {
            if (op.kind_ != operation_kind::claim)
            {
                continue;
            }
            const auto* existing = p_segment.find(op.entry_);
            const bool is_own =
                existing != nullptr && existing->nonce_ == op.record_.nonce_;
            op.result_.set_value(
                {is_own ? claim_result::kind::granted
                        : claim_result::kind::taken,
                 existing == nullptr ? claim_record{} : *existing});
        }
        r_batch.clear();
    }

    /// Fails the claims of a batch. If a claim may have been stored
    /// nevertheless, a release is queued for it, because its caller reports
    /// that the request was not run.
    static void fail_unwritten_claims(std::vector<operation>& r_batch,
                                      bool p_may_have_written)
    {
        std::vector<operation> unwritten;
        for (auto& op : r_batch)
        {
            if (op.kind_ != operation_kind::claim)
            {
                unwritten.push_back(std::move(op));
                continue;
            }
            op.result_.set_value({});
            if (p_may_have_written)
            {
                operation rollback;
                rollback.kind_ = operation_kind::release;
                rollback.entry_ = op.entry_;
                rollback.record_ = op.record_;
                unwritten.push_back(std::move(rollback));
            }
        }
        r_batch = std::move(unwritten);
    }

    /// Fails a claim; logs and counts any other operation, which stays
    /// unwritten. Requires the lock.
    void drop(const std::string& p_object, operation& r_op)
    {
        if (r_op.kind_ == operation_kind::claim)
        {
            r_op.result_.set_value({});
            return;
        }
        ++dropped_writes_;
        log_event(log_level::error, "claim.unwritten")
            .with("object", p_object)
            .with("entry", r_op.entry_)
            .with("operation",
                  r_op.kind_ == operation_kind::finish ? "finish" : "release");
    }

    Store& store_;
    mutable std::mutex mutex_;
    std::condition_variable work_available_;
    std::map<std::string, segment_state> segments_;
    std::vector<std::thread> threads_;
    std::size_t pending_writes_ = 0;
    std::size_t dropped_writes_ = 0; ///< Operations that a stop left unwritten.
    std::minstd_rand random_{std::random_device{}()};
    /// Commits that still read the segment before writing it; set by conflicts.
    std::atomic<int> read_first_commits_{0};
    bool stopping_ = false;
    std::chrono::steady_clock::time_point stop_deadline_{};
};

} // namespace peridotspar
