#pragma once

#include "core/clock.hpp"
#include "core/ids.hpp"
#include "dispatch/engine_model.hpp"
#include "dispatch/peer_loads.hpp"
#include "dispatch/request_profile.hpp"
#include "dispatch/server_health.hpp"
#include "dispatch/speed_estimator.hpp"

#include <map>
#include <string>
#include <vector>

namespace peridotspar::dispatch
{

/// A request that was sent to a server, as its sender tells its peers.
struct sent_report
{
    std::string server_;
    std::vector<routing::prompt_part> parts_;
    duration prefill_time_{};
    duration pause_target_{};
    std::uint64_t tokens_ = 0; ///< Of engine memory, as expected.
};

using server_loads = std::map<std::string, server_load>; ///< By id.

/// Where a request goes, and what is expected of it there.
struct assignment
{
    routing::server_entry server_;
    /// IP:PORT of an engine to fetch the prompt's kept parts from; or empty.
    std::string fetch_from_;
    duration prefill_time_{}; ///< Time to read the prompt.
    time_point sent_at_{};
    time_point expected_answer_at_{}; ///< Expected first part of the answer.
    bool stream_ = false;
    duration pause_target_{};
    std::uint64_t tokens_ = 0; ///< Of engine memory, as expected.
    bool answered_ = false;    ///< The first part came.
    bool was_idle_ = false;    ///< No other prompt was before it there.
};

enum class send_result : std::uint8_t
{
    answered, ///< The server ran it to a good end, or is still at it.
    failed,   ///< The server failed, or was silent.
    refused,  ///< The server turned it away.
    absent,   ///< Nobody, or another server, is at its address.
    dropped,  ///< Given up by this side; says nothing of the server.
};

/// What is asked of a service's streams and answers, over all its routes.
struct service_targets
{
    duration shortest_pause_ = duration::max(); ///< Shortest between events.
    duration shortest_answer_ =
        duration::max();          ///< Shortest to the first answer.
    unsigned top_priority_ = ~0U; ///< Highest in use.
};

/// One server with what this node and its peers do there.
struct server_state
{
    routing::server_entry entry_;
    bool is_engine_ = false;
    std::uint64_t memory_tokens_ = 0;
    engine_model model_;
    server_health health_;
    server_load own_load_;
    peer_loads peer_loads_;
    /// Kept for short prompts while the others have room.
    bool for_short_prompts_ = false;

    /// Requests that run there, over all nodes.
    [[nodiscard]] unsigned running_requests() const;
    /// Engine memory in use there, over all nodes, in tokens.
    [[nodiscard]] std::uint64_t memory_tokens_in_use() const;
    /// Time until the prompts that all nodes sent there are read.
    [[nodiscard]] duration backlog(time_point p_now) const;
    /// Streams there that a pause is expected to make late, over all nodes.
    [[nodiscard]] double expected_late_streams(duration p_pause) const;
};

/// All servers, by service, with what is known of them. Not for several
/// threads.
class server_table
{
public:
    using servers_by_service =
        std::map<routing::service_name, std::vector<server_state*>>;

    /// Takes the servers that are known now; state of those that stay is kept.
    void update(const routing::server_list::entries& p_servers,
                const routing::route_table& p_table);

    /// The servers of a service; none if it has none.
    [[nodiscard]] const std::vector<server_state*>&
    servers_of(const routing::service_name& p_service) const;
    /// Null where the configuration says nothing of the service's routes.
    [[nodiscard]] const service_targets*
    targets(const routing::service_name& p_service) const;
    /// How fast the service's engines read, as learnt so far.
    [[nodiscard]] prefill_speed
    speed_of(const routing::service_name& p_service) const;
    /// A stream whose pauses must be the shortest of its service.
    [[nodiscard]] bool
    has_tightest_pause(const request_profile& p_request) const;

    void note_sent(const request_profile& p_request,
                   const assignment& p_assignment, time_point p_now);
    /// Marks it as answered; call it once for each send.
    void note_first_answer(const request_profile& p_request,
                           assignment& r_assignment, time_point p_now);
    void note_end(const assignment& p_assignment, send_result p_result,
                  time_point p_now);
    void note_peer_sent(const node_id& p_peer, const sent_report& p_report,
                        time_point p_now);
    /// An engine's own word of the parts that it keeps.
    void note_cached(const std::string& p_server,
                     const std::vector<routing::cached_part>& p_parts,
                     time_point p_now);
    [[nodiscard]] bool is_engine(const std::string& p_server) const;
    /// Replaces what the peer said before.
    void note_peer_running(const node_id& p_peer, const server_loads& p_loads,
                           time_point p_now);
    /// Forgets what peers ran that are silent for long.
    void expire_peer_loads(time_point p_now);

    /// Requests that run for this node.
    [[nodiscard]] server_loads own_loads() const;

private:
    void collect_targets(const routing::route_table& p_table);
    void select_short_prompt_engines();
    [[nodiscard]] server_state* find(const std::string& p_id);

    std::map<std::string, server_state> servers_; ///< By id.
    servers_by_service servers_by_service_;
    std::map<routing::service_name, service_targets> targets_;
    std::map<routing::service_name, speed_estimator> speeds_;
};

} // namespace peridotspar::dispatch
