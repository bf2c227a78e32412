#pragma once

#include "core/clock.hpp"
#include "core/ids.hpp"
#include "store/object_api.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace peridotspar
{

/// Durations that govern a lease.
struct lease_timing
{
    /// How long the lease lasts after a renewal.
    duration lifetime_ = std::chrono::seconds(9);
    /// How long before the end of the lease its holder stops acting.
    duration safety_margin_ = std::chrono::seconds(1);
    /// How much longer a new holder waits before it acts on a receiver that
    /// does not check fencing tokens, in case the previous holder is only
    /// paused.
    duration takeover_delay_ = std::chrono::seconds(5);
};

/// Acquires and renews one lease in the store, for a task that one node
/// performs for all.
///
/// Clocks of different nodes are never compared: a node considers the lease
/// expired once the version of its object has not changed for the whole
/// lifetime on the node's own clock. The version of the object at acquisition
/// is the fencing token. Not thread-safe: one thread must call all members.
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

    /// Renews the lease if it is held, otherwise tries to acquire it. Call this
    /// several times per lifetime. Blocks for up to two calls to the store.
    void acquire_or_renew()
    {
        // The lifetime counts from before the call, which may take long.
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

    /// Whether the lease is held and not within the safety margin of its end.
    /// Check this before every action, because the lease may have expired while
    /// the process was paused.
    [[nodiscard]] bool is_held() const
    {
        return lease_version_ != 0 && clock_.now() < renewed_at_ +
                                                         timing_.lifetime_ -
                                                         timing_.safety_margin_;
    }

    /// Like `is_held`, for receivers that do not check fencing tokens: after
    /// taking the lease over from another holder, returns false until the
    /// takeover delay has passed, in case the previous holder is only paused.
    [[nodiscard]] bool may_act_without_fencing() const
    {
        return is_held() && clock_.now() >= act_without_fencing_at_;
    }

    /// The fencing token to send with each action; 0 if the lease is not held.
    [[nodiscard]] std::uint64_t fencing_token() const
    {
        return is_held() ? fencing_token_ : 0;
    }

    /// Releases the lease, so that the next holder need not wait for its
    /// expiry.
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
            // The lease has expired, so another node may hold it by now.
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

    /// Reads who holds the lease after a write with a conflict or an unknown
    /// effect.
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
    std::uint64_t lease_version_ = 0; ///< Of the own last write; 0: not held.
    std::uint64_t fencing_token_ = 0; ///< Increases with each new holder.
    time_point renewed_at_{};
    time_point act_without_fencing_at_{};
    bool observed_ = false;
    std::uint64_t observed_version_ = 0;
    time_point observed_at_{};
};

} // namespace peridotspar
