#pragma once

#include "backend/whole_call.hpp"
#include "daemon/routing_state.hpp"
#include "ingress/router.hpp"
#include "membership/catch_up.hpp"
#include "membership/peer_table.hpp"
#include "transport/entry_codec.hpp"

#include <array>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/ip/udp.hpp>

namespace peridotspar
{

struct entry_node_identity
{
    node_id name_;
    std::string caller_address_;
    std::string peer_address_;
    failure_domain_id failure_domain_;
};

/// Tells peers of this node and hears of them, and fetches beliefs from one
/// that is ahead. Belongs to the thread of its node.
class entry_gossip
{
public:
    entry_gossip(boost::asio::io_context& p_context, entry_node_identity p_self,
                 routing_state& p_routing_state, ingress::router& p_router,
                 backend::whole_calls& p_calls);

    void add_candidate(const std::string& p_address);
    /// Sends digests when they are due; call it regularly.
    void tick(time_point p_now);
    void set_state(bool p_ready, bool p_leaving);
    /// Tells peers at once, as something changed that they should know.
    void schedule_digest_now();

    /// Whether this node should follow the store itself: a few nodes do, and
    /// tell the others.
    [[nodiscard]] bool should_follow_store(time_point p_now) const;
    void set_in_contact(bool p_in_contact) { in_contact_ = p_in_contact; }

    [[nodiscard]] std::vector<peer_state> live_peers() const;
    /// The answer to a peer that asks for this node's beliefs.
    [[nodiscard]] http::answer
    routing_state_response(const std::string& p_target) const;
    [[nodiscard]] std::uint64_t bytes_sent() const { return bytes_sent_; }

private:
    void receive();
    void handle_datagram(std::string_view p_bytes);
    void handle_digest(const entry_wire::digest& p_digest);
    /// Takes what a peer runs and has sent.
    void update_peer_loads(const entry_wire::digest& p_digest,
                           time_point p_now);
    /// Digests between the whole ones tell only what is new.
    [[nodiscard]] entry_wire::digest make_digest(bool p_full, time_point p_now);
    void add_full_state(entry_wire::digest& r_digest, time_point p_now);
    void send_to_peers(const entry_wire::digest& p_digest, time_point p_now);
    void fetch_if_behind(const peer_state& p_peer);
    void apply_fetched_state(const backend::call_answer& p_answer);

    entry_node_identity self_;
    std::int64_t started_ms_;
    routing_state& routing_state_;
    ingress::router& router_;
    backend::whole_calls& calls_;
    boot_clock clock_;
    peer_table table_;
    boost::asio::ip::udp::socket socket_;
    boost::asio::ip::udp::endpoint sender_;
    std::array<char, 65536> receive_buffer_{};
    std::int64_t sequence_ = 0;
    /// Gaps grow with the number of peers, so that a node's traffic doesn't.
    double interval_factor_ = 1;
    std::size_t next_advertised_peer_ = 0;
    time_point next_digest_{};
    time_point next_sent_update_{};
    catch_up catch_up_;
    bool fetching_ = false;
    bool ready_ = false;
    bool leaving_ = false;
    bool in_contact_ = false;
    std::uint64_t bytes_sent_ = 0;
};

} // namespace peridotspar
