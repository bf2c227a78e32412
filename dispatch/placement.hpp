#pragma once

#include "dispatch/server_table.hpp"

#include <functional>
#include <optional>
#include <random>
#include <set>
#include <string>

namespace peridotspar::dispatch
{

/// Chooses servers by when a request would be answered there and by what it
/// costs the others. Not for several threads.
class placement
{
public:
    placement(failure_domain_id p_own_domain, std::uint64_t p_seed);

    /// Says whether a connection to a server is at hand.
    using connection_check = std::function<bool(const routing::server_entry&)>;
    void set_connection_check(connection_check p_check)
    {
        is_connected_ = std::move(p_check);
    }

    /// Nodes that share the servers, this one counted.
    void set_node_count(std::size_t p_node_count)
    {
        node_count_ = p_node_count;
    }

    /// The servers, and what is known of them.
    [[nodiscard]] server_table& servers() { return servers_; }
    [[nodiscard]] const server_table& servers() const { return servers_; }

    /// The best server, without those in `p_excluded`; nothing if none may
    /// take the work now. `p_may_wait`: rather none than one with prompts
    /// waiting beyond what its priority may add to.
    [[nodiscard]] std::optional<assignment>
    choose(const request_profile& p_request,
           const std::set<std::string>& p_excluded, time_point p_now,
           bool p_may_queue);
    /// Time until the work could be answered at the best server; the longest
    /// time where no server is known.
    [[nodiscard]] duration expected_wait(const request_profile& p_request,
                                         time_point p_now) const;
    /// Servers of a service that may take work.
    [[nodiscard]] std::size_t
    available_servers(const routing::service_name& p_name) const;
    /// Engine time for the prompt where most of it is kept.
    [[nodiscard]] duration min_prefill_time(const request_profile& p_request,
                                            time_point p_now) const;

private:
    /// What an engine would have to do for a request.
    struct prefill_plan
    {
        std::uint32_t uncached_tokens_ = 0; ///< Tokens to read.
        std::uint32_t fetched_tokens_ =
            0; ///< Tokens to fetch from another engine.
        std::uint32_t duplicated_tokens_ =
            0; ///< Tokens that another engine reads too.
        duration prefill_time_{};
    };
    /// The engine that keeps most of a prompt.
    struct cache_source
    {
        const server_state* server_ = nullptr;
        std::uint32_t fetchable_tokens_ = 0; ///< Tokens that can be fetched.
        std::uint32_t available_tokens_ =
            0; ///< Tokens that some engine keeps or reads.
    };
    /// A server that is weighed for a request.
    struct candidate
    {
        const server_state* server_ = nullptr;
        /// Isn't one of those where all nodes send the prompt's shared part.
        bool not_preferred_ = false;
    };
    /// Servers to weigh: all of a few; of many, those where all nodes send the
    /// prompt's shared part, those that keep most of it and a random part.
    [[nodiscard]] std::vector<candidate>
    find_candidates(const request_profile& p_request);
    [[nodiscard]] cache_source
    find_cache_source(const request_profile& p_request, time_point p_now) const;
    [[nodiscard]] prefill_plan plan_prefill(const server_state& p_server,
                                            const request_profile& p_request,
                                            const cache_source& p_source) const;
    [[nodiscard]] duration expected_answer_delay(const server_state& p_server,
                                                 const prefill_plan& p_plan,
                                                 time_point p_now) const;
    [[nodiscard]] double cost_ms(const server_state& p_server,
                                 const request_profile& p_request,
                                 const prefill_plan& p_plan,
                                 time_point p_now) const;
    /// What the request and the streams beside it would do to each other.
    [[nodiscard]] double interference_ms(const server_state& p_server,
                                         const request_profile& p_request,
                                         const prefill_plan& p_plan) const;
    /// Longest pause that the request's prompt makes in streams beside it.
    [[nodiscard]] duration stream_pause(const request_profile& p_request,
                                        const prefill_plan& p_plan) const;
    /// Weight of the time to the answer: less, the longer its target.
    [[nodiscard]] double answer_weight(const request_profile& p_request) const;
    [[nodiscard]] bool is_long_prompt(const request_profile& p_request,
                                      const prefill_plan& p_plan) const;
    [[nodiscard]] bool has_capacity(const server_state& p_server,
                                    const request_profile& p_request,
                                    const prefill_plan& p_plan,
                                    time_point p_now) const;
    /// Requests that this node may run at a plain server: its part of the
    /// places and of a short queue.
    [[nodiscard]] unsigned own_share(const server_state& p_server) const;
    /// Engine memory that the request will need, in tokens.
    [[nodiscard]] static std::uint64_t
    required_memory_tokens(const request_profile& p_request);
    [[nodiscard]] duration
    backlog_limit(const request_profile& p_request) const;

    failure_domain_id own_domain_;
    connection_check is_connected_;
    std::size_t node_count_ = 1;
    std::mt19937_64 random_;
    server_table servers_;
};

} // namespace peridotspar::dispatch
