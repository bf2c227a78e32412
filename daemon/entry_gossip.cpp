#include "daemon/entry_gossip.hpp"

#include "core/log.hpp"
#include "daemon/digest_conversion.hpp"
#include "daemon/suspect_conversion.hpp"

#include <algorithm>
#include <map>

#include <xxhash.h>

namespace peridotspar
{

namespace
{

using namespace std::chrono_literals;
using udp = boost::asio::ip::udp;

/// Requests sent to servers are reported sooner than the rest, so that peers
/// don't pick the same engines at the same time.
constexpr duration sent_update_interval = 50ms;
/// A node that sent no request for this long reports the next one to all peers,
/// not only to those that it knows as loaded.
constexpr duration load_report_interval = 5s;
/// Crashes of servers are reported to all peers at most so often, and more
/// rarely with many peers. A quarantine that begins or ends is reported at
/// once.
constexpr duration suspects_interval = 200ms;
/// A service that is lost or regained is announced to all peers at once, but at
/// most so often, and more rarely with many peers.
constexpr duration lost_announcement_interval = 200ms;
/// Answers of servers in their slow start are reported to all peers at most so
/// often, and more rarely with many peers. Later reports only slow the start
/// down.
constexpr duration paces_interval = 100ms;
/// Number of peer addresses in each full digest, for nodes to find each other.
constexpr std::size_t advertised_peers = 3;
/// Comparing all peers' digest times on each tick is expensive on a small VM.
constexpr duration live_check_interval = 100ms;
/// Longer times since a failed call of the store say the same.
constexpr double max_reported_ms = 600'000;

udp::endpoint to_udp(const boost::asio::ip::tcp::endpoint& p_endpoint)
{
    return {p_endpoint.address(), p_endpoint.port()};
}

std::string to_text(const udp::endpoint& p_endpoint)
{
    return p_endpoint.address().to_string() + ":" +
           std::to_string(p_endpoint.port());
}

std::uint64_t hash_of(const std::string& p_text)
{
    return XXH64(p_text.data(), p_text.size(), 0);
}

/// Names one process of a node.
std::string run_key(const std::string& p_peer_address,
                    std::int64_t p_started_ms)
{
    return p_peer_address + "@" + std::to_string(p_started_ms);
}

} // namespace

std::string entry_gossip::run() const
{
    return run_key(self_.peer_address_, started_ms_);
}

entry_gossip::entry_gossip(boost::asio::io_context& p_context,
                           entry_node_identity p_self,
                           routing_state& p_routing_state,
                           ingress::router& p_router,
                           backend::buffered_client& p_client,
                           bool p_first_start, std::uint64_t p_seed)
    : self_(std::move(p_self)),
      started_ms_(unix_ms()),
      routing_state_(p_routing_state),
      router_(p_router),
      table_(self_.peer_address_),
      socket_(p_context),
      sent_update_pacer_(sent_update_interval),
      state_sync_(p_routing_state, p_client, p_seed,
                  [this](const std::string& p_peer) { add_candidate(p_peer); }),
      follow_policy_(self_.peer_address_, p_first_start, p_seed)
{
    const auto own = backend::parse_ip_endpoint(self_.peer_address_);
    socket_.open(udp::v4());
    socket_.bind(to_udp(own.value()));
    socket_.non_blocking(true);
    router_.placement().servers().starts().pace().set_self(self_.peer_address_);
    receive();
}

void entry_gossip::add_candidate(const std::string& p_address)
{
    table_.add_candidate(p_address, clock_.now());
}

void entry_gossip::add_contact_point(const std::string& p_address)
{
    if (p_address == self_.peer_address_)
    {
        follow_policy_.set_contact_point(true);
    }
    add_candidate(p_address);
}

void entry_gossip::set_state(bool p_ready, bool p_leaving)
{
    if (p_ready != ready_ || p_leaving != leaving_)
    {
        ready_ = p_ready;
        leaving_ = p_leaving;
        schedule_digest_now();
    }
}

void entry_gossip::schedule_digest_now()
{
    next_digest_ = {};
}

void entry_gossip::send_cache_reports(
    const std::vector<dispatch::cache_report>& p_reports)
{
    // A datagram for each engine, as its parts may fill one.
    for (const auto& report : p_reports)
    {
        entry_wire::digest digest = make_status();
        digest.cached.push_back(to_wire(report));
        send(digest, table_.targets(clock_.now()));
    }
}

std::vector<peer_state> entry_gossip::live_peers() const
{
    return table_.live(clock_.now());
}

bool entry_gossip::is_prompt(const peer_state& p_peer) const
{
    return table_.is_prompt(p_peer, clock_.now());
}

void entry_gossip::receive()
{
    socket_.async_receive_from(
        boost::asio::buffer(receive_buffer_), sender_,
        [this](const boost::system::error_code& p_error, std::size_t p_count)
        {
            if (p_error == boost::asio::error::operation_aborted)
            {
                return;
            }
            if (!p_error)
            {
                handle_datagram({receive_buffer_.data(), p_count});
            }
            receive();
        });
}

void entry_gossip::handle_datagram(std::string_view p_bytes)
{
    const auto digest = decode_digest(p_bytes);
    // The sender address must be the peer address in the digest. Otherwise
    // another host could send digests in a peer's name.
    if (!digest || digest->peers != to_text(sender_))
    {
        log_event(log_level::info, "digest.rejected")
            .with("from", to_text(sender_))
            .with("names", digest ? digest->peers : "");
        return;
    }
    handle_digest(*digest);
}

void entry_gossip::handle_digest(const entry_wire::digest& p_digest)
{
    const time_point now = clock_.now();
    const peer_state state = to_peer_state(p_digest, now);
    const peer_state* known = table_.find(state.peer_address_);
    const bool is_new_run =
        known == nullptr || known->started_ms_ < state.started_ms_;
    if (state.in_contact_ && (known == nullptr || !known->in_contact_))
    {
        next_live_check_ = {}; // Fewer other nodes need to follow the store.
    }
    const bool was_in_contact = known != nullptr && known->in_contact_;
    if (!table_.update(state))
    {
        return;
    }
    record_store(state, was_in_contact, now);
    const bool is_joining =
        state.config_version_ == 0 || state.servers_revision_ == 0;
    if (is_new_run && is_joining)
    {
        // The next regular digest may be more than a second away.
        send_bytes(encode(make_reply(now)), state.peer_address_);
    }
    for (const auto& address : p_digest.known)
    {
        table_.add_candidate(address, now);
    }
    if (!p_digest.sent.empty() || !p_digest.running_at.empty())
    {
        table_.record_load(state.peer_address_, now);
    }
    update_peer_loads(p_digest, now);
    for (const auto& suspect : p_digest.suspects)
    {
        router_.crashes().merge(from_wire(suspect, now), now);
    }
    handle_limits(p_digest, now);
    handle_duties(p_digest, now);
    for (const auto& report : p_digest.brittle)
    {
        router_.placement().brittle().merge(from_wire(report, now), now);
    }
    handle_paces(p_digest, now);
    handle_resend_loans(p_digest, now);
    for (const auto& key : p_digest.leaving_servers)
    {
        router_.placement().servers().record_leaving(key, false);
    }
    state_sync_.on_peer_state(state, store_in_contact_);
}

void entry_gossip::handle_limits(const entry_wire::digest& p_digest,
                                 time_point p_now)
{
    auto& limits = router_.placement().limits();
    for (const auto& limit : p_digest.limits)
    {
        limits.merge(from_wire(limit, p_now), p_now);
    }
    for (const auto& asked : p_digest.permit_requests)
    {
        limits.receive_request(
            p_digest.peers, asked.server,
            static_cast<unsigned>(std::max(0, asked.priority)), p_now);
    }
    for (const auto& issued : p_digest.permits)
    {
        limits.receive_permits(
            issued.server, static_cast<unsigned>(std::max(0, issued.permits)),
            p_now);
    }
}

void entry_gossip::handle_duties(const entry_wire::digest& p_digest,
                                 time_point p_now)
{
    if (duty_listener_ == nullptr)
    {
        return;
    }
    if (p_digest.__isset.clock_ms)
    {
        duty_listener_->on_peer_clock(p_digest.peers, p_digest.clock_ms, p_now);
    }
    if (const auto report = to_duty_report(p_digest))
    {
        duty_listener_->on_duty_report(*report, p_now);
    }
    if (!duty_status_.collects_usage_)
    {
        return;
    }
    for (const auto& sent : p_digest.sent)
    {
        duty_listener_->on_sent(from_wire(sent).parts_, p_now);
    }
}

void entry_gossip::set_duty_status(const duty_status& p_status)
{
    if (p_status.collects_usage_ != duty_status_.collects_usage_)
    {
        schedule_digest_now();
    }
    duty_status_ = p_status;
}

void entry_gossip::send_duty_report(const duty_report& p_report,
                                    const std::string& p_address)
{
    entry_wire::digest digest = make_status();
    add_to_wire(p_report, digest);
    send(digest, {p_address});
}

std::vector<usage_collector_peer> entry_gossip::usage_collectors() const
{
    std::vector<usage_collector_peer> collectors;
    for (const auto& peer : live_)
    {
        if (peer.collects_usage_)
        {
            collectors.push_back({run_key(peer.peer_address_, peer.started_ms_),
                                  peer.peer_address_});
        }
    }
    return collectors;
}

std::uint64_t entry_gossip::highest_peer_token() const
{
    std::uint64_t highest = 0;
    for (const auto& peer : live_)
    {
        highest = std::max(highest, peer.duty_token_);
    }
    return highest;
}

void entry_gossip::handle_paces(const entry_wire::digest& p_digest,
                                time_point p_now)
{
    auto& starts = router_.placement().servers().starts();
    if (!starts.is_enabled())
    {
        return;
    }
    for (const auto& report : p_digest.paces)
    {
        starts.pace().record_peer(p_digest.peers, from_wire(report), p_now);
    }
}

void entry_gossip::handle_resend_loans(const entry_wire::digest& p_digest,
                                       time_point p_now)
{
    auto& resends = router_.resends();
    if (p_digest.whole)
    {
        resends.record_peer(p_digest.peers, lendable_resends(p_digest), p_now);
    }
    for (const auto& message : p_digest.resends_lent)
    {
        resends.receive(from_wire(message, p_digest.peers), p_now);
    }
    std::vector<entry_wire::resend_loan> lent;
    for (const auto& message : p_digest.resends_asked)
    {
        auto loan = from_wire(message, p_digest.peers);
        loan.resends_ = resends.lend(loan, p_now);
        if (loan.resends_ > 0)
        {
            lent.push_back(to_wire(loan));
        }
    }
    if (lent.empty())
    {
        return;
    }
    entry_wire::digest digest = make_status();
    digest.__set_resends_lent(lent);
    send(digest, {p_digest.peers});
}

void entry_gossip::send_resend_requests(time_point p_now)
{
    std::map<std::string, std::vector<entry_wire::resend_loan>> requests;
    for (const auto& asked : router_.resends().take_requests(p_now))
    {
        requests[asked.peer_].push_back(to_wire(asked));
    }
    for (const auto& [address, asked] : requests)
    {
        entry_wire::digest digest = make_status();
        digest.__set_resends_asked(asked);
        send(digest, {address});
    }
}

void entry_gossip::update_peer_loads(const entry_wire::digest& p_digest,
                                     time_point p_now)
{
    auto& servers = router_.placement().servers();
    const node_id peer(p_digest.peers);
    for (const auto& sent : p_digest.sent)
    {
        servers.record_peer_sent(peer, from_wire(sent), p_now);
    }
    for (const auto& cached : p_digest.cached)
    {
        servers.record_cached(from_wire(cached), p_now);
    }
    if (!p_digest.whole)
    {
        return;
    }
    dispatch::server_loads loads;
    for (const auto& [server, load] : p_digest.running_at)
    {
        loads[server] = from_wire(load);
    }
    servers.record_peer_running(peer, loads, p_now);
    std::vector<dispatch::queue_summary> waiting;
    for (const auto& summary : p_digest.waiting)
    {
        waiting.push_back(from_wire(summary));
    }
    router_.peer_queues().update(peer, std::move(waiting), p_now);
}

void entry_gossip::record_store(const peer_state& p_state,
                                bool p_was_in_contact, time_point p_now)
{
    // An older build doesn't report failures; it loses contact by them.
    const bool has_failed = !p_state.reports_store_failures_ &&
                            p_was_in_contact && !p_state.in_contact_;
    if (has_failed)
    {
        routing_state_.record_store_failure(p_now);
    }
    if (p_state.store_failed_at_)
    {
        routing_state_.record_store_failure(*p_state.store_failed_at_);
    }
    if (p_state.in_contact_)
    {
        routing_state_.record_store_contact(
            p_state.store_confirmed_at_,
            static_cast<std::uint64_t>(p_state.servers_revision_), "peer");
    }
}

void entry_gossip::refresh_live(time_point p_now)
{
    if (p_now < next_live_check_)
    {
        return;
    }
    next_live_check_ = p_now + live_check_interval;
    live_ = table_.live(p_now);
    state_sync_.set_node_count(estimated_nodes());
    std::vector<std::uint64_t> peers;
    std::vector<std::string> addresses;
    peers.reserve(live_.size());
    addresses.reserve(live_.size());
    for (const auto& peer : live_)
    {
        addresses.push_back(peer.peer_address_);
        peers.push_back(hash_of(peer.peer_address_));
    }
    update_handover_peers();
    router_.crashes().set_nodes(hash_of(self_.peer_address_), std::move(peers));
    auto& starts = router_.placement().servers().starts();
    if (starts.is_enabled())
    {
        auto nodes = addresses;
        nodes.push_back(self_.peer_address_);
        starts.pace().set_nodes(std::move(nodes));
    }
    router_.placement().limits().set_nodes(self_.peer_address_,
                                           std::move(addresses));
}

void entry_gossip::update_handover_peers()
{
    std::vector<dispatch::handover_peer> peers;
    peers.reserve(live_.size());
    live_ips_.clear();
    for (const auto& peer : live_)
    {
        live_ips_.insert(
            peer.peer_address_.substr(0, peer.peer_address_.rfind(':')));
        dispatch::handover_peer candidate;
        candidate.address_ = peer.peer_address_;
        candidate.domain_ = peer.failure_domain_;
        candidate.takes_requests_ =
            peer.ready_ && !peer.leaving_ && is_prompt(peer) &&
            peer.config_version_ >=
                static_cast<std::int64_t>(routing_state_.config_version());
        for (const auto& service : peer.lost_services_)
        {
            candidate.lost_services_.insert(routing::service_name(service));
        }
        peers.push_back(std::move(candidate));
    }
    router_.handovers().set_peers(std::move(peers));
}

bool entry_gossip::is_peer_ip(const std::string& p_ip) const
{
    return live_ips_.contains(p_ip);
}

std::size_t entry_gossip::estimated_nodes() const
{
    std::size_t nodes = live_nodes();
    for (const auto& peer : live_)
    {
        nodes = std::max(nodes, peer.live_nodes_);
    }
    return nodes;
}

bool entry_gossip::should_follow_store(const store_contact& p_contact,
                                       time_point p_now)
{
    refresh_live(p_now);
    own_store_confirmed_at_ = p_contact.confirmed_at_;
    own_store_failed_at_ = p_contact.failed_at_;
    if (p_contact.in_contact_ != store_in_contact_)
    {
        store_in_contact_ = p_contact.in_contact_;
        schedule_digest_now();
    }
    return follow_policy_.should_follow(live_, estimated_nodes(), p_contact,
                                        p_now);
}

store_check_policy::decision
entry_gossip::check_store(const store_contact& p_contact, time_point p_now)
{
    auto decision = check_policy_.decide(
        follow_policy_.followers_before(live_), store_confirmed_at(),
        digest_interval(node_activity::follower, live_.size()), p_now);
    // News that peers had from the store didn't come here.
    decision.check_now_ |= state_sync_.take_store_is_behind_peers();
    if (decision.check_now_)
    {
        log_event(log_level::info, "store.checked")
            .with("confirmed_ms_ago", to_ms(p_now - store_confirmed_at()))
            .with("own_ms_ago", to_ms(p_now - p_contact.confirmed_at_));
    }
    return decision;
}

time_point entry_gossip::store_confirmed_at() const
{
    time_point latest =
        store_in_contact_ ? own_store_confirmed_at_ : time_point{};
    for (const auto& peer : live_)
    {
        if (peer.in_contact_)
        {
            latest = std::max(latest, peer.store_confirmed_at_);
        }
    }
    return latest;
}

http::response
entry_gossip::routing_state_response(const http::request_head& p_request)
{
    return state_sync_.respond(p_request, live_);
}

void entry_gossip::announce_lost_services(time_point p_now)
{
    const auto lost = router_.reach().lost_services();
    if (lost == announced_lost_services_ || p_now < next_lost_announcement_)
    {
        return;
    }
    next_lost_announcement_ =
        p_now + scaled_interval(lost_announcement_interval, live_nodes());
    announced_lost_services_ = lost;
    schedule_digest_now();
}

void entry_gossip::tick(time_point p_now)
{
    announce_lost_services(p_now);
    send_suspects(p_now);
    send_limits(p_now);
    send_leaving_servers(p_now);
    send_brittle_servers(p_now);
    send_paces(p_now);
    send_resend_requests(p_now);
    const bool digest_due = p_now >= next_digest_ || has_store_update();
    const bool sent_update_due =
        router_.has_sent_reports() && sent_update_pacer_.may_send(p_now);
    if (!digest_due && !sent_update_due)
    {
        return;
    }
    if (digest_due)
    {
        table_.remove_expired(p_now);
        router_.placement().servers().expire_peer_loads(p_now);
        const auto peers = table_.live(p_now).size();
        table_.set_digest_interval(digest_interval(node_activity::idle, peers));
        digest_interval_ = digest_interval(activity(p_now), peers);
        next_digest_ = p_now + digest_interval_;
    }
    const auto loaded_peers = table_.loaded_peers(p_now);
    // After a time without requests all peers must learn that this node is
    // loaded, so that they report to it.
    const bool to_all = digest_due || p_now >= loaded_until_;
    if (router_.has_sent_reports())
    {
        sent_update_pacer_.set_mean_interval(
            scaled_interval(sent_update_interval, loaded_peers.size()));
        sent_update_pacer_.record_sent(p_now);
        loaded_until_ = p_now + load_report_interval;
    }
    if (to_all)
    {
        announced_version_ = state_sync_.version();
    }
    send(make_digest(digest_due, p_now),
         to_all ? table_.targets(p_now) : loaded_peers);
}

node_activity entry_gossip::activity(time_point p_now) const
{
    if (store_in_contact_)
    {
        return node_activity::follower;
    }
    const bool is_loaded = p_now < loaded_until_ || router_.open_requests() > 0;
    return is_loaded ? node_activity::loaded : node_activity::idle;
}

bool entry_gossip::has_store_update() const
{
    // The other nodes wait for the updates of those that follow the store.
    return store_in_contact_ && state_sync_.version() != announced_version_;
}

entry_wire::digest entry_gossip::make_status()
{
    entry_wire::digest digest;
    digest.node = self_.name_.value();
    digest.started_ms = started_ms_;
    digest.sequence = ++sequence_;
    digest.callers = self_.caller_address_;
    digest.peers = self_.peer_address_;
    digest.domain = self_.failure_domain_.value();
    digest.ready = ready_;
    digest.leaving = leaving_;
    digest.in_contact = store_in_contact_;
    if (store_in_contact_)
    {
        digest.store_age_ms = static_cast<std::int32_t>(
            to_ms(clock_.now() - own_store_confirmed_at_));
    }
    digest.__set_store_failed_ms(
        own_store_failed_at_
            ? static_cast<std::int32_t>(std::min(
                  to_ms(clock_.now() - *own_store_failed_at_), max_reported_ms))
            : -1);
    digest.config_version =
        static_cast<std::int64_t>(routing_state_.config_version());
    digest.servers_revision =
        static_cast<std::int64_t>(routing_state_.servers_revision());
    digest.__set_servers_hash(
        static_cast<std::int64_t>(routing_state_.servers_hash()));
    digest.interval_ms = static_cast<std::int32_t>(to_ms(digest_interval_));
    digest.live = static_cast<std::int32_t>(live_nodes());
    for (const auto& service : router_.reach().lost_services())
    {
        digest.lost_services.push_back(service.value());
    }
    if (duty_listener_ != nullptr)
    {
        digest.__set_clock_ms(unix_ms());
        digest.__set_collects_usage(duty_status_.collects_usage_);
        digest.__set_duty_token(static_cast<std::int64_t>(duty_status_.token_));
    }
    return digest;
}

entry_wire::digest entry_gossip::make_reply(time_point p_now)
{
    entry_wire::digest digest = make_status();
    digest.whole = true;
    add_full_state(digest, p_now);
    return digest;
}

entry_wire::digest entry_gossip::make_digest(bool p_full, time_point p_now)
{
    entry_wire::digest digest = make_status();
    for (const auto& report : router_.take_sent_reports())
    {
        digest.sent.push_back(to_wire(report));
    }
    digest.whole = p_full;
    if (p_full)
    {
        add_full_state(digest, p_now);
        add_brittle_servers(digest, p_now);
        add_paces(digest, p_now);
        add_to_wire(router_.resends().lendable(p_now), digest);
    }
    return digest;
}

void entry_gossip::add_full_state(entry_wire::digest& r_digest,
                                  time_point p_now)
{
    for (const auto& [server, load] : router_.own_loads())
    {
        r_digest.running_at[server] = to_wire(load);
    }
    for (const auto& summary : router_.queue_summaries())
    {
        r_digest.waiting.push_back(to_wire(summary));
    }
    if (p_now >= next_suspects_)
    {
        add_suspects(r_digest, p_now);
    }
    add_limits(r_digest, p_now);
    r_digest.leaving_servers = router_.placement().servers().leaving_keys();
    const auto peers = table_.live(p_now);
    for (std::size_t i = 0; i < std::min(advertised_peers, peers.size()); ++i)
    {
        r_digest.known.push_back(
            peers[next_advertised_peer_++ % peers.size()].peer_address_);
    }
}

void entry_gossip::add_suspects(entry_wire::digest& r_digest, time_point p_now)
{
    next_suspects_ = p_now + scaled_interval(suspects_interval, live_nodes());
    for (const auto& report : router_.crashes().reports(p_now))
    {
        r_digest.suspects.push_back(to_wire(report, p_now));
    }
}

void entry_gossip::send_suspects(time_point p_now)
{
    auto& crashes = router_.crashes();
    const bool is_due = crashes.take_news() || (p_now >= next_suspects_ &&
                                                crashes.take_fresh_suspect());
    if (!is_due)
    {
        return;
    }
    entry_wire::digest digest = make_status();
    add_suspects(digest, p_now);
    send(digest, table_.targets(p_now));
}

void entry_gossip::add_limits(entry_wire::digest& r_digest, time_point p_now)
{
    for (const auto& report : router_.placement().limits().reports())
    {
        r_digest.limits.push_back(to_wire(report, p_now));
    }
}

void entry_gossip::add_brittle_servers(entry_wire::digest& r_digest,
                                       time_point p_now)
{
    for (const auto& report : router_.placement().brittle().take_reports())
    {
        r_digest.brittle.push_back(to_wire(report, p_now));
    }
}

void entry_gossip::send_brittle_servers(time_point p_now)
{
    if (!router_.placement().brittle().take_news())
    {
        return;
    }
    entry_wire::digest digest = make_status();
    add_brittle_servers(digest, p_now);
    send(digest, table_.targets(p_now));
}

void entry_gossip::add_paces(entry_wire::digest& r_digest, time_point p_now)
{
    auto& starts = router_.placement().servers().starts();
    if (!starts.is_enabled())
    {
        return;
    }
    std::vector<entry_wire::server_pace> paces;
    for (const auto& report : starts.pace().take_reports(p_now))
    {
        paces.push_back(to_wire(report));
    }
    if (!paces.empty())
    {
        r_digest.__set_paces(paces);
    }
}

void entry_gossip::send_paces(time_point p_now)
{
    const bool is_due =
        p_now >= next_paces_ &&
        router_.placement().servers().starts().pace().take_news();
    if (!is_due)
    {
        return;
    }
    next_paces_ = p_now + scaled_interval(paces_interval, live_nodes());
    entry_wire::digest digest = make_status();
    add_paces(digest, p_now);
    send(digest, table_.targets(p_now));
}

void entry_gossip::send_leaving_servers(time_point p_now)
{
    auto news = router_.placement().servers().take_leaving_news();
    if (news.empty())
    {
        return;
    }
    entry_wire::digest digest = make_status();
    digest.leaving_servers = std::move(news);
    send(digest, table_.targets(p_now));
}

void entry_gossip::send_limits(time_point p_now)
{
    auto& limits = router_.placement().limits();
    if (limits.take_news())
    {
        entry_wire::digest news = make_status();
        add_limits(news, p_now);
        send(news, table_.targets(p_now));
    }
    std::map<std::string, entry_wire::digest> messages;
    for (const auto& asked : limits.take_requests())
    {
        entry_wire::permit message;
        message.server = asked.server_;
        message.priority = static_cast<std::int32_t>(asked.priority_);
        messages[asked.home_].permit_requests.push_back(message);
    }
    for (const auto& issued : limits.take_permits())
    {
        entry_wire::permit message;
        message.server = issued.server_;
        message.permits = static_cast<std::int32_t>(issued.count_);
        messages[issued.node_].permits.push_back(message);
    }
    for (const auto& [address, content] : messages)
    {
        entry_wire::digest digest = make_status();
        digest.permit_requests = content.permit_requests;
        digest.permits = content.permits;
        send(digest, {address});
    }
}

void entry_gossip::send(const entry_wire::digest& p_digest,
                        const std::vector<std::string>& p_addresses)
{
    const std::string bytes = encode(p_digest);
    for (const auto& address : p_addresses)
    {
        send_bytes(bytes, address);
    }
}

void entry_gossip::send_bytes(const std::string& p_bytes,
                              const std::string& p_address)
{
    const auto target = backend::parse_ip_endpoint(p_address);
    if (!target)
    {
        return;
    }
    // A lost digest is replaced by the next one.
    boost::system::error_code ignored;
    socket_.send_to(boost::asio::buffer(p_bytes), to_udp(*target), 0, ignored);
    bytes_sent_ += p_bytes.size();
}

} // namespace peridotspar
