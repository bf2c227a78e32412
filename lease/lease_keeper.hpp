#pragma once

#include "core/clock.hpp"
#include "lease/lease_record.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace peridotspar
{

/// One call to the store.
struct lease_call
{
    enum class kind
    {
        read,
        create, ///< Succeeds only if there is no record.
        replace ///< Succeeds only if the record has the revision `revision_`.
    };
    kind kind_ = kind::read;
    std::uint64_t id_ = 0;
    std::uint64_t revision_ = 0;
    lease_record record_; ///< With create and replace.
};

/// Result of a call to the store.
struct lease_answer
{
    enum class kind
    {
        found,    ///< Of a read.
        absent,   ///< There is no record; a replace wasn't done.
        written,  ///< The create or replace succeeded.
        conflict, ///< The condition of the write didn't hold.
        failed,   ///< Definitely not done.
        unknown   ///< May be done already, or may still be done seconds later.
    };
    kind kind_ = kind::failed;
    std::uint64_t revision_ = 0; ///< Of the record found or written.
    /// With found; with conflict if the store returned it.
    std::optional<lease_record> record_;
};

struct lease_options
{
    std::string node_; ///< Name of this node; the same after a restart.
    std::string run_;  ///< Identifies this process; differs after a restart.
    duration lifetime_{};
    /// No action starts when less than this is left of the lease.
    duration margin_{};
    /// Between the reads of a candidate that doesn't hold the lease.
    duration poll_interval_{};
    duration renew_interval_{};
};

/// What the keeper does, for logs and metrics.
enum class lease_state
{
    idle,       ///< Not a candidate.
    following,  ///< Candidate without the lease.
    acquiring,  ///< The result of a takeover isn't known yet.
    holding,    ///< Holds the lease.
    confirming, ///< Needs a confirmed write before it may act again.
    releasing,  ///< No longer acts; the release isn't confirmed yet.
    stopped     ///< After `give_back`.
};

/// Acquires, renews and releases a lease with a fencing token whose record is
/// one object in a store with conditional writes. It does no I/O and has no
/// clock: the owner performs the calls that `next` returns. All times are of
/// the boot clock. Not thread-safe.
class lease_keeper
{
public:
    explicit lease_keeper(lease_options p_options);

    /// Whether this node may acquire the lease. A holder that is no longer a
    /// candidate stops acting and releases the lease.
    void set_candidate(bool p_candidate);
    /// Sets the highest token that a peer has named; never lowered. A holder
    /// with a lower token stops acting.
    void set_known_token(std::uint64_t p_token);
    /// Sets the payload of the next write, which is due at once if the payload
    /// differs from the stored one. Ignored without the lease: a new holder
    /// begins with the payload of the record and must load it from
    /// `payload_in_store` when `token` changes, before it sets a new one.
    void set_payload(std::string p_payload);
    /// Planned stop: stops acting at once, releases the lease and never
    /// acquires it again. Call it when no action is in progress.
    void give_back();
    /// The store came back from an older copy: known revisions are invalid.
    /// Call it before passing on the first answer from the store after the
    /// reset: a revision that was given out again can't be told from the old
    /// one.
    void on_store_reset();

    /// The call to perform now, if any; at most one is in flight. Call it every
    /// few milliseconds. `p_unix_s`: seconds since the Unix epoch. Tokens may
    /// decrease after a store reset if no live node knows the last one and this
    /// time is behind that of the last holder.
    [[nodiscard]] std::optional<lease_call> next(time_point p_now,
                                                 std::uint64_t p_unix_s);
    /// Takes the result of a call. Every call needs one; `unknown` is always
    /// correct. Ignored if the call isn't in flight.
    void on_answer(std::uint64_t p_id, const lease_answer& p_answer,
                   time_point p_now);

    /// Whether an action may start. Check it before each action and again
    /// before each retry.
    [[nodiscard]] bool may_act(time_point p_now) const;
    /// An action that hasn't finished by then must be aborted. The epoch of the
    /// clock if the lease is not held.
    [[nodiscard]] time_point acts_until() const;
    /// The fencing token; 0 if the lease is not held, as of the last call of
    /// `next` or `on_answer`.
    [[nodiscard]] std::uint64_t token() const;
    /// The highest token that this node has seen in the store or that a peer
    /// has named. Naming it to peers keeps it known if its holder is gone.
    [[nodiscard]] std::uint64_t highest_token() const;
    /// The payload of the last record that was confirmed under this node's
    /// token; empty if the lease is not held.
    [[nodiscard]] const std::string& payload_in_store() const;
    [[nodiscard]] bool holds(time_point p_now) const;
    [[nodiscard]] lease_state state() const;

private:
    /// A write that was sent, with the time of sending.
    struct sent_write
    {
        lease_record record_;
        std::uint64_t condition_ = 0; ///< Revision that it replaces.
        time_point sent_at_{};
    };
    struct sent_call
    {
        lease_call call_;
        time_point sent_at_{};
        bool is_void_ = false; ///< The store was reset in the meantime.
    };
    /// The record as a node without the lease last saw it.
    struct sighting
    {
        std::uint64_t revision_ = 0;
        std::optional<lease_record> record_; ///< Absent: there is no record.
        time_point since_{};                 ///< First seen like this.
    };

    [[nodiscard]] bool is_leaving() const { return stopping_ || !candidate_; }
    [[nodiscard]] bool is_superseded() const;
    /// Whether this node may act, apart from the time.
    [[nodiscard]] bool is_active() const;
    [[nodiscard]] duration retry_interval() const;

    std::optional<lease_call> next_as_holder(time_point p_now);
    std::optional<lease_call> next_as_follower(time_point p_now,
                                               std::uint64_t p_unix_s);
    std::optional<lease_call> next_while_leaving(time_point p_now);
    [[nodiscard]] bool may_take_over(time_point p_now) const;
    [[nodiscard]] bool may_take_over_at_once(time_point p_now) const;

    lease_call send(lease_call::kind p_kind, std::uint64_t p_revision,
                    lease_record p_record, time_point p_now);
    lease_call send_read(time_point p_now);
    lease_call send_marker(time_point p_now);
    lease_call send_takeover(time_point p_now, std::uint64_t p_unix_s);
    lease_call send_renewal(time_point p_now);
    lease_call send_release(time_point p_now);

    void on_read_answer(const lease_answer& p_answer, time_point p_now);
    void on_write_answer(const sent_call& p_sent, const lease_answer& p_answer,
                         time_point p_now);
    void on_conflict(const lease_answer& p_answer, time_point p_now);
    void on_found(std::uint64_t p_revision, const lease_record& p_record,
                  time_point p_now);
    void on_absent(time_point p_now);
    bool confirm_unresolved(std::uint64_t p_revision,
                            const lease_record& p_record, time_point p_now);
    void confirm(const sent_write& p_write, std::uint64_t p_revision,
                 time_point p_now);
    void check_ownership(std::uint64_t p_revision, const lease_record& p_record,
                         time_point p_now);
    void observe(std::uint64_t p_revision,
                 const std::optional<lease_record>& p_record, time_point p_now);
    void remember(const lease_record& p_record);
    void lose(time_point p_now);
    void start_waits(time_point p_now);

    lease_options options_;
    bool candidate_ = false;
    bool stopping_ = false;
    std::uint64_t known_token_ = 0; ///< Highest that a peer has named.

    std::uint64_t last_id_ = 0;
    std::optional<sent_call> in_flight_;
    /// Writes of the lease that may be done already or may still be done.
    std::vector<sent_write> unresolved_;
    bool must_read_ = true; ///< Nothing is written before the next read.
    time_point next_read_at_{};
    time_point next_write_at_{};

    /// The last record confirmed as this node's; also kept after its expiry,
    /// until the store shows another record.
    std::optional<lease_record> own_;
    std::uint64_t own_revision_ = 0;
    time_point held_until_{};
    time_point acquired_at_{};
    time_point renew_at_{};
    bool expired_ = false;      ///< By this node's clock.
    bool must_confirm_ = false; ///< After a store reset.
    /// A release was sent and no later write is confirmed, so another node may
    /// hold the lease already.
    bool may_be_released_ = false;
    std::string payload_; ///< To be stored.

    std::optional<sighting> seen_;
    /// Of the highest revision, token and number of writes seen.
    std::uint64_t last_revision_ = 0;
    std::uint64_t highest_token_ = 0;
    std::uint64_t last_renewals_ = 0;
    lease_record newest_; ///< By token, then by number of writes.
    /// Until then a released record isn't taken over at once. The wait starts
    /// with this process, a store reset and the loss of the lease.
    time_point no_quick_takeover_until_{};
    bool waits_due_ = true; ///< The wait starts at the next known time.
};

} // namespace peridotspar
