#pragma once

#include "core/clock.hpp"
#include "usage/usage_count.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace peridotspar
{

/// Counts the requests that began on this node, by window and account, and
/// selects the counts that each collector doesn't know yet. Has no clock. Not
/// thread-safe.
class usage_counter
{
public:
    /// The last windows that are kept, for collectors that start late.
    static constexpr std::size_t max_windows = 5;
    /// Accounts that are counted in one window.
    static constexpr std::size_t max_accounts = 2000;
    /// Counts returned by one call of `due`, so that a datagram stays under
    /// 16 KB.
    static constexpr std::size_t max_counts_per_call = 400;

    explicit usage_counter(duration p_window);
    /// Counts a request that a server began at `p_unix_ms`, in milliseconds of
    /// true time since the Unix epoch.
    void record_begin(const std::string& p_account, std::int64_t p_unix_ms);
    /// Counts to send to a collector now: those that changed since they were
    /// last returned for it, at most 4 times a second, and all of a window
    /// again 0.3 s and 1.2 s after its end. A collector that is seen for the
    /// first time gets all windows that are kept, and again after these times.
    /// At most 400 counts are returned; the rest follows at later calls.
    /// `p_collector` must identify the process of the collector, because a
    /// restarted one has no counts.
    [[nodiscard]] std::vector<usage_count> due(const std::string& p_collector,
                                               time_point p_now,
                                               std::int64_t p_unix_ms);
    /// Forgets all collectors that are not in the list.
    void forget_absent(const std::vector<std::string>& p_collectors);
    /// Requests that were not counted because of the limit on accounts.
    [[nodiscard]] std::uint64_t left_out() const { return left_out_; }
    /// Number of pairs of window and account that are kept.
    [[nodiscard]] std::size_t kept_counts() const;

private:
    struct account_count
    {
        std::uint64_t requests_ = 0;
        std::uint64_t changed_at_ = 0; ///< Value of `changes_` at the time.
    };
    struct window_counts
    {
        std::map<std::string, account_count> accounts_;
        std::uint64_t changed_at_ = 0;
    };
    /// The resending of a window to a collector.
    struct resend_state
    {
        std::size_t begun_ = 0; ///< How many times it has begun.
        /// The account to continue with; nothing if none is under way.
        std::optional<std::string> next_account_;
    };
    struct collector_state
    {
        time_point next_send_{};
        std::int64_t first_seen_ms_ = 0;
        std::uint64_t sent_ = 0; ///< Changes up to this one were returned.
        std::map<window_id, resend_state> resends_;
    };

    window_counts& window_of(window_id p_id);
    void drop_farthest_window(window_id p_from);
    void begin_resends(collector_state& r_state, std::int64_t p_unix_ms) const;
    void add_changes(collector_state& r_state,
                     std::vector<usage_count>& r_counts) const;
    void add_resends(collector_state& r_state, std::uint64_t p_changes_after,
                     std::vector<usage_count>& r_counts) const;
    void add_resend(window_id p_id, resend_state& r_resend,
                    std::uint64_t p_changes_after,
                    std::vector<usage_count>& r_counts) const;

    duration window_;
    std::map<window_id, window_counts> windows_;
    std::map<std::string, collector_state> collectors_;
    std::uint64_t changes_ = 0; ///< Requests counted so far.
    std::uint64_t left_out_ = 0;
};

} // namespace peridotspar
