#pragma once

#include "usage/usage_count.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include <boost/container/flat_map.hpp>

namespace peridotspar
{

/// Counts that a collector did not take, for logs and metrics.
struct usage_left_out
{
    std::uint64_t far_windows_ = 0; ///< More than 10 windows away.
    std::uint64_t invalid_ = 0;     ///< Over 10 million requests, long names.
    std::uint64_t over_limits_ = 0; ///< Beyond windows, accounts, runs, counts.
};

/// Collects the counts of all nodes. Counts may arrive repeatedly, in any order
/// and with gaps: the highest count of each node run is kept. Counts of nodes
/// that have left stay. Has no clock. Not thread-safe.
class usage_collector
{
public:
    static constexpr std::size_t max_windows = 8;
    static constexpr std::size_t max_accounts = 2000;
    static constexpr std::size_t max_runs = 1000;
    /// Pairs of node run and account, over all windows. 11,000 requests per
    /// second make at most 440,000 of them; each takes 8 to 16 bytes.
    static constexpr std::size_t max_counts = 1'000'000;
    static constexpr std::uint64_t max_requests = 10'000'000;
    /// Counts of windows farther than this from the current one are ignored.
    static constexpr std::int64_t max_window_distance = 10;

    /// Tells which window the collector's time is in, and drops windows that
    /// are too far from it. Before the first call, windows of any time are
    /// accepted.
    void set_current(window_id p_window);
    /// Records counts of one run of a node. Invalid counts, and those beyond
    /// the limits, are left out one by one.
    void record(const std::string& p_node, const std::string& p_run,
                const std::vector<usage_count>& p_counts);
    /// Requests by account, over all node runs. Empty if nothing is known.
    [[nodiscard]] std::map<std::string, std::uint64_t>
    totals(window_id p_window) const;
    /// Drops all windows before this one; their counts are ignored from now on.
    void drop_before(window_id p_window);

    [[nodiscard]] const usage_left_out& left_out() const { return left_out_; }
    [[nodiscard]] std::size_t kept_windows() const { return windows_.size(); }
    [[nodiscard]] std::size_t kept_accounts() const { return accounts_.size(); }
    [[nodiscard]] std::size_t kept_runs() const { return runs_.size(); }
    [[nodiscard]] std::size_t kept_counts() const { return kept_counts_; }

private:
    /// Short numbers for names, which are counted by the windows that use them.
    class name_table
    {
    public:
        explicit name_table(std::size_t p_capacity) : capacity_(p_capacity) {}
        [[nodiscard]] std::optional<std::uint16_t>
        find(const std::string& p_name) const;
        [[nodiscard]] bool is_full() const { return size() >= capacity_; }
        std::uint16_t add(const std::string& p_name);
        void add_use(std::uint16_t p_number) { ++names_[p_number].uses_; }
        /// Forgets the name if this was its last use.
        void remove_use(std::uint16_t p_number);
        [[nodiscard]] const std::string& name(std::uint16_t p_number) const
        {
            return names_[p_number].name_;
        }
        [[nodiscard]] std::size_t size() const { return numbers_.size(); }

    private:
        struct entry
        {
            std::string name_;
            std::size_t uses_ = 0;
        };

        std::size_t capacity_;
        std::unordered_map<std::string, std::uint16_t> numbers_;
        std::vector<entry> names_;
        std::vector<std::uint16_t> free_;
    };
    using account_counts =
        boost::container::flat_map<std::uint16_t, std::uint32_t>;
    struct window_counts
    {
        std::map<std::uint16_t, account_counts> runs_;
        std::map<std::uint16_t, std::uint64_t> totals_; ///< By account.
    };

    void record_count(const std::string& p_run_key, const usage_count& p_count);
    [[nodiscard]] bool is_valid(const usage_count& p_count) const;
    [[nodiscard]] bool is_near(window_id p_window) const;
    [[nodiscard]] bool has_room(window_id p_window,
                                std::optional<std::uint16_t> p_run,
                                std::optional<std::uint16_t> p_account) const;
    /// Returns nothing if the windows that are kept are nearer to the current
    /// one.
    window_counts* find_or_add_window(window_id p_window);
    [[nodiscard]] std::map<window_id, window_counts>::iterator farthest();
    void drop(std::map<window_id, window_counts>::iterator p_entry);
    void store(window_counts& r_window, std::uint16_t p_run,
               std::uint16_t p_account, std::uint32_t p_requests);

    std::optional<window_id> current_;
    std::optional<window_id> first_; ///< Windows before it were dropped.
    std::map<window_id, window_counts> windows_;
    name_table accounts_{max_accounts};
    name_table runs_{max_runs};
    std::size_t kept_counts_ = 0;
    usage_left_out left_out_;
};

} // namespace peridotspar
