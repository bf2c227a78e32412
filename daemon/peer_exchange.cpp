#include "daemon/peer_exchange.hpp"

#include "core/log.hpp"
#include "daemon/wire_codec.hpp"
#include "policy/hashing.hpp"

#include <algorithm>

namespace peridotspar
{

namespace
{

constexpr std::size_t request_capacity = 1024;
/// Nodes that read the platform for all.
constexpr std::size_t platform_reader_count = 2;

node_state own_state(const settings& p_settings)
{
    node_state state;
    state.name_ = p_settings.name_;
    state.incarnation_ = unix_ms();
    state.address_ = p_settings.address_;
    state.http_port_ = p_settings.http_port_;
    state.peer_port_ = p_settings.peer_port_;
    state.failure_domain_ = p_settings.failure_domain_;
    return state;
}

std::vector<node_id> names_of(const std::vector<node_state>& p_states)
{
    std::vector<node_id> names;
    names.reserve(p_states.size());
    for (const auto& state : p_states)
    {
        names.push_back(state.name_);
    }
    return names;
}

} // namespace

peer_exchange::peer_exchange(const settings& p_settings, hooks p_hooks)
    : settings_(p_settings),
      hooks_(std::move(p_hooks)),
      authenticator_(p_settings.name_, p_settings.node_secret_),
      nodes_(own_state(p_settings)),
      contact_addresses_(p_settings.seeds_),
      random_(std::random_device{}()),
      requests_(request_capacity),
      gossip_client_(authenticator_),
      request_client_(authenticator_),
      config_client_(authenticator_)
{
}

peer_exchange::~peer_exchange()
{
    stop();
}

void peer_exchange::start()
{
    server_ = std::make_unique<peer_server>(
        endpoint{settings_.address_, settings_.peer_port_}, authenticator_,
        [this](const peer_message& p_message)
        { return handle_message(p_message); });
    gossip_thread_ = std::thread([this] { run_gossip(); });
    request_thread_ = std::thread([this] { run_requests(); });
}

void peer_exchange::stop()
{
    stopping_ = true;
    requests_.close();
    if (gossip_thread_.joinable())
    {
        gossip_thread_.join();
        request_thread_.join();
        server_->stop();
    }
}

void peer_exchange::send(policy::action p_action)
{
    if (auto* out = std::get_if<policy::publish_digest>(&p_action))
    {
        std::lock_guard lock(mutex_);
        digest_ = std::move(out->digest_);
        return;
    }
    (void)requests_.try_push(std::move(p_action));
}

bool peer_exchange::is_platform_reader() const
{
    std::lock_guard lock(mutex_);
    const auto live = names_of(nodes_.live(clock_.now()));
    return policy::rendezvous_rank("platform-reader", live, settings_.name_) <
           platform_reader_count;
}

bool peer_exchange::reads_load_of(const std::string& p_backend) const
{
    std::lock_guard lock(mutex_);
    const auto live = names_of(nodes_.live(clock_.now()));
    return policy::rendezvous_home(p_backend, live) == settings_.name_;
}

std::vector<node_state> peer_exchange::entry_list() const
{
    std::lock_guard lock(mutex_);
    return nodes_.entry_list(clock_.now());
}

std::vector<node_state> peer_exchange::live() const
{
    std::lock_guard lock(mutex_);
    return nodes_.live(clock_.now());
}

peer_exchange::traffic peer_exchange::traffic_sent() const
{
    return {bytes_, messages_};
}

std::optional<stored_object>
peer_exchange::fetch_config(config_revision p_known)
{
    endpoint source;
    {
        std::lock_guard lock(mutex_);
        if (!newest_config_ || newest_config_->second <=
                                   static_cast<std::int64_t>(p_known.value()))
        {
            return std::nullopt;
        }
        source = newest_config_->first;
        newest_config_.reset();
    }
    const auto payload = config_client_.call(
        source, message_kind::config_request, encode(wire::config_request{}));
    wire::config_reply reply;
    if (!payload || !decode(*payload, reply) ||
        reply.revision <= static_cast<std::int64_t>(p_known.value()))
    {
        return std::nullopt;
    }
    return stored_object{static_cast<std::uint64_t>(reply.revision),
                         reply.text};
}

void peer_exchange::update_vm_list(
    std::vector<std::string> p_nodes,
    const std::vector<std::string>& p_leaving_backends)
{
    std::sort(p_nodes.begin(), p_nodes.end());
    std::vector<std::int64_t> leaving;
    leaving.reserve(p_leaving_backends.size());
    for (const auto& name : p_leaving_backends)
    {
        leaving.push_back(wire_hash(name));
    }
    std::sort(leaving.begin(), leaving.end());
    std::lock_guard lock(mutex_);
    if (vm_list_.version != 0 && p_nodes == vm_list_.nodes &&
        leaving == vm_list_.leaving_backends)
    {
        return;
    }
    wire::vm_list next;
    next.version = std::max(unix_ms(), vm_list_.version + 1);
    next.nodes = std::move(p_nodes);
    next.leaving_backends = std::move(leaving);
    apply_vm_list(next);
}

void peer_exchange::apply_vm_list(const wire::vm_list& p_vm_list)
{
    if (p_vm_list.version <= vm_list_.version)
    {
        return;
    }
    vm_list_ = p_vm_list;
    std::vector<node_id> listed;
    contact_addresses_ = settings_.seeds_;
    for (const auto& item : vm_list_.nodes)
    {
        // "name address", as update_vm_list() gets it; names may have blanks.
        const auto space = item.rfind(' ');
        listed.emplace_back(item.substr(0, space));
        const std::string address =
            space == std::string::npos ? "" : item.substr(space + 1);
        if (!address.empty() && address != settings_.address_)
        {
            contact_addresses_.push_back(address);
        }
    }
    nodes_.set_listed(listed, clock_.now());
    admission_stale_ = true;
}

void peer_exchange::schedule_admission_update()
{
    admission_stale_ = true;
}

void peer_exchange::post_backend_admission(const snapshot& p_snapshot)
{
    std::vector<std::int64_t> leaving_backends;
    {
        std::lock_guard lock(mutex_);
        leaving_backends = vm_list_.leaving_backends;
    }
    for (const auto& [hash, backend] : p_snapshot.backends_by_hash_)
    {
        const bool leaving =
            std::find(leaving_backends.begin(), leaving_backends.end(), hash) !=
            leaving_backends.end();
        const bool drained =
            !p_snapshot.catalogue_->backends_[backend.value()].accepts_new_;
        hooks_.post_event_(
            policy::backend_admission_changed{backend, !leaving && !drained});
    }
}

void peer_exchange::publish_nodes()
{
    const time_point now = clock_.now();
    std::vector<node_id> live;
    std::vector<node_id> listed;
    {
        std::lock_guard lock(mutex_);
        live = names_of(nodes_.live(now));
        listed = nodes_.listed(now);
        if (live == last_live_ && listed == last_listed_)
        {
            return;
        }
        last_live_ = live;
        last_listed_ = listed;
    }
    log_event(log_level::info, "nodes.changed")
        .with("live", live.size())
        .with("listed", listed.size());
    hooks_.post_event_(policy::nodes_changed{listed, live});
}

void peer_exchange::post_loads(const std::vector<wire::load_report>& p_loads,
                               const snapshot& p_snapshot)
{
    const time_point now = clock_.now();
    for (const auto& load : p_loads)
    {
        if (const auto found = p_snapshot.backends_by_hash_.find(load.backend);
            found != p_snapshot.backends_by_hash_.end())
        {
            hooks_.post_event_(policy::load_reported{
                found->second, static_cast<std::uint32_t>(load.running),
                static_cast<std::uint32_t>(load.waiting),
                now - std::chrono::milliseconds(load.age_ms)});
        }
    }
}

void peer_exchange::update_loads(std::vector<wire::load_report> p_loads)
{
    const auto current = hooks_.current_snapshot_();
    if (!current)
    {
        return;
    }
    post_loads(p_loads, *current);
    std::lock_guard lock(mutex_);
    loads_ = std::move(p_loads);
}

std::optional<node_state> peer_exchange::find_live_node(const node_id& p_node)
{
    std::lock_guard lock(mutex_);
    for (const auto& state : nodes_.live(clock_.now()))
    {
        if (state.name_ == p_node)
        {
            return state;
        }
    }
    return std::nullopt;
}

void peer_exchange::run_requests()
{
    constexpr duration pop_timeout = std::chrono::milliseconds(100);
    while (!stopping_)
    {
        if (const auto action = requests_.pop(pop_timeout))
        {
            send_request(*action);
        }
    }
}

void peer_exchange::send_request(const policy::action& p_action)
{
    const auto current = hooks_.current_snapshot_();
    if (!current)
    {
        return;
    }
    node_id to;
    message_kind kind = message_kind::cap_claims;
    std::string payload;
    if (const auto* claims = std::get_if<policy::claim_caps>(&p_action))
    {
        to = claims->home_;
        payload = encode(to_wire(claims->claims_, *current));
    }
    else if (const auto* grants = std::get_if<policy::grant_caps>(&p_action))
    {
        to = grants->to_;
        kind = message_kind::cap_grants;
        payload = encode(to_wire(grants->grants_, *current));
    }
    else if (const auto* yield =
                 std::get_if<policy::request_preemption>(&p_action))
    {
        to = yield->to_;
        kind = message_kind::yield_request;
        wire::yield_request request;
        request.backend = wire_hash(
            current->catalogue_->backends_[yield->backend_.value()].name_);
        request.above = yield->requester_tier_.value();
        payload = encode(request);
    }
    if (const auto peer = find_live_node(to))
    {
        (void)request_client_.call({peer->address_, peer->peer_port_}, kind,
                                   std::move(payload));
    }
}

peer_server::reply peer_exchange::handle_message(const peer_message& p_message)
{
    const auto current = hooks_.current_snapshot_();
    switch (p_message.kind_)
    {
    case message_kind::gossip:
        return handle_gossip(p_message);
    case message_kind::config_request:
    {
        wire::config_reply reply;
        if (current)
        {
            reply.revision =
                static_cast<std::int64_t>(current->revision_.value());
            reply.text = current->text_;
        }
        return {message_kind::reply, encode(reply)};
    }
    case message_kind::cap_claims:
    {
        wire::cap_claims claims;
        if (current && decode(p_message.payload_, claims))
        {
            hooks_.post_event_(policy::caps_claimed{
                p_message.sender_, from_wire(claims, *current)});
        }
        return {};
    }
    case message_kind::cap_grants:
    {
        wire::cap_grants grants;
        if (current && decode(p_message.payload_, grants))
        {
            hooks_.post_event_(
                policy::caps_granted{from_wire(grants, *current)});
        }
        return {};
    }
    case message_kind::yield_request:
    {
        wire::yield_request request;
        if (current && decode(p_message.payload_, request) &&
            current->backends_by_hash_.contains(request.backend))
        {
            hooks_.post_event_(policy::preemption_requested{
                current->backends_by_hash_.at(request.backend),
                tier(static_cast<std::uint8_t>(request.above))});
        }
        return {};
    }
    default:
        return {message_kind::refused, {}};
    }
}

} // namespace peridotspar
