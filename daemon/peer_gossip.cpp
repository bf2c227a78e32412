// The gossip of peer_exchange: rounds with peers, and what a node sends and
// receives in them.

#include "daemon/peer_exchange.hpp"

#include "core/log.hpp"
#include "daemon/wire_codec.hpp"
#include "policy/hashing.hpp"

#include <algorithm>

namespace peridotspar
{

namespace
{

constexpr duration gossip_interval = std::chrono::milliseconds(400);
/// Up to this many peers, a round goes to all of them, and each message carries
/// only the sender's own heartbeat.
constexpr std::size_t max_direct_peers = 12;
/// Random peers that a round goes to if there are more.
constexpr std::size_t peers_per_round = 2;
/// Most heartbeats in a message if there are more peers.
constexpr std::size_t heartbeats_per_message = 16;

} // namespace

void peer_exchange::run_gossip()
{
    while (!stopping_)
    {
        const time_point started = clock_.now();
        std::vector<node_state> peers;
        {
            std::lock_guard lock(mutex_);
            nodes_.advance_heartbeat(leaving_, hooks_.load_percent_(), started);
            const std::size_t live = nodes_.live(started).size();
            peers = nodes_.pick_peers(live <= max_direct_peers + 1
                                          ? max_direct_peers
                                          : peers_per_round,
                                      random_, started);
        }
        for (const auto& peer : peers)
        {
            if (stopping_)
            {
                return;
            }
            gossip_with(peer);
        }
        contact_unknown_addresses();
        publish_nodes();
        if (const auto current = hooks_.current_snapshot_();
            current && admission_stale_.exchange(false))
        {
            post_backend_admission(*current);
        }
        bytes_ = gossip_client_.bytes() + request_client_.bytes();
        messages_ = gossip_client_.messages() + request_client_.messages();
        const duration spent = clock_.now() - started;
        if (spent < gossip_interval)
        {
            std::this_thread::sleep_for(gossip_interval - spent);
        }
    }
}

wire::gossip peer_exchange::make_gossip(const node_id& p_peer)
{
    const auto current = hooks_.current_snapshot_();
    std::lock_guard lock(mutex_);
    wire::gossip out;
    if (digest_ && current)
    {
        out.__set_state(to_wire(*digest_, *current, clock_.now()));
    }
    out.config_revision =
        current ? static_cast<std::int64_t>(current->revision_.value()) : 0;
    auto states = nodes_.heartbeats(clock_.now());
    const bool direct = states.size() <= max_direct_peers + 1;
    // The first heartbeat is this node's own and is always sent.
    std::shuffle(states.begin() + 1, states.end(), random_);
    const std::size_t limit = direct ? 1 : heartbeats_per_message;
    for (std::size_t i = 0; i < states.size() && i < limit; ++i)
    {
        out.heartbeats.push_back(to_wire(states[i]));
    }
    out.vm_version = vm_list_.version;
    if (peer_versions_[p_peer].vm_list_version_ < vm_list_.version)
    {
        out.__set_vms(vm_list_);
    }
    out.loads = loads_;
    return out;
}

void peer_exchange::gossip_with(const node_state& p_peer)
{
    const auto payload = gossip_client_.call(
        {p_peer.address_, p_peer.peer_port_}, message_kind::gossip,
        encode(make_gossip(p_peer.name_)));
    wire::gossip_reply reply;
    if (!payload || !decode(*payload, reply))
    {
        return;
    }
    record_peer_revision(p_peer, reply.config_revision);
    std::lock_guard lock(mutex_);
    peer_versions_[p_peer.name_].vm_list_version_ = reply.vm_version;
    if (reply.__isset.vms)
    {
        apply_vm_list(reply.vms);
    }
}

void peer_exchange::contact_unknown_addresses()
{
    std::vector<std::string> addresses;
    {
        std::lock_guard lock(mutex_);
        addresses = contact_addresses_;
        for (const auto& state : nodes_.live(clock_.now()))
        {
            std::erase(addresses, state.address_);
        }
    }
    for (const auto& address : addresses)
    {
        if (stopping_)
        {
            return;
        }
        node_state peer;
        peer.name_ = node_id("at " + address);
        peer.address_ = address;
        peer.peer_port_ = settings_.peer_port_;
        gossip_with(peer);
    }
}

void peer_exchange::record_peer_revision(const node_state& p_peer,
                                         std::int64_t p_revision)
{
    const auto current = hooks_.current_snapshot_();
    const std::int64_t own =
        current ? static_cast<std::int64_t>(current->revision_.value()) : 0;
    std::lock_guard lock(mutex_);
    if (p_revision > own &&
        (!newest_config_ || p_revision >= newest_config_->second))
    {
        newest_config_ = {endpoint{p_peer.address_, p_peer.peer_port_},
                          p_revision};
    }
}

peer_server::reply peer_exchange::handle_gossip(const peer_message& p_message)
{
    wire::gossip message;
    if (!decode(p_message.payload_, message))
    {
        return {message_kind::refused, {}};
    }
    const auto current = hooks_.current_snapshot_();
    std::optional<node_state> sender;
    wire::gossip_reply reply;
    {
        std::lock_guard lock(mutex_);
        const time_point now = clock_.now();
        for (const auto& heartbeat : message.heartbeats)
        {
            const node_state state = from_wire(heartbeat);
            if (state.name_ == p_message.sender_)
            {
                sender = state;
            }
            nodes_.apply_heartbeat(state, now);
        }
        if (message.__isset.vms)
        {
            apply_vm_list(message.vms);
        }
        peer_versions_[p_message.sender_].vm_list_version_ = message.vm_version;
        reply.vm_version = vm_list_.version;
        if (message.vm_version < vm_list_.version)
        {
            reply.__set_vms(vm_list_);
        }
    }
    if (current)
    {
        post_loads(message.loads, *current);
    }
    if (message.__isset.state && current)
    {
        hooks_.post_event_(policy::digest_received{from_wire(
            message.state, p_message.sender_, *current, clock_.now())});
    }
    if (sender)
    {
        record_peer_revision(*sender, message.config_revision);
    }
    reply.config_revision =
        current ? static_cast<std::int64_t>(current->revision_.value()) : 0;
    return {message_kind::reply, encode(reply)};
}

} // namespace peridotspar
