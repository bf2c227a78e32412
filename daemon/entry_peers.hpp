#pragma once

#include "backend/buffered_client.hpp"
#include "daemon/entry_beliefs.hpp"
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

struct entry_identity
{
    node_id name_;
    std::string callers_;
    std::string peers_;
    failure_domain_id domain_;
};

/// Tells peers of this node and hears of them, and fetches beliefs from one
/// that is ahead. Belongs to the thread of its node.
class entry_peers
{
public:
    entry_peers(boost::asio::io_context& p_context, entry_identity p_self,
                entry_beliefs& p_beliefs, ingress::router& p_router,
                backend::buffered_client& p_calls);

    void add_candidate(const std::string& p_address);
    /// Sends digests when they are due; call it regularly.
    void tick(time_point p_now);
    void set_state(bool p_ready, bool p_leaving);
    /// Tells peers at once, as something changed that they should know.
    void tell_now();

    /// Whether this node should follow the store itself: a few nodes do, and
    /// tell the others.
    [[nodiscard]] bool should_follow_store(time_point p_now) const;
    void set_in_contact(bool p_in_contact) { in_contact_ = p_in_contact; }

    [[nodiscard]] std::vector<peer_state> live() const;
    /// The answer to a peer that asks for this node's beliefs.
    [[nodiscard]] http::response
    beliefs_answer(const std::string& p_target) const;
    [[nodiscard]] std::uint64_t bytes_sent() const { return bytes_sent_; }

private:
    void receive();
    void take_bytes(std::string_view p_bytes);
    void take(const entry_wire::digest& p_digest);
    /// Takes what a peer runs and has sent.
    void take_loads(const entry_wire::digest& p_digest, time_point p_now);
    /// Digests between the whole ones tell only what is new.
    [[nodiscard]] entry_wire::digest make_digest(bool p_whole,
                                                 time_point p_now);
    void add_whole(entry_wire::digest& r_digest, time_point p_now);
    void send(const entry_wire::digest& p_digest, time_point p_now);
    void fetch_if_behind(const peer_state& p_peer);
    void take_beliefs(const backend::client_response& p_answer);

    entry_identity self_;
    std::int64_t started_ms_;
    entry_beliefs& beliefs_;
    ingress::router& router_;
    backend::buffered_client& calls_;
    boot_clock clock_;
    peer_table table_;
    boost::asio::ip::udp::socket socket_;
    boost::asio::ip::udp::endpoint sender_;
    std::array<char, 65536> bytes_{};
    std::int64_t sequence_ = 0;
    /// Gaps grow with the number of peers, so that a node's traffic doesn't.
    double gap_factor_ = 1;
    std::size_t next_known_ = 0;
    time_point next_digest_{};
    time_point next_news_{};
    catch_up catch_up_;
    bool fetching_ = false;
    bool ready_ = false;
    bool leaving_ = false;
    bool in_contact_ = false;
    std::uint64_t bytes_sent_ = 0;
};

} // namespace peridotspar
