#pragma once

#include "core/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace peridotspar::dispatch
{

/// Why a server is in its slow start.
enum class pace_cause : std::uint8_t
{
    started,   ///< This run of the server is new.
    recovered, ///< It was unhealthy and answers again.
};

/// Answers of a paced server that one node got, cumulative.
struct pace_report
{
    std::string server_key_; ///< Key of the server's run.
    std::uint32_t good_ = 0;
    std::uint32_t bad_ = 0;
};

/// Why pacing ended.
enum class pace_end : std::uint8_t
{
    full_level, ///< The level reached the server's slots.
    time_limit, ///< 10 s passed.
    cancelled,  ///< The caller ended it.
};

/// State of a server's pacing, for logs.
struct pace_status
{
    std::string server_key_;
    pace_cause cause_ = pace_cause::started;
    std::optional<pace_end> end_; ///< Nothing while it is paced.
    unsigned level_ = 0;
    /// Answers of all nodes since pacing began at this node.
    std::uint32_t good_ = 0;
    std::uint32_t bad_ = 0;
};

/// Limits the requests that all nodes together run at a server that has just
/// started or recovered, by how it answers.
///
/// Each node computes the limit, the level, from the answers that it and its
/// peers got. The nodes are ranked by a hash of server and node, and the first
/// `level` of them may run one request each at the server. The level begins at
/// 2. It doubles after as many good answers as the level and halves on a bad
/// one. Bad answers halve the difference between nodes that learned of answers
/// in a different order, so that it doesn't last.
///
/// It has no clock and does no I/O; the caller carries the reports. Not
/// thread-safe, including the const functions.
class server_pace
{
public:
    /// Sets this node's address, as in set_nodes().
    void set_self(std::string p_address);
    /// Sets the live nodes' addresses including this one. All nodes should have
    /// the same list, in any order.
    void set_nodes(std::vector<std::string> p_addresses);

    /// Starts pacing. A server that is already paced stays as it is.
    void begin(const std::string& p_server_key, unsigned p_slots,
               pace_cause p_cause, time_point p_now);
    /// Ends pacing before the level reached the slots.
    void cancel(const std::string& p_server_key, time_point p_now);
    /// Records an answer to this node. `p_good`: the request didn't fail and
    /// the answer took no longer than 1.5 times the expected time. Answers of
    /// servers that aren't paced are ignored.
    void record_answer(const std::string& p_server_key, bool p_good,
                       time_point p_now);
    /// Replaces the peer's earlier report. A report with lower counts is out of
    /// date and ignored. Reports of a server that isn't paced here are kept for
    /// the case that its pacing begins here, too.
    void record_peer(const std::string& p_peer, const pace_report& p_report,
                     time_point p_now);
    /// This node's counts of servers whose pacing is under way or ended within
    /// the last second, at most 32; those that changed since the last call come
    /// first. Counts are cumulative, so that a lost message doesn't matter.
    [[nodiscard]] std::vector<pace_report> take_reports(time_point p_now);
    /// Returns whether this node's counts changed, and resets that.
    [[nodiscard]] bool take_news();
    /// The servers whose pacing began or ended since the last call. Call
    /// regularly.
    [[nodiscard]] std::vector<pace_status> take_changes(time_point p_now);

    /// Whether this node may send one more request to the server.
    /// `p_own`: this node's requests that run there. `p_peers`: those of other
    /// nodes, as far as this node knows.
    [[nodiscard]] bool may_send(const std::string& p_server_key, unsigned p_own,
                                time_point p_now, unsigned p_peers = 0) const;
    /// Limit on the concurrent requests of all nodes. It equals the slots when
    /// pacing is done; for a server that was never paced it is the highest
    /// number.
    [[nodiscard]] unsigned level(const std::string& p_server_key,
                                 time_point p_now) const;
    [[nodiscard]] bool is_paced(const std::string& p_server_key,
                                time_point p_now) const;
    /// Number of servers that are paced, as of the last take_changes().
    [[nodiscard]] std::size_t count() const { return active_; }
    /// Keeps only these servers.
    void forget_absent(const std::set<std::string>& p_server_keys);

private:
    struct counts
    {
        std::uint32_t good_ = 0;
        std::uint32_t bad_ = 0;
    };
    struct pace
    {
        unsigned slots_ = 0; ///< 0 if pacing never began here.
        pace_cause cause_ = pace_cause::started;
        time_point began_at_{};
        std::optional<pace_end> end_;
        time_point ended_at_{};
        /// Good answers that the level stands for; it is the largest power of
        /// two up to this.
        double credit_ = 0;
        /// The number of nodes ranked before this one.
        std::size_t rank_ = 0;
        counts own_;                          ///< Cumulative over all pacings.
        std::map<std::string, counts> peers_; ///< The latest reports.
        counts total_;                        ///< Since pacing began.
        time_point answered_at_{};            ///< The last answer to any node.
        bool has_changed_ = false;            ///< Began or ended; not yet told.
        bool is_unsent_ = false; ///< Own counts that peers don't know.
        /// Since when this node has asked whether it may send, and was refused.
        mutable std::optional<time_point> refused_since_;
        mutable time_point refused_at_{};
    };
    [[nodiscard]] static bool is_active(const pace& p_pace, time_point p_now);
    [[nodiscard]] static unsigned level_of(const pace& p_pace);
    void update_ranks();
    void apply(pace& r_pace, const counts& p_new, time_point p_now);
    void end(pace& r_pace, pace_end p_end, time_point p_now);
    [[nodiscard]] std::size_t rank(const std::string& p_server_key) const;
    /// Nodes beyond the level that may run one request each because the server
    /// has given no answer.
    [[nodiscard]] static std::size_t
    extra_nodes(const pace& p_pace, bool p_is_idle, time_point p_now);

    std::map<std::string, pace> paces_;
    std::string self_;
    std::vector<std::string> nodes_;
    std::size_t active_ = 0;
    bool has_news_ = false;
};

} // namespace peridotspar::dispatch
