#pragma once

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

/// What came of asking for a claim.
struct claim_result
{
    enum class kind : std::uint8_t
    {
        granted,     ///< The claim is in the store, and it is the caller's.
        taken,       ///< Another attempt holds it; `record_` tells.
        unavailable, ///< It could not be made; nothing may be sent.
    };
    kind kind_ = kind::unavailable;
    claim_record record_;
};

/// Writes claims to the store. Claims of one segment that come while a write
/// of it is under way share the next write (group commit).
///
/// A write whose answer was lost is resolved by reading the segment back and
/// looking for the claim's own nonce. Any thread may call it.
template <object_api Store>
class claim_committer
{
public:
    claim_committer(Store& r_store, std::size_t p_threads) : store_(r_store)
    {
        for (std::size_t i = 0; i < p_threads; ++i)
        {
            threads_.emplace_back([this] { run(); });
        }
    }

    ~claim_committer() { stop(); }
    claim_committer(const claim_committer&) = delete;
    claim_committer& operator=(const claim_committer&) = delete;

    /// Asks for a claim and waits for the outcome.
    claim_result claim(const claim_place& p_place, const std::string& p_nonce,
                       const std::string& p_body_hash)
    {
        operation wanted;
        wanted.kind_ = operation_kind::claim;
        wanted.entry_ = p_place.entry_;
        wanted.record_ = {p_nonce, p_body_hash, std::nullopt};
        auto result = wanted.result_.get_future();
        submit(p_place.object_, std::move(wanted));
        return result.get();
    }

    /// Records an answer, in the background, until the store has it.
    void finish(const claim_place& p_place, const std::string& p_nonce,
                recorded_answer p_answer)
    {
        operation wanted;
        wanted.kind_ = operation_kind::finish;
        wanted.entry_ = p_place.entry_;
        wanted.record_ = {p_nonce, {}, std::move(p_answer)};
        submit(p_place.object_, std::move(wanted));
    }

    /// Gives a claim back for which nothing was sent, in the background.
    void release(const claim_place& p_place, const std::string& p_nonce)
    {
        operation wanted;
        wanted.kind_ = operation_kind::release;
        wanted.entry_ = p_place.entry_;
        wanted.record_.nonce_ = p_nonce;
        submit(p_place.object_, std::move(wanted));
    }

    /// Answers and releases that the store doesn't have yet.
    [[nodiscard]] std::size_t unwritten() const
    {
        std::lock_guard lock(mutex_);
        return open_;
    }

    void stop()
    {
        {
            std::lock_guard lock(mutex_);
            stopping_ = true;
        }
        work_.notify_all();
        for (auto& thread : threads_)
        {
            thread.join();
        }
        threads_.clear();
        for (auto& [name, state] : segments_)
        {
            fail_claims(state.waiting_);
        }
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
        std::uint32_t tries_ = 0;
    };
    struct segment_state
    {
        std::vector<operation> waiting_;
        bool busy_ = false;
        std::chrono::steady_clock::time_point not_before_{};
        unsigned failures_ = 0; ///< Commits in a row that left something.
        std::uint64_t version_ = 0;
        claim_segment known_; ///< As of `version_`.
    };

    static constexpr std::uint32_t most_tries = 6;
    static constexpr std::size_t most_segments = 64;
    static constexpr std::chrono::milliseconds retry_pause{300};
    /// Commits without a conflict after which writes are tried first again.
    static constexpr int contended_memory = 20;

    void submit(const std::string& p_object, operation p_operation)
    {
        {
            std::lock_guard lock(mutex_);
            if (stopping_)
            {
                p_operation.result_.set_value({});
                return;
            }
            segments_[p_object].waiting_.push_back(std::move(p_operation));
            ++open_;
        }
        work_.notify_one();
    }

    void run()
    {
        std::unique_lock lock(mutex_);
        while (true)
        {
            const auto next = next_segment();
            if (next == segments_.end())
            {
                if (stopping_)
                {
                    return;
                }
                work_.wait_for(lock, retry_pause);
                continue;
            }
            const std::string name = next->first;
            next->second.busy_ = true;
            std::vector<operation> batch = std::move(next->second.waiting_);
            next->second.waiting_.clear();
            lock.unlock();
            commit(name, next->second, batch);
            lock.lock();
            settle(next->second, batch);
            forget_old_segments();
        }
    }

    /// Puts back what could not be written, and counts what could.
    void settle(segment_state& r_state, std::vector<operation>& r_left)
    {
        open_ = 0;
        if (!r_left.empty())
        {
            r_state.not_before_ = std::chrono::steady_clock::now() +
                                  pause_after(r_state.failures_++);
        }
        else
        {
            r_state.failures_ = 0;
        }
        for (auto& left : r_left)
        {
            r_state.waiting_.push_back(std::move(left));
        }
        r_left.clear();
        r_state.busy_ = false;
        for (const auto& [name, state] : segments_)
        {
            open_ += state.waiting_.size() + (state.busy_ ? 1 : 0);
        }
    }

    /// Grows with the failures and is spread, so that the end of an outage
    /// isn't a burst of calls. Claims don't wait for it.
    std::chrono::milliseconds pause_after(unsigned p_failures)
    {
        constexpr unsigned most_doublings = 5;
        const auto longest =
            retry_pause * (1U << std::min(p_failures, most_doublings));
        std::uniform_int_distribution<std::int64_t> spread(longest.count() / 2,
                                                           longest.count());
        return std::chrono::milliseconds(spread(random_));
    }

    auto next_segment()
    {
        const auto now = std::chrono::steady_clock::now();
        auto next = segments_.begin();
        for (; next != segments_.end(); ++next)
        {
            const segment_state& state = next->second;
            const bool claims_wait = std::any_of(
                state.waiting_.begin(), state.waiting_.end(),
                [](const operation& p_operation)
                { return p_operation.kind_ == operation_kind::claim; });
            if (!state.busy_ && !state.waiting_.empty() &&
                (claims_wait || state.not_before_ <= now || stopping_))
            {
                break;
            }
        }
        return next;
    }

    void forget_old_segments()
    {
        // Names start with their time, so the first ones are the oldest.
        for (auto i = segments_.begin();
             i != segments_.end() && segments_.size() > most_segments;)
        {
            const bool idle = !i->second.busy_ && i->second.waiting_.empty();
            i = idle ? segments_.erase(i) : std::next(i);
        }
    }

    /// Writes a batch. What can't be written now is left in `r_batch`;
    /// claims never are, since their callers wait.
    void commit(const std::string& p_name, segment_state& r_state,
                std::vector<operation>& r_batch)
    {
        // After a lost answer the store's state is only known by reading.
        bool may_have_written = false;
        for (std::uint32_t i = 0; i < most_tries; ++i)
        {
            // Where others write as well, a read first costs less than a
            // write that fails.
            const bool was_read = i > 0 || contended_.load() > 0;
            if (was_read && !read(p_name, r_state))
            {
                break;
            }
            claim_segment next = r_state.known_;
            const bool changes = apply(next, r_batch);
            if (!changes && was_read)
            {
                answer(r_state.known_, r_batch);
                return;
            }
            if (!changes)
            {
                // What is remembered may be out of date; nothing is settled
                // on it without a look at the store.
                continue;
            }
            const auto written =
                store_.put(p_name, r_state.version_, next.serialize());
            if (written)
            {
                contended_ = std::max(0, contended_.load() - 1);
                r_state.version_ = *written;
                r_state.known_ = std::move(next);
                answer(r_state.known_, r_batch);
                return;
            }
            if (written.error().kind_ == store_error_kind::conflict)
            {
                contended_ = contended_memory;
            }
            if (written.error().kind_ == store_error_kind::throttled)
            {
                std::this_thread::sleep_for(retry_pause);
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
        r_state.known_ = {};
        abandon_claims(r_batch, may_have_written);
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
        r_state.known_ = std::move(*parsed);
        return true;
    }

    /// Applies the operations that still have an effect; whether any has.
    static bool apply(claim_segment& r_segment,
                      const std::vector<operation>& p_batch)
    {
        bool changes = false;
        for (const auto& wanted : p_batch)
        {
            switch (wanted.kind_)
            {
            case operation_kind::claim:
                changes |= r_segment.add(wanted.entry_, wanted.record_);
                break;
            case operation_kind::finish:
            {
                const auto* held = r_segment.find(wanted.entry_);
                if (held != nullptr && !held->answer_)
                {
                    changes |=
                        r_segment.finish(wanted.entry_, wanted.record_.nonce_,
                                         *wanted.record_.answer_);
                }
                break;
            }
            case operation_kind::release:
                changes |=
                    r_segment.release(wanted.entry_, wanted.record_.nonce_);
                break;
            }
        }
        return changes;
    }

    /// Tells each claim who holds its entry in the segment as written.
    static void answer(const claim_segment& p_segment,
                       std::vector<operation>& r_batch)
    {
        for (auto& wanted : r_batch)
        {
            if (wanted.kind_ != operation_kind::claim)
            {
                continue;
            }
            const auto* held = p_segment.find(wanted.entry_);
            const bool own =
                held != nullptr && held->nonce_ == wanted.record_.nonce_;
            wanted.result_.set_value(
                {own ? claim_result::kind::granted : claim_result::kind::taken,
                 held == nullptr ? claim_record{} : *held});
        }
        r_batch.clear();
    }

    /// Tells claims that they failed. One that may be in the store all the
    /// same is released later; its caller will have been told "not run".
    static void abandon_claims(std::vector<operation>& r_batch,
                               bool p_may_have_written)
    {
        std::vector<operation> left;
        for (auto& wanted : r_batch)
        {
            if (wanted.kind_ != operation_kind::claim)
            {
                left.push_back(std::move(wanted));
                continue;
            }
            wanted.result_.set_value({});
            if (p_may_have_written)
            {
                operation undo;
                undo.kind_ = operation_kind::release;
                undo.entry_ = wanted.entry_;
                undo.record_ = wanted.record_;
                left.push_back(std::move(undo));
            }
        }
        r_batch = std::move(left);
    }

    static void fail_claims(std::vector<operation>& r_batch)
    {
        for (auto& wanted : r_batch)
        {
            if (wanted.kind_ == operation_kind::claim)
            {
                wanted.result_.set_value({});
            }
        }
        r_batch.clear();
    }

    Store& store_;
    mutable std::mutex mutex_;
    std::condition_variable work_;
    std::map<std::string, segment_state> segments_;
    std::vector<std::thread> threads_;
    std::size_t open_ = 0;
    std::minstd_rand random_{std::random_device{}()};
    std::atomic<int> contended_{0};
    bool stopping_ = false;
};

} // namespace peridotspar
