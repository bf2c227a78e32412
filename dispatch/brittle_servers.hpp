#pragma once

#include "core/clock.hpp"

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace peridotspar::dispatch
{

/// What a node knows of a brittle server, for its peers.
struct brittle_report
{
    std::string server_; ///< Key of the server's run.
    /// More requests than this in a second that it has to turn away make it
    /// fall over; nothing if it isn't brittle any more.
    std::optional<double> max_rejected_per_s_;
    time_point said_at_{}; ///< When it last said so to this node.
    /// Requests that it turned away from this node since the last report.
    unsigned rejected_ = 0;
};

/// Keeps requests from servers that would fall over if they had to turn away
/// too many.
///
/// All nodes tell each other at once what such a server turned away. Once that
/// is half of what it bears in a second, no node sends it any request until a
/// second after the last one. The other half is left for requests that are
/// under way when the news is. Besides, a node keeps the number of its requests
/// at the server at what ran there when one was turned away, and raises it
/// slowly: all nodes' attempts to do so use a part of what the server bears. It
/// has no clock and does no I/O. Not
/// thread-safe.
class brittle_servers
{
public:
    void set_node_count(std::size_t p_node_count)
    {
        node_count_ = p_node_count;
    }
    /// Records whether a server's response said that it is brittle.
    void record_response(const std::string& p_server,
                         std::optional<double> p_max_rejected_per_s,
                         time_point p_now);
    /// A server turned away a request of this node for want of room, while
    /// `p_own_requests` others of this node ran there.
    void record_rejected(const std::string& p_server, unsigned p_own_requests,
                         time_point p_now);
    void merge(const brittle_report& p_report, time_point p_now);

    [[nodiscard]] std::size_t count() const { return servers_.size(); }
    [[nodiscard]] bool is_brittle(const std::string& p_server) const
    {
        return servers_.contains(p_server);
    }
    /// Whether a request may go there beside `p_own_requests` of this node.
    [[nodiscard]] bool may_send(const std::string& p_server,
                                unsigned p_own_requests,
                                time_point p_now) const;
    /// How long the server has to be spared after what it turned away.
    [[nodiscard]] duration pause(const std::string& p_server,
                                 time_point p_now) const;
    /// Forgets what is too old. Call regularly.
    void tick(time_point p_now);
    /// What servers said to this node itself, and what they turned away from it
    /// since the last call.
    [[nodiscard]] std::vector<brittle_report> take_reports();
    /// Returns whether peers should have the reports at once, and resets that.
    [[nodiscard]] bool take_news();

private:
    struct server
    {
        double max_rejected_per_s_ = 0;
        time_point said_at_{};
        bool said_here_ = false;
        /// When requests of any node were turned away; the last second's.
        std::deque<time_point> rejected_at_;
        unsigned unreported_ = 0;
        /// This node's requests that the server had room for.
        std::optional<unsigned> room_;
        time_point room_found_at_{};
    };
    /// An ended brittleness that peers may not know of yet.
    struct ended
    {
        time_point said_at_{};
        bool said_here_ = false;
    };
    void set(const std::string& p_server,
             std::optional<double> p_max_rejected_per_s, time_point p_said_at,
             bool p_said_here);
    [[nodiscard]] static std::size_t count_rejected(const server& p_server,
                                                    time_point p_now);

    std::map<std::string, server> servers_; ///< By key of the run.
    std::map<std::string, ended> ended_;
    std::size_t node_count_ = 1;
    bool has_news_ = false;
};

} // namespace peridotspar::dispatch
