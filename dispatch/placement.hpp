#pragma once

#include "dispatch/brittle_servers.hpp"
#include "dispatch/server_limits.hpp"
#include "dispatch/server_table.hpp"

#include <functional>
#include <optional>
#include <random>
#include <set>
#include <string>

namespace peridotspar::dispatch
{

/// Chooses the server for a request by the expected time of its answer and by
/// the cost to other requests. Not thread-safe.
class placement
{
public:
    placement(failure_domain_id p_own_domain, std::uint64_t p_seed);

    /// Returns whether an idle connection to the server is open.
    using connection_check = std::function<bool(const routing::server_entry&)>;
    void set_connection_check(connection_check p_check)
    {
        is_connected_ = std::move(p_check);
    }

    /// Sets the number of nodes that share the servers, including this one.
    void set_node_count(std::size_t p_node_count)
    {
        node_count_ = p_node_count;
        brittle_.set_node_count(p_node_count);
    }

    /// Sets how to count the nodes that can't reach a service's servers. They
    /// take no share of them.
    using lost_node_count =
        std::function<std::size_t(const routing::service_name&)>;
    void set_lost_node_count(lost_node_count p_count)
    {
        count_lost_nodes_ = std::move(p_count);
    }

    /// Sets whose servers' starts are paced: by default those of services
    /// whose engines are ordered. Takes effect with the next list of servers.
    void set_paced_services(paced_services p_services)
    {
        servers_.starts().set_services(p_services);
    }

    /// The servers and their state.
    [[nodiscard]] server_table& servers() { return servers_; }
    [[nodiscard]] const server_table& servers() const { return servers_; }

    /// The limits that servers named.
    [[nodiscard]] server_limits& limits() { return limits_; }
    [[nodiscard]] const server_limits& limits() const { return limits_; }

    /// The servers that can't turn away many requests.
    [[nodiscard]] brittle_servers& brittle() { return brittle_; }
    [[nodiscard]] const brittle_servers& brittle() const { return brittle_; }

    /// Records that a server wants no requests from this node for a time. A
    /// little is added, so that the nodes don't all come back at once.
    void record_pause(const std::string& p_server, duration p_time,
                      time_point p_now);

    /// Returns the server with the least cost outside `p_excluded` (server
    /// ids), or nullopt if none can take the request now. With `p_may_queue`,
    /// servers without capacity for the request are skipped, including engines
    /// whose backlog exceeds the limit for its priority, because the request
    /// can wait in this node's queue instead. Servers in their slow start are
    /// skipped if it isn't this node's turn to send. Servers that named a limit
    /// are skipped without a permit; one is requested from the server's home
    /// for a server that would cost less than the one chosen.
    [[nodiscard]] std::optional<assignment>
    choose(const request_profile& p_request,
           const std::set<std::string>& p_excluded, time_point p_now,
           bool p_may_queue);
    /// Time until the first answer at the best healthy server; duration::max()
    /// if there is none.
    [[nodiscard]] duration expected_wait(const request_profile& p_request,
                                         time_point p_now) const;
    /// Whether a server outside `p_excluded` (server ids) may run the request,
    /// now or later.
    [[nodiscard]] bool
    has_candidate(const request_profile& p_request,
                  const std::set<std::string>& p_excluded) const;
    /// Number of the service's servers that aren't leaving.
    [[nodiscard]] std::size_t
    available_servers(const routing::service_name& p_name) const;
    /// Engine time to prefill the prompt at the engine that has most of it
    /// cached.
    [[nodiscard]] duration min_prefill_time(const request_profile& p_request,
                                            time_point p_now) const;

private:
    /// Prefill work that an engine would have to do for a request.
    struct prefill_plan
    {
        std::uint32_t uncached_tokens_ = 0; ///< Tokens to prefill.
        /// Tokens to fetch from another engine.
        std::uint32_t fetched_tokens_ = 0;
        /// Tokens to prefill although another engine has or prefills them.
        std::uint32_t duplicated_tokens_ = 0;
        duration prefill_time_{};
    };
    /// The engine from which most of a prompt can be fetched; null if none.
    struct cache_source
    {
        const server_state* server_ = nullptr;
        /// Tokens that can be fetched from it.
        std::uint32_t fetchable_tokens_ = 0;
        /// Tokens that any one engine has cached or is prefilling.
        std::uint32_t available_tokens_ = 0;
    };
    /// A server that is considered for a request.
    struct candidate
    {
        const server_state* server_ = nullptr;
        /// The request's shared part has preferred servers, and this isn't one
        /// of them.
        bool not_preferred_ = false;
    };
    /// Whether the request may run at a server of this version.
    [[nodiscard]] static bool is_suitable(const server_state& p_server,
                                          const request_profile& p_request);
    /// Servers to consider. A small service's servers are all considered. Of a
    /// large service: the preferred servers of the prompt's shared part, those
    /// with most of the prompt cached, and a random sample.
    [[nodiscard]] std::vector<candidate>
    find_candidates(const request_profile& p_request, time_point p_now);
    using server_iterator = std::vector<const server_state*>::iterator;
    /// Moves servers in their slow start to which this node may send to the
    /// begin of a range, and takes them as candidates.
    void take_paced(server_iterator& r_begin, server_iterator p_end,
                    time_point p_now, std::vector<candidate>& r_found) const;
    [[nodiscard]] cache_source
    find_cache_source(const request_profile& p_request, time_point p_now) const;
    [[nodiscard]] prefill_plan plan_prefill(const server_state& p_server,
                                            const request_profile& p_request,
                                            const cache_source& p_source) const;
    /// Expected time from sending to the first answer.
    [[nodiscard]] duration expected_answer_delay(const server_state& p_server,
                                                 const prefill_plan& p_plan,
                                                 time_point p_now) const;
    /// Cost of sending the request there, in milliseconds of answer delay.
    [[nodiscard]] double cost_ms(const server_state& p_server,
                                 const request_profile& p_request,
                                 const prefill_plan& p_plan,
                                 time_point p_now) const;
    /// Cost of the delays that the request and the engine's other streams would
    /// cause each other, in milliseconds.
    [[nodiscard]] double interference_ms(const server_state& p_server,
                                         const request_profile& p_request,
                                         const prefill_plan& p_plan) const;
    /// Longest pause that the request's prefill causes in the engine's other
    /// streams.
    [[nodiscard]] duration stream_pause(const request_profile& p_request,
                                        const prefill_plan& p_plan) const;
    /// Weight of the time to the first answer. It is smaller for requests with
    /// a longer answer target.
    [[nodiscard]] double answer_weight(const request_profile& p_request) const;
    /// Whether the prefill might make the service's tightest streams late.
    [[nodiscard]] bool is_long_prompt(const request_profile& p_request,
                                      const prefill_plan& p_plan) const;
    /// Whether the server can take the request without exceeding its slots, its
    /// memory or the backlog limit, and without making streams late at an
    /// engine reserved for short prompts.
    [[nodiscard]] bool has_capacity(const server_state& p_server,
                                    const request_profile& p_request,
                                    const prefill_plan& p_plan,
                                    time_point p_now) const;
    /// Whether the server is brittle and would perhaps turn the request away.
    [[nodiscard]] bool would_overload(const server_state& p_server,
                                      time_point p_now) const;
    /// Whether the server named a limit and this node has no permit for it.
    [[nodiscard]] bool lacks_permit(const server_state& p_server,
                                    time_point p_now) const;
    /// Whether the server is in its slow start and this node may not send to
    /// it.
    [[nodiscard]] bool is_held_back(const server_state& p_server,
                                    time_point p_now) const;
    /// The expected time from sending to the first answer if the server is as
    /// fast as the others of its service; nothing if it isn't paced.
    [[nodiscard]] std::optional<duration>
    usual_answer_delay(const server_state& p_server, duration p_expected,
                       time_point p_now) const;
    /// Nodes that reach the service.
    [[nodiscard]] std::size_t
    sharing_nodes(const routing::service_name& p_service) const;
    /// Number of requests that this node may run at a plain server: its share
    /// of the slots and of a short queue.
    [[nodiscard]] unsigned own_share(const server_state& p_server) const;
    /// Engine memory that the request is expected to need, in tokens.
    [[nodiscard]] static std::uint64_t
    required_memory_tokens(const request_profile& p_request);
    [[nodiscard]] duration
    backlog_limit(const request_profile& p_request) const;

    failure_domain_id own_domain_;
    connection_check is_connected_;
    lost_node_count count_lost_nodes_;
    std::size_t node_count_ = 1;
    std::mt19937_64 random_;
    server_table servers_;
    server_limits limits_;
    brittle_servers brittle_;
};

} // namespace peridotspar::dispatch
