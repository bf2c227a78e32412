#include "daemon/routing_state_sync.hpp"

#include "core/log.hpp"
#include "transport/entry_codec.hpp"

#include <cinttypes>
#include <cstdio>
#include <utility>

namespace peridotspar
{

namespace
{

/// Time limit for the beginning of a peer's response.
constexpr duration fetch_timeout = std::chrono::milliseconds(600);
constexpr int ok = 200;
constexpr int not_found = 404;

} // namespace

routing_state_sync::routing_state_sync(routing_state& p_state,
                                       backend::buffered_client& p_client,
                                       std::uint64_t p_seed,
                                       candidate_callback p_on_candidate)
    : state_(p_state),
      client_(p_client),
      on_candidate_(std::move(p_on_candidate)),
      fetch_policy_(p_seed)
{
}

state_version routing_state_sync::version() const
{
    return {state_.config_version(), state_.servers_revision()};
}

bool routing_state_sync::take_list_due()
{
    return std::exchange(list_due_, false);
}

bool routing_state_sync::take_store_is_behind_peers()
{
    return std::exchange(store_is_behind_peers_, false);
}

void routing_state_sync::on_peer_state(const peer_state& p_peer,
                                       bool p_in_contact)
{
    const state_version peer_version{
        static_cast<std::uint64_t>(p_peer.config_version_),
        static_cast<std::uint64_t>(p_peer.servers_revision_)};
    if (fetching_)
    {
        return;
    }
    if (!fetch_policy_.should_fetch(version(), peer_version, p_in_contact,
                                    clock_.now()))
    {
        repair_if_diverged(p_peer, p_in_contact);
        return;
    }
    store_is_behind_peers_ = p_in_contact;
    fetch(p_peer, purpose::update);
}

void routing_state_sync::repair_if_diverged(const peer_state& p_peer,
                                            bool p_in_contact)
{
    using action = divergence_policy::action;
    const auto decision = divergence_policy_.decide(
        {state_.servers_revision(), state_.servers_hash(), p_in_contact},
        p_peer, clock_.now());
    if (decision == action::none)
    {
        return;
    }
    log_event(log_level::warning, "servers.diverged")
        .with("peer", p_peer.peer_address_)
        .with("revision", state_.servers_revision())
        .with("own_hash", state_.servers_hash())
        .with("peer_hash", p_peer.servers_hash_.value_or(0))
        .with("in_contact", p_in_contact);
    if (decision == action::list_store)
    {
        list_due_ = true;
        return;
    }
    fetch(p_peer, purpose::repair);
}

void routing_state_sync::fetch(const peer_state& p_peer, purpose p_purpose)
{
    fetching_ = true;
    const std::uint64_t revision =
        p_purpose == purpose::update ? state_.servers_revision() : 0;
    const std::string request = http::write_head(
        "GET /beliefs/" + std::to_string(state_.config_version()) + "/" +
            std::to_string(revision) + " HTTP/1.1",
        {{"Host", p_peer.peer_address_}});
    client_.send(
        p_peer.peer_address_, request, fetch_timeout,
        [this, p_purpose, revision](const backend::client_response& p_response)
        {
            fetching_ = false;
            apply(p_response, p_purpose, revision);
        });
}

void routing_state_sync::apply(const backend::client_response& p_response,
                               purpose p_purpose, std::uint64_t p_since)
{
    const auto fetched = p_response.status_ == ok
                             ? decode_beliefs(p_response.body_)
                             : std::nullopt;
    if (!fetched)
    {
        log_event(log_level::info, "beliefs.unreadable")
            .with("status", p_response.status_);
        return;
    }
    log_event(log_level::info, "beliefs.from_peer")
        .with("config_version", fetched->config_version)
        .with("servers_revision", fetched->servers_revision);
    if (fetched->config_version >
        static_cast<std::int64_t>(state_.config_version()))
    {
        state_.update_config(fetched->config);
    }
    const server_changes servers{
        static_cast<std::uint64_t>(fetched->servers_revision),
        fetched->servers,
        fetched->removed,
        fetched->all_servers,
        fetched->__isset.continuous && fetched->continuous,
        p_since};
    if (p_purpose == purpose::repair)
    {
        state_.repair_servers(servers);
    }
    else
    {
        state_.update_servers(servers);
    }
    for (const auto& address : fetched->nodes)
    {
        on_candidate_(address);
    }
}

http::response
routing_state_sync::respond(const std::string& p_target,
                            const std::vector<peer_state>& p_live) const
{
    std::uint64_t version = 0;
    std::uint64_t revision = 0;
    if (std::sscanf(p_target.c_str(), "/beliefs/%" SCNu64 "/%" SCNu64, &version,
                    &revision) != 2)
    {
        return {not_found, {}, {}};
    }
    entry_wire::beliefs state;
    state.config_version = static_cast<std::int64_t>(state_.config_version());
    if (state_.config_version() > version)
    {
        state.config = state_.config_document();
    }
    const auto changes = state_.changes_since(revision);
    state.servers_revision = static_cast<std::int64_t>(changes.revision_);
    state.servers = changes.documents_;
    state.removed = changes.removed_;
    state.all_servers = changes.is_full_;
    state.__set_continuous(changes.is_continuous_);
    if (revision == 0)
    {
        for (const auto& peer : p_live)
        {
            state.nodes.push_back(peer.peer_address_);
        }
    }
    http::response response;
    response.body_ = encode(state);
    return response;
}

} // namespace peridotspar
