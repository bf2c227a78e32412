#pragma once

#include "core/clock.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace peridotspar::dispatch
{

/// What a server last said of its limit, for peers.
struct limit_report
{
    std::string server_; ///< Key of the server's run.
    /// Requests a second that it takes from all nodes together; nothing if it
    /// names no limit any more.
    std::optional<double> per_s_;
    time_point said_at_{};
};

/// Keeps the limits that servers name on the requests a second that they take
/// from all nodes together.
///
/// A request to such a server needs a permit. Permits are issued by one node,
/// the server's home, which all nodes choose alike by the hash of server and
/// node. It issues them at the rate of the limit and saves up hardly any, so a
/// new home, or two homes while nodes disagree on who is live, add little. A
/// node without a permit asks the home when it has a request for the server;
/// the most urgent asking node comes first. A permit that isn't used soon is
/// lost, and so is one whose message is lost.
///
/// When a server names no limit any more, the rate doubles each second for a
/// while before the limit ends. It has no clock and does no I/O; the caller
/// carries the messages. Not thread-safe.
class server_limits
{
public:
    /// A node that has a request for a server, and its priority; 0 is the
    /// highest.
    struct permit_request
    {
        std::string home_; ///< Address of the node that is asked.
        std::string server_;
        unsigned priority_ = 0;
    };
    struct permits
    {
        std::string node_; ///< Address of the node that gets them.
        std::string server_;
        unsigned count_ = 1;
    };

    /// Sets the addresses of this node and of the live others.
    void set_nodes(std::string p_self, std::vector<std::string> p_others);
    /// Records what a response of a server said: a limit or none.
    void record_response(const std::string& p_server,
                         std::optional<double> p_per_s, time_point p_now);
    /// Takes over what a server said to a peer later than to this node.
    void merge(const limit_report& p_report, time_point p_now);

    /// Number of servers with a limit, those included whose limit is lifted.
    [[nodiscard]] std::size_t count() const { return limits_.size(); }
    /// Whether a request may go to the server now.
    [[nodiscard]] bool may_send(const std::string& p_server,
                                time_point p_now) const;
    /// A request would go to the server if there were a permit.
    void request_permit(const std::string& p_server, unsigned p_priority,
                        time_point p_now);
    /// Uses up a permit for a request that is sent.
    void record_sent(const std::string& p_server);
    /// Mean time between the permits of one node if all want them;
    /// nothing if the server isn't limited.
    [[nodiscard]] std::optional<duration>
    permit_interval(const std::string& p_server, time_point p_now) const;

    /// Another node asks this one for a permit.
    void receive_request(const std::string& p_node, const std::string& p_server,
                         unsigned p_priority, time_point p_now);
    /// The home issued permits to this node.
    void receive_permits(const std::string& p_server, unsigned p_count,
                         time_point p_now);
    /// Asks for permits and issues those that are due. Call regularly, some
    /// times in 100 ms.
    void tick(time_point p_now);
    /// Requests for permits to send to homes; each is repeated while it is
    /// wanted and not answered.
    [[nodiscard]] std::vector<permit_request> take_requests();
    /// Permits to send to other nodes.
    [[nodiscard]] std::vector<permits> take_permits();
    /// What servers said to this node itself; peers should have it regularly.
    /// Reports of peers aren't handed on, as they would seem later each time.
    [[nodiscard]] std::vector<limit_report> reports() const;
    /// Returns whether a limit changed of which peers should learn at once, and
    /// resets that.
    [[nodiscard]] bool take_news();

private:
    struct asking_node
    {
        unsigned priority_ = 0;
        time_point asked_at_{};
    };
    struct limit
    {
        /// The last limit that the server named.
        double named_per_s_ = 0;
        time_point said_at_{};
        bool said_here_ = false; ///< To this node, not to a peer.
        /// Since when it names none; the limit is being lifted.
        std::optional<time_point> lifted_since_;
        // As a node that sends.
        unsigned permits_ = 0;
        time_point permits_until_{};
        std::optional<time_point> wanted_at_;
        unsigned wanted_priority_ = 0;
        time_point asked_home_at_{};
        // As the home.
        std::string home_;
        double saved_permits_ = 0;
        time_point issued_until_{};
        std::map<std::string, asking_node> asking_;
    };
    using limits = std::map<std::string, limit>; ///< By server.

    /// The limit in force, which grows while it is lifted.
    [[nodiscard]] static double rate_of(const limit& p_limit, time_point p_now);
    [[nodiscard]] static bool is_over(const limit& p_limit, time_point p_now);
    [[nodiscard]] std::string find_home(const std::string& p_server) const;
    void set(const limit_report& p_said, bool p_said_here, time_point p_now);
    /// Asks the server's home for a permit if one is wanted.
    void ask_home(const std::string& p_server, limit& r_limit,
                  time_point p_now);
    void issue(const std::string& p_server, limit& r_limit, time_point p_now);

    limits limits_;
    std::string self_;
    std::vector<std::string> others_;
    std::vector<permit_request> requests_to_send_;
    std::vector<permits> permits_to_send_;
    bool has_news_ = false;
};

} // namespace peridotspar::dispatch
