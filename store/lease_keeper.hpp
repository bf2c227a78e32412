#pragma once

#include "core/clock.hpp"
#include "core/ids.hpp"
#include "store/object_api.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace peridotspar
{

/// Times of a lease.
struct lease_terms
{
    duration lifetime_ = std::chrono::seconds(9);
    /// A holder stops this long before its lease ends.
    duration safety_margin_ = std::chrono::seconds(1);
    /// What a new holder waits further before it gives orders to a receiver
    /// that doesn't check fencing numbers.
    duration pause_margin_ = std::chrono::seconds(5);
};

/// Holds or seeks one lease in the store, for a duty that one node does for
/// all.
///
/// No clocks are compared between nodes: a lease counts as lapsed once its
/// object has kept one version for its whole lifetime on the seeker's clock.
/// The object's version is the fencing number. One thread calls `step`;
/// `may_act` may be called by the same thread only.
template <object_api Store, runtime_clock Clock>
class lease_keeper
{
public:
    lease_keeper(Store& r_store, const Clock& p_clock, std::string p_object,
                 node_id p_self, lease_terms p_terms = {})
        : store_(r_store),
          clock_(p_clock),
          object_(std::move(p_object)),
          self_(std::move(p_self)),
          terms_(p_terms)
    {
    }

    /// Renews or seeks the lease; call it a few times a lifetime.
    void step()
    {
        // The lease runs from before the call, which may take long.
        const time_point asked = clock_.now();
        if (fencing_ != 0)
        {
            renew(asked);
            return;
        }
        const auto stored = store_.get(object_);
        if (!stored)
        {
            return;
        }
        if (!seen_ || seen_version_ != stored->version_)
        {
            seen_ = true;
            seen_version_ = stored->version_;
            seen_at_ = clock_.now();
        }
        const bool vacant = stored->version_ == 0 || stored->value_.empty();
        const bool lapsed = clock_.now() - seen_at_ >= terms_.lifetime_;
        if (vacant || lapsed)
        {
            take(stored->version_, asked, vacant);
        }
    }

    /// Whether an act may be done now. Check it before each one: a holder
    /// that was paused finds that its time is over.
    [[nodiscard]] bool may_act() const
    {
        return fencing_ != 0 && clock_.now() < held_from_ + terms_.lifetime_ -
                                                   terms_.safety_margin_;
    }

    /// The same for receivers that ignore fencing numbers: a holder that took
    /// over from another first waits out that one's possible pause.
    [[nodiscard]] bool may_act_unfenced() const
    {
        return may_act() && clock_.now() >= unfenced_from_;
    }

    /// The fencing number to send along; 0 without the lease.
    [[nodiscard]] std::uint64_t fencing() const
    {
        return may_act() ? fencing_at_take_ : 0;
    }

    /// Gives the lease back, so that the next holder needn't wait.
    void give_up()
    {
        if (fencing_ != 0)
        {
            (void)store_.put(object_, fencing_, "");
        }
        fencing_ = 0;
    }

private:
    void renew(time_point p_asked)
    {
        if (!may_act())
        {
            // It lapsed; somebody else may hold it by now.
            fencing_ = 0;
            seen_ = false;
            return;
        }
        const auto written = store_.put(object_, fencing_, self_.value());
        if (written)
        {
            fencing_ = *written;
            held_from_ = p_asked;
            return;
        }
        if (written.error().kind_ == store_error_kind::unavailable ||
            written.error().kind_ == store_error_kind::throttled)
        {
            return;
        }
        resolve(p_asked);
    }

    /// After a lost answer or a conflict: reads who holds the lease.
    void resolve(time_point p_asked)
    {
        const auto stored = store_.get(object_);
        if (!stored)
        {
            return;
        }
        if (stored->value_ == self_.value())
        {
            fencing_ = stored->version_;
            held_from_ = p_asked;
            return;
        }
        fencing_ = 0;
        seen_ = false;
    }

    void take(std::uint64_t p_version, time_point p_asked, bool p_vacant)
    {
        const auto written = store_.put(object_, p_version, self_.value());
        if (!written)
        {
            seen_ = false;
            return;
        }
        fencing_ = *written;
        fencing_at_take_ = *written;
        held_from_ = p_asked;
        unfenced_from_ =
            p_vacant ? p_asked : clock_.now() + terms_.pause_margin_;
    }

    Store& store_;
    const Clock& clock_;
    std::string object_;
    node_id self_;
    lease_terms terms_;
    std::uint64_t fencing_ = 0;         ///< Version of the own last write.
    std::uint64_t fencing_at_take_ = 0; ///< Grows with each new holder.
    time_point held_from_{};
    time_point unfenced_from_{};
    bool seen_ = false;
    std::uint64_t seen_version_ = 0;
    time_point seen_at_{};
};

} // namespace peridotspar
