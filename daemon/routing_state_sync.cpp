#include "daemon/routing_state_sync.hpp"

#include "core/log.hpp"
#include "http/content_coding.hpp"
#include "transport/entry_codec.hpp"

#include <cinttypes>
#include <cstdio>
#include <limits>
#include <utility>

namespace peridotspar
{

namespace
{

/// Time limit for the beginning of a peer's response.
constexpr duration fetch_timeout = std::chrono::milliseconds(600);
/// Smaller bodies aren't worth the processor time of compressing them.
constexpr std::size_t min_compressed_bytes = 1024;
/// Asks for nothing of a part, as no version is higher. Fits into the signed
/// numbers of messages.
constexpr std::uint64_t not_asked = std::numeric_limits<std::int64_t>::max();
constexpr int ok = 200;
constexpr int not_found = 404;

bool accepts_compressed(const http::request_head& p_request)
{
    const auto* accepted =
        http::find_header(p_request.headers_, "Accept-Encoding");
    return accepted != nullptr && http::accepts_deflate(*accepted);
}

/// The body of a peer's response; nullopt if it can't be restored.
std::optional<std::string> body_of(const backend::client_response& p_response)
{
    const auto* coding =
        http::find_header(p_response.headers_, "Content-Encoding");
    if (coding == nullptr)
    {
        return p_response.body_;
    }
    auto body = http::inflate(p_response.body_,
                              backend::buffered_client::max_response_bytes);
    if (!http::iequals(*coding, http::deflate_coding) || !body)
    {
        return std::nullopt;
    }
    return std::move(*body);
}

http::response compressed_response(std::string p_body)
{
    http::response response;
    response.headers_.push_back(
        {"Content-Encoding", std::string(http::deflate_coding)});
    response.body_ = std::move(p_body);
    return response;
}

} // namespace

routing_state_sync::routing_state_sync(routing_state& p_state,
                                       backend::buffered_client& p_client,
                                       std::uint64_t p_seed,
                                       candidate_callback p_on_candidate)
    : state_(p_state),
      client_(p_client),
      on_candidate_(std::move(p_on_candidate)),
      config_(p_seed),
      servers_(p_seed + 1)
{
}

state_version routing_state_sync::version() const
{
    return {state_.config_version(), state_.servers_revision()};
}

void routing_state_sync::set_node_count(std::size_t p_node_count)
{
    config_.policy_.set_node_count(p_node_count);
    servers_.policy_.set_node_count(p_node_count);
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
    if (!config_.fetching_)
    {
        fetch_config(p_peer, p_in_contact);
    }
    if (!servers_.fetching_)
    {
        fetch_servers(p_peer, p_in_contact);
    }
}

void routing_state_sync::fetch_config(const peer_state& p_peer,
                                      bool p_in_contact)
{
    const auto peer_version =
        static_cast<std::uint64_t>(p_peer.config_version_);
    if (config_.policy_.should_fetch(state_.config_version(), peer_version,
                                     p_in_contact, clock_.now()))
    {
        store_is_behind_peers_ |= p_in_contact;
        fetch(p_peer, content::config);
    }
}

void routing_state_sync::fetch_servers(const peer_state& p_peer,
                                       bool p_in_contact)
{
    const auto peer_revision =
        static_cast<std::uint64_t>(p_peer.servers_revision_);
    if (!servers_.policy_.should_fetch(state_.servers_revision(), peer_revision,
                                       p_in_contact, clock_.now()))
    {
        repair_if_diverged(p_peer, p_in_contact);
        return;
    }
    store_is_behind_peers_ |= p_in_contact;
    fetch(p_peer, content::server_changes);
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
    fetch(p_peer, content::all_servers);
}

routing_state_sync::part& routing_state_sync::part_of(content p_content)
{
    return p_content == content::config ? config_ : servers_;
}

void routing_state_sync::fetch(const peer_state& p_peer, content p_content)
{
    fetch_call call{p_content, p_peer.peer_address_, 0, clock_.now()};
    std::uint64_t version = not_asked;
    if (p_content == content::config)
    {
        version = state_.config_version();
        call.servers_revision_ = not_asked;
    }
    else if (p_content == content::server_changes)
    {
        call.servers_revision_ = state_.servers_revision();
    }
    const std::string request = http::write_head(
        "GET /beliefs/" + std::to_string(version) + "/" +
            std::to_string(call.servers_revision_) + " HTTP/1.1",
        {{"Host", p_peer.peer_address_},
         {"Accept-Encoding", std::string(http::deflate_coding)}});
    part_of(p_content).fetching_ = true;
    client_.send(p_peer.peer_address_, request, fetch_timeout,
                 [this, call](const backend::client_response& p_response)
                 {
                     part_of(call.content_).fetching_ = false;
                     apply(p_response, call);
                 });
}

void routing_state_sync::apply(const backend::client_response& p_response,
                               const fetch_call& p_call)
{
    const auto body =
        p_response.status_ == ok ? body_of(p_response) : std::nullopt;
    const auto fetched = body ? decode_beliefs(*body) : std::nullopt;
    const bool is_config = p_call.content_ == content::config;
    const duration taken = clock_.now() - p_call.sent_at_;
    if (!fetched)
    {
        log_event(log_level::info, "beliefs.unreadable")
            .with("status", p_response.status_)
            .with("part", is_config ? "config" : "servers")
            .with("peer", p_call.peer_)
            .with("taken_ms", to_ms(taken));
        return;
    }
    log_event(log_level::info, "beliefs.from_peer")
        .with("config_version", fetched->config_version)
        .with("servers_revision", fetched->servers_revision)
        .with("part", is_config ? "config" : "servers")
        .with("peer", p_call.peer_)
        .with("bytes", p_response.body_.size())
        .with("taken_ms", to_ms(taken));
    if (!is_config)
    {
        apply_servers(*fetched, p_call);
        return;
    }
    if (!fetched->config.empty() &&
        fetched->config_version >
            static_cast<std::int64_t>(state_.config_version()))
    {
        state_.update_config(fetched->config);
    }
}

void routing_state_sync::apply_servers(const entry_wire::beliefs& p_fetched,
                                       const fetch_call& p_call)
{
    const server_changes servers{
        static_cast<std::uint64_t>(p_fetched.servers_revision),
        p_fetched.servers,
        p_fetched.removed,
        p_fetched.all_servers,
        p_fetched.__isset.continuous && p_fetched.continuous,
        p_call.servers_revision_};
    if (p_call.content_ == content::all_servers)
    {
        state_.repair_servers(servers);
    }
    else
    {
        state_.update_servers(servers);
    }
    for (const auto& address : p_fetched.nodes)
    {
        on_candidate_(address);
    }
}

http::response
routing_state_sync::respond(const http::request_head& p_request,
                            const std::vector<peer_state>& p_live)
{
    std::uint64_t version = 0;
    std::uint64_t revision = 0;
    if (std::sscanf(p_request.target_.c_str(), "/beliefs/%" SCNu64 "/%" SCNu64,
                    &version, &revision) != 2)
    {
        return {not_found, {}, {}};
    }
    const bool lacks_config = version < state_.config_version();
    if (revision >= not_asked && lacks_config)
    {
        return respond_with_config(p_request);
    }
    entry_wire::beliefs state;
    state.config_version = static_cast<std::int64_t>(state_.config_version());
    if (lacks_config)
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
    std::string body = encode(state);
    if (body.size() >= min_compressed_bytes && accepts_compressed(p_request))
    {
        return compressed_response(http::deflate(body));
    }
    return {ok, {}, std::move(body)};
}

http::response
routing_state_sync::respond_with_config(const http::request_head& p_request)
{
    const bool is_compressed = accepts_compressed(p_request);
    if (is_compressed && compressed_version_ == state_.config_version())
    {
        return compressed_response(compressed_config_);
    }
    // Says nothing of the servers, so that it is the same for all peers.
    entry_wire::beliefs state;
    state.config_version = static_cast<std::int64_t>(state_.config_version());
    state.config = state_.config_document();
    std::string body = encode(state);
    if (!is_compressed)
    {
        return {ok, {}, std::move(body)};
    }
    compressed_config_ = http::deflate(body);
    compressed_version_ = state_.config_version();
    return compressed_response(compressed_config_);
}

} // namespace peridotspar
