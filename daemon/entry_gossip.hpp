#pragma once

#include "backend/buffered_client.hpp"
#include "daemon/duty_report.hpp"
#include "daemon/routing_state.hpp"
#include "daemon/routing_state_sync.hpp"
#include "ingress/router.hpp"
#include "membership/digest_interval.hpp"
#include "membership/peer_table.hpp"
#include "membership/store_check_policy.hpp"
#include "membership/store_follow_policy.hpp"
#include "membership/update_pacer.hpp"
#include "transport/entry_codec.hpp"

#include <array>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/ip/udp.hpp>

namespace peridotspar
{

/// What an entry node tells its peers of itself.
struct entry_node_identity
{
    node_id name_;
    std::string caller_address_; ///< IP:PORT that callers connect to.
    std::string peer_address_;   ///< IP:PORT for messages between nodes.
    failure_domain_id failure_domain_;
};

/// Exchanges state digests with the other entry nodes over UDP. Not
/// thread-safe: use it only on the thread of its node.
class entry_gossip
{
public:
    /// Throws boost::system::system_error if the peer address can't be bound.
    /// `p_first_start`: the whole system starts for the first time. `p_seed`
    /// initialises random waits.
    entry_gossip(boost::asio::io_context& p_context, entry_node_identity p_self,
                 routing_state& p_routing_state, ingress::router& p_router,
                 backend::buffered_client& p_client, bool p_first_start,
                 std::uint64_t p_seed);

    /// Adds the peer address, IP:PORT, of a node that may be running.
    void add_candidate(const std::string& p_address);
    /// Adds a node that all others contact first. This may be the node itself.
    void add_contact_point(const std::string& p_address);
    /// Sends digests when they are due; call it regularly.
    void tick(time_point p_now);
    /// Sets what digests say of this node's readiness, and sends a digest soon
    /// if that changed.
    void set_state(bool p_ready, bool p_leaving);
    /// Tells all peers which prompt parts engines have cached.
    void
    send_cache_reports(const std::vector<dispatch::cache_report>& p_reports);
    /// Names this process of the node; another one after a restart.
    [[nodiscard]] std::string run() const;
    /// Sets who takes what peers say for duties of one node. Without a listener
    /// this node says nothing of them itself, as on deployments without them.
    void set_duty_listener(duty_listener* p_listener)
    {
        duty_listener_ = p_listener;
    }
    /// Sets what this node tells its peers for duties of one node, and sends a
    /// digest soon if it begins or ends to collect.
    void set_duty_status(const duty_status& p_status);
    /// Sends this node's counts and demand to a node that collects them.
    void send_duty_report(const duty_report& p_report,
                          const std::string& p_address);
    /// Addresses of the live peers that collect usage.
    [[nodiscard]] std::vector<usage_collector_peer> usage_collectors() const;
    /// The highest fencing token that a live peer knows.
    [[nodiscard]] std::uint64_t highest_peer_token() const;
    /// How many live peers that follow the store come before this node.
    [[nodiscard]] std::size_t followers_before() const
    {
        return follow_policy_.followers_before(live_);
    }
    /// Makes the next tick() send a full digest. Used after a change that peers
    /// should learn without waiting for the next interval.
    void schedule_digest_now();

    /// Whether this node should watch the store itself, given its contact with
    /// the store so far. Only a few nodes do; the others get the updates from
    /// their peers.
    [[nodiscard]] bool should_follow_store(const store_contact& p_contact,
                                           time_point p_now);
    /// How this node, which is in contact with the store, makes sure that its
    /// watches still work.
    [[nodiscard]] store_check_policy::decision
    check_store(const store_contact& p_contact, time_point p_now);
    /// Whether this node, which follows the store, should list the servers
    /// anew; see `routing_state_sync`.
    [[nodiscard]] bool take_list_due() { return state_sync_.take_list_due(); }
    /// When a follower, this node or a live peer, last had responses to all its
    /// watches of the store; the start of the clock if none did.
    [[nodiscard]] time_point store_confirmed_at() const;
    /// Number of live nodes, with this one, as of the last check.
    [[nodiscard]] std::size_t live_nodes() const { return live_.size() + 1; }

    /// The largest number of live nodes that this node or a live peer knows.
    [[nodiscard]] std::size_t estimated_nodes() const;
    /// The other nodes that sent a digest recently.
    [[nodiscard]] std::vector<peer_state> live_peers() const;
    /// Whether a live peer has this IP address.
    [[nodiscard]] bool is_peer_ip(const std::string& p_ip) const;
    /// Whether a live peer's digests arrive in time.
    [[nodiscard]] bool is_prompt(const peer_state& p_peer) const;
    /// Answers a peer's request for newer routing state; see
    /// `routing_state_sync::respond()`.
    [[nodiscard]] http::response
    routing_state_response(const http::request_head& p_request);
    /// Bytes of digests sent to all peers since the start.
    [[nodiscard]] std::uint64_t bytes_sent() const { return bytes_sent_; }

private:
    void receive();
    void handle_datagram(std::string_view p_bytes);
    void handle_digest(const entry_wire::digest& p_digest);
    /// Records what a peer reports of the store.
    void record_store(const peer_state& p_state, bool p_was_in_contact,
                      time_point p_now);
    /// Records the requests that a peer runs, queues and has sent to servers.
    void update_peer_loads(const entry_wire::digest& p_digest,
                           time_point p_now);
    /// Every digest reports this node's status, its versions and the requests
    /// sent to servers since the last digest. A full one adds running and
    /// waiting requests, suspects and peer addresses.
    [[nodiscard]] entry_wire::digest make_digest(bool p_full, time_point p_now);
    void add_full_state(entry_wire::digest& r_digest, time_point p_now);
    void add_suspects(entry_wire::digest& r_digest, time_point p_now);
    /// Reports news of servers' crashes to all peers.
    void send_suspects(time_point p_now);
    /// Reports limits that changed, and sends permits and requests for them.
    void send_limits(time_point p_now);
    /// Reports brittle servers, and what they turned away, after news.
    void send_brittle_servers(time_point p_now);
    void add_brittle_servers(entry_wire::digest& r_digest, time_point p_now);
    /// Reports servers that said that they leave.
    void send_leaving_servers(time_point p_now);
    void add_limits(entry_wire::digest& r_digest, time_point p_now);
    /// Hands what a peer says for duties of one node to the listener.
    void handle_duties(const entry_wire::digest& p_digest, time_point p_now);
    /// Takes over limits, and permits or requests for them, from a peer.
    /// Reports answers of servers in their slow start, after news.
    void send_paces(time_point p_now);
    void add_paces(entry_wire::digest& r_digest, time_point p_now);
    /// Asks peers for parts of the retry budget.
    void send_resend_requests(time_point p_now);
    /// Takes over what a peer may lend of its retry budget or has lent, and
    /// lends what it asks for.
    void handle_resend_loans(const entry_wire::digest& p_digest,
                             time_point p_now);
    void handle_paces(const entry_wire::digest& p_digest, time_point p_now);
    void handle_limits(const entry_wire::digest& p_digest, time_point p_now);
    /// A digest with all state, but without newly sent requests.
    [[nodiscard]] entry_wire::digest make_reply(time_point p_now);
    [[nodiscard]] entry_wire::digest make_status();
    /// Whether this node follows the store and has an update that it hasn't
    /// announced.
    [[nodiscard]] bool has_store_update() const;
    [[nodiscard]] node_activity activity(time_point p_now) const;
    void send(const entry_wire::digest& p_digest,
              const std::vector<std::string>& p_addresses);
    void send_bytes(const std::string& p_bytes, const std::string& p_address);
    /// Sets the peers that the router may hand requests over to.
    void update_handover_peers();
    /// Sends a digest soon if this node lost or regained a service.
    void announce_lost_services(time_point p_now);
    /// Updates `live_` if that is due.
    void refresh_live(time_point p_now);

    entry_node_identity self_;
    std::int64_t started_ms_; ///< Unix time.
    routing_state& routing_state_;
    ingress::router& router_;
    boot_clock clock_;
    peer_table table_;
    boost::asio::ip::udp::socket socket_;
    boost::asio::ip::udp::endpoint sender_;
    std::array<char, 65536> receive_buffer_{};
    std::int64_t sequence_ = 0;
    /// Position in the list of live peers, so that each digest names others.
    std::size_t next_advertised_peer_ = 0;
    time_point next_digest_{};
    time_point next_suspects_{};
    time_point next_paces_{};
    /// Versions in the last digest to all peers.
    state_version announced_version_;
    duration digest_interval_{}; ///< Of this node, until the next digest.
    update_pacer sent_update_pacer_;
    /// Until when peers count this node as one with requests.
    time_point loaded_until_{};
    routing_state_sync state_sync_;
    store_follow_policy follow_policy_;
    store_check_policy check_policy_;
    time_point own_store_confirmed_at_{};
    std::optional<time_point> own_store_failed_at_;
    std::vector<peer_state> live_; ///< As of the last check.
    time_point next_live_check_{};
    std::vector<routing::service_name> announced_lost_services_;
    time_point next_lost_announcement_{};
    std::set<std::string> live_ips_; ///< Of the peers in `live_`.
    bool ready_ = false;
    bool leaving_ = false;
    bool store_in_contact_ = false;
    duty_listener* duty_listener_ = nullptr;
    duty_status duty_status_;
    std::uint64_t bytes_sent_ = 0;
};

} // namespace peridotspar
