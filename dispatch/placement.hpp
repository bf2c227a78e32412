#pragma once

#include "core/clock.hpp"
#include "core/ids.hpp"
#include "dispatch/engine_model.hpp"
#include "dispatch/server_health.hpp"
#include "dispatch/work.hpp"

#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace peridotspar::dispatch
{

/// A request that was sent to a server, as its sender tells its peers.
struct sent_note
{
    std::string server_;
    std::vector<routing::prompt_part> prefixes_;
    duration reading_{};
};

/// Where a request goes, and what is expected of it there.
struct placed
{
    routing::server_entry server_;
    duration reading_{};     ///< Time to read the prompt.
    time_point answer_at_{}; ///< Expected first part of the answer.
    bool answered_ = false;  ///< The first part came.
};

enum class send_result : std::uint8_t
{
    answered, ///< The server ran it to a good end, or is still at it.
    failed,   ///< The server failed, or was silent.
    refused,  ///< The server turned it away.
    dropped,  ///< Given up by this side; says nothing of the server.
};

/// Chooses servers by when a request would be answered there and by what it
/// costs the others. Not for several threads.
class placement
{
public:
    placement(failure_domain_id p_own_domain, std::uint64_t p_seed);

    /// Takes the servers that are known now; state of those that stay is kept.
    void set_servers(const routing::server_list::entries& p_servers,
                     const routing::route_table& p_table);

    /// The best server, without those in `p_excluded`; nothing if none may
    /// take the work now. `p_may_wait`: rather none than one with prompts
    /// waiting beyond what its priority may add to.
    [[nodiscard]] std::optional<placed>
    choose(const work& p_work, const std::set<std::string>& p_excluded,
           time_point p_now, bool p_may_wait);
    /// Time until the work could be answered at the best server; the longest
    /// time where no server is known.
    [[nodiscard]] duration expected_wait(const work& p_work, time_point p_now);

    void note_sent(const work& p_work, const placed& p_placed,
                   time_point p_now);
    void note_first_answer(const work& p_work, const placed& p_placed,
                           time_point p_now);
    void note_end(const placed& p_placed, send_result p_result,
                  time_point p_now);
    void note_peer_sent(const sent_note& p_note, time_point p_now);
    /// Requests that run at servers for a peer, which replace what it said
    /// before.
    void note_peer_running(const node_id& p_peer,
                           const std::map<std::string, unsigned>& p_running);

    /// Servers of a service that may take work.
    [[nodiscard]] std::size_t count(const routing::service_name& p_name) const;
    [[nodiscard]] duration reading_time(const work& p_work) const;
    [[nodiscard]] bool knows(const std::string& p_server) const;
    [[nodiscard]] std::map<std::string, unsigned> running() const;

private:
    struct server_state
    {
        routing::server_entry entry_;
        engine_model model_;
        server_health health_;
        unsigned running_ = 0; ///< Sent by this node and not yet ended.
        unsigned unanswered_ = 0;
        std::map<node_id, unsigned> peers_running_;
        bool is_engine_ = false;
    };
    [[nodiscard]] unsigned load_of(const server_state& p_server) const;
    [[nodiscard]] double cost_ms(const server_state& p_server,
                                 const work& p_work, time_point p_now) const;
    [[nodiscard]] bool has_room(const server_state& p_server,
                                const work& p_work, time_point p_now) const;
    [[nodiscard]] duration answer_time(const server_state& p_server,
                                       const work& p_work,
                                       time_point p_now) const;
    [[nodiscard]] const reading_speed& speed_of(const work& p_work) const;

    failure_domain_id own_domain_;
    std::mt19937_64 random_;
    std::map<std::string, server_state> servers_; ///< By id.
    std::map<routing::service_name, std::vector<server_state*>> by_service_;
    reading_speed speed_;
};

} // namespace peridotspar::dispatch
