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
struct lease_timing
{
    duration lifetime_ = std::chrono::seconds(9);
    /// A holder stops this long before its lease ends.
    duration safety_margin_ = std::chrono::seconds(1);
    /// What a new holder waits further before it gives orders to a receiver
    /// that doesn't check fencing numbers.
    duration takeover_delay_ = std::chrono::seconds(5);
};

/// Holds or seeks one lease in the store, for a duty that one node does for
/// all.
///
/// No clocks are compared between nodes: a lease counts as lapsed once its
/// object has kept one version for its whole lifetime on the seeker's clock.
/// The object's version is the fencing number. One thread calls `step`;
/// `is_held` may be called by the same thread only.
template <object_api Store, runtime_clock Clock>
class lease_client
{
public:
    lease_client(Store& r_store, const Clock& p_clock, std::string p_object,
                 node_id p_self, lease_timing p_timing = {})
        : store_(r_store),
          clock_(p_clock),
          object_(std::move(p_object)),
          self_(std::move(p_self)),
          timing_(p_timing)
    {
    }

    /// Renews or seeks the lease; call it a few times a lifetime.
    void acquire_or_renew()
    {
        // The lease runs from before the call, which may take long.
        const time_point requested_at = clock_.now();
        if (lease_version_ != 0)
        {
            renew(requested_at);
            return;
        }
        const auto stored = store_.get(object_);
        if (!stored)
        {
            return;
        }
        if (!observed_ || observed_version_ != stored->version_)
        {
            observed_ = true;
            observed_version_ = stored->version_;
            observed_at_ = clock_.now();
        }
        const bool is_unheld = stored->version_ == 0 || stored->value_.empty();
        const bool is_expired =
            clock_.now() - observed_at_ >= timing_.lifetime_;
        if (is_unheld || is_expired)
        {
            acquire(stored->version_, requested_at, is_unheld);
        }
    }

    /// Whether an act may be done now. Check it before each one: a holder
    /// that was paused finds that its time is over.
    [[nodiscard]] bool is_held() const
    {
        return lease_version_ != 0 && clock_.now() < renewed_at_ +
                                                         timing_.lifetime_ -
                                                         timing_.safety_margin_;
    }

    /// The same for receivers that ignore fencing numbers: a holder that took
    /// over from another first waits out that one's possible pause.
    [[nodiscard]] bool may_act_without_fencing() const
    {
        return is_held() && clock_.now() >= act_without_fencing_at_;
    }

    /// The fencing number to send along; 0 without the lease.
    [[nodiscard]] std::uint64_t fencing_token() const
    {
        return is_held() ? fencing_token_ : 0;
    }

    /// Gives the lease back, so that the next holder needn't wait.
    void release()
    {
        if (lease_version_ != 0)
        {
            (void)store_.put(object_, lease_version_, "");
        }
        lease_version_ = 0;
    }

private:
    void renew(time_point p_requested_at)
    {
        if (!is_held())
        {
            // It lapsed; somebody else may hold it by now.
            lease_version_ = 0;
            observed_ = false;
            return;
        }
        const auto written = store_.put(object_, lease_version_, self_.value());
        if (written)
        {
            lease_version_ = *written;
            renewed_at_ = p_requested_at;
            return;
        }
        if (written.error().kind_ == store_error_kind::unavailable ||
            written.error().kind_ == store_error_kind::throttled)
        {
            return;
        }
        read_back_holder(p_requested_at);
    }

    /// After a lost answer or a conflict: reads who holds the lease.
    void read_back_holder(time_point p_requested_at)
    {
        const auto stored = store_.get(object_);
        if (!stored)
        {
            return;
        }
        if (stored->value_ == self_.value())
        {
            lease_version_ = stored->version_;
            renewed_at_ = p_requested_at;
            return;
        }
        lease_version_ = 0;
        observed_ = false;
    }

    void acquire(std::uint64_t p_version, time_point p_requested_at,
                 bool p_unheld)
    {
        const auto written = store_.put(object_, p_version, self_.value());
        if (!written)
        {
            observed_ = false;
            return;
        }
        lease_version_ = *written;
        fencing_token_ = *written;
        renewed_at_ = p_requested_at;
        act_without_fencing_at_ =
            p_unheld ? p_requested_at : clock_.now() + timing_.takeover_delay_;
    }

    Store& store_;
    const Clock& clock_;
    std::string object_;
    node_id self_;
    lease_timing timing_;
    std::uint64_t lease_version_ = 0; ///< Version of the own last write.
    std::uint64_t fencing_token_ = 0; ///< Grows with each new holder.
    time_point renewed_at_{};
    time_point act_without_fencing_at_{};
    bool observed_ = false;
    std::uint64_t observed_version_ = 0;
    time_point observed_at_{};
};

} // namespace peridotspar
