#pragma once

#include "core/clock.hpp"
#include "core/ids.hpp"
#include "dispatch/engine_model.hpp"
#include "dispatch/paced_starts.hpp"
#include "dispatch/peer_loads.hpp"
#include "dispatch/request_profile.hpp"
#include "dispatch/server_health.hpp"
#include "dispatch/speed_estimator.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace peridotspar::dispatch
{

/// A node's report to its peers of a request that it sent to a server.
struct sent_report
{
    std::string server_;
    std::vector<routing::prompt_part> parts_;
    duration prefill_time_{};
    duration pause_target_{};
    std::uint64_t tokens_ = 0; ///< Expected use of engine memory.
};

/// Parts of prompts that an engine has cached, with their cache keys as ids.
struct cache_report
{
    std::string server_;
    std::vector<routing::prompt_part> parts_;
};

using server_loads = std::map<std::string, server_load>; ///< By id.

/// The server chosen for a request, and what is expected there.
struct assignment
{
    routing::server_entry server_;
    /// IP:PORT of an engine from which the server can fetch cached parts of the
    /// prompt; empty if none.
    std::string fetch_from_;
    duration prefill_time_{}; ///< Engine time to prefill the prompt.
    time_point sent_at_{};
    /// When the first part of the answer is expected.
    time_point expected_answer_at_{};
    bool stream_ = false;
    duration pause_target_{};
    std::uint64_t tokens_ = 0; ///< Expected use of engine memory.
    bool answered_ = false;    ///< The first part of the answer arrived.
    bool was_idle_ = false;    ///< No other prefill was pending at the engine.
    /// Time to the first answer that is expected if the server is as fast as
    /// the others of its service; set only for a paced server.
    std::optional<duration> usual_answer_delay_;
};

enum class send_result : std::uint8_t
{
    answered, ///< The server ran it successfully, or is still running it.
    failed,   ///< The server failed or was silent.
    refused,  ///< The server refused to run it.
    absent,   ///< Nothing, or another server, is at its address.
    dropped,  ///< Cancelled by this node; says nothing about the server.
};

/// The tightest targets of a service over all its routes.
struct service_targets
{
    /// Shortest pause target between events.
    duration shortest_pause_ = duration::max();
    /// Shortest target for the first answer.
    duration shortest_answer_ = duration::max();
    /// Highest priority in use; 0 is the highest.
    unsigned top_priority_ = ~0U;
};

/// The state of one server, including the load by this node and its peers.
struct server_state
{
    routing::server_entry entry_;
    bool is_engine_ = false;
    std::uint64_t memory_tokens_ = 0;
    engine_model model_;
    server_health health_;
    server_load own_load_;
    peer_loads peer_loads_;
    /// Reserved for short prompts while other engines have capacity.
    bool for_short_prompts_ = false;
    /// The server wants no requests from this node until then.
    time_point paused_until_{};
    time_point last_request_{};  ///< When this node last sent it a request.
    time_point last_response_{}; ///< When it last sent anything to this node.
    /// Since when it has done so without a long pause.
    time_point responds_since_{};
    bool stalled_ = false; ///< It has sent nothing since it stalled.

    /// Number of requests of all nodes that run there.
    [[nodiscard]] unsigned running_requests() const;
    /// Engine memory used by the requests of all nodes, in tokens.
    [[nodiscard]] std::uint64_t memory_tokens_in_use() const;
    /// Time until the prefills of all nodes' requests are done.
    [[nodiscard]] duration backlog(time_point p_now) const;
    /// Expected number of streams of all nodes that a pause makes late.
    [[nodiscard]] double expected_late_streams(duration p_pause) const;
};

/// All servers by service, with their state. Not thread-safe.
class server_table
{
public:
    using servers_by_service =
        std::map<routing::service_name, std::vector<server_state*>>;

    /// Replaces the set of servers. Servers that stay keep their state; a
    /// server that was started anew under the same id doesn't. Without a time,
    /// it is not checked for servers whose slow start begins.
    void update(const routing::server_list::entries& p_servers,
                const routing::route_table& p_table,
                std::optional<time_point> p_now = std::nullopt);
    /// The servers in their slow start.
    [[nodiscard]] paced_starts& starts() { return starts_; }
    [[nodiscard]] const paced_starts& starts() const { return starts_; }

    /// The servers of a service; empty if it is unknown.
    [[nodiscard]] const std::vector<server_state*>&
    servers_of(const routing::service_name& p_service) const;
    /// Null if the configuration has no route to the service.
    [[nodiscard]] const service_targets*
    targets(const routing::service_name& p_service) const;
    /// Prefill speed of the service's engines, as estimated so far.
    [[nodiscard]] prefill_speed
    speed_of(const routing::service_name& p_service) const;
    /// Whether the request is a stream with the tightest pause target of its
    /// service.
    [[nodiscard]] bool
    has_tightest_pause(const request_profile& p_request) const;

    /// Records that this node sent a request to a server.
    void record_sent(const request_profile& p_request,
                     const assignment& p_assignment, time_point p_now);
    /// Records the first part of an answer. Sets `r_assignment.answered_`; to
    /// be called once for each send.
    void record_first_answer(const request_profile& p_request,
                             assignment& r_assignment, time_point p_now);
    /// Records the end of a request that `record_sent()` recorded.
    void record_end(const assignment& p_assignment, send_result p_result,
                    time_point p_now);
    /// Records that a server sent a part of a response.
    void record_response(const std::string& p_id, time_point p_now);
    /// How long the server has sent responses since a time, without a long
    /// pause.
    [[nodiscard]] duration responding_time(const std::string& p_id,
                                           time_point p_since) const;
    /// How the servers of a service have responded lately.
    struct response_summary
    {
        bool others_respond_ = false;
        /// Ids of servers that are unhealthy, or that have requests of this
        /// node and have sent nothing lately.
        std::set<std::string> doubtful_;
    };
    /// `p_server`: silent since `p_since`; it is neither of the others nor
    /// among the doubtful ones. Others respond if one has sent something
    /// lately, and for as long during the silence: one that has just gone on
    /// after a pause doesn't show that this pause isn't common. `p_window`:
    /// what counts as lately.
    [[nodiscard]] response_summary
    summarize_responses(const routing::service_name& p_service,
                        const std::string& p_server, time_point p_since,
                        duration p_window, time_point p_now) const;
    /// Records that a server with a request of this node counts as stalled.
    void record_stalled(const std::string& p_id, time_point p_now);
    /// Adds a request that a peer reported as sent.
    void record_peer_sent(const node_id& p_peer, const sent_report& p_report,
                          time_point p_now);
    /// Records the parts that an engine itself reported as cached.
    void record_cached(const cache_report& p_report, time_point p_now);
    [[nodiscard]] bool is_engine(const std::string& p_server) const;
    /// Records that the run of a server with this key said that it leaves, to
    /// this node or to a peer. It counts as leaving whatever the list of
    /// servers says.
    void record_leaving(const std::string& p_key, bool p_said_here);
    /// The keys recorded since the last call that no peer had reported before.
    [[nodiscard]] std::vector<std::string> take_leaving_news();
    /// All keys in the list of servers that were said to this node to leave.
    [[nodiscard]] std::vector<std::string> leaving_keys() const;
    /// Forgets the failures of a service's servers, after this node couldn't
    /// reach them.
    void reset_health(const routing::service_name& p_service);
    /// Records until when a server wants no requests from this node.
    void record_pause(const std::string& p_id, time_point p_until);
    /// Replaces the peer's earlier report.
    void record_peer_running(const node_id& p_peer, const server_loads& p_loads,
                             time_point p_now);
    /// Removes the loads of peers without a recent report.
    void expire_peer_loads(time_point p_now);

    /// Number of this node's requests at a server.
    [[nodiscard]] unsigned own_requests(const std::string& p_id) const;
    /// Load of this node's requests, by server id; idle servers are left out.
    [[nodiscard]] server_loads own_loads() const;

private:
    void collect_targets(const routing::route_table& p_table);
    void select_short_prompt_engines();
    [[nodiscard]] server_state* find(const std::string& p_id);
    /// Forgets what runs said that aren't in the list of servers any more.
    void forget_past_runs();
    void record_success(server_state& r_server, time_point p_now);
    /// Records the state of a server that may just have become unhealthy.
    void record_if_unhealthy(const server_state& p_server, time_point p_now);
    /// Records an answer or failure of a paced server.
    void record_paced(const server_state& p_server, bool p_good,
                      time_point p_now);

    std::map<std::string, server_state> servers_; ///< By id.
    servers_by_service servers_by_service_;
    std::map<routing::service_name, service_targets> targets_;
    std::map<routing::service_name, speed_estimator> speeds_;
    /// Whether it was said to this node itself, by key of the server's run.
    std::map<std::string, bool> leaving_;
    std::vector<std::string> leaving_news_;
    paced_starts starts_;
};

} // namespace peridotspar::dispatch
