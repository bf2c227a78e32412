#include "daemon/entry_peers.hpp"

#include "core/log.hpp"
#include "daemon/peer_words.hpp"
#include "membership/store_followers.hpp"

#include <algorithm>
#include <cinttypes>
#include <cstdio>

#include <xxhash.h>

namespace peridotspar
{

namespace
{

using namespace std::chrono_literals;
using udp = boost::asio::ip::udp;

constexpr duration digest_gap = 200ms;
/// Sends are told sooner, so that peers don't choose the same engines.
constexpr duration news_gap = 50ms;
constexpr duration fetch_limit = 1s;
constexpr std::size_t most_known = 64;
/// Peers' addresses that go with each digest.
constexpr std::size_t known_told = 3;
/// From so many peers on the gaps between digests grow.
constexpr double peers_at_full_rate = 24;
constexpr int ok = 200;
constexpr int not_found = 404;

udp::endpoint to_udp(const boost::asio::ip::tcp::endpoint& p_endpoint)
{
    return {p_endpoint.address(), p_endpoint.port()};
}

std::string text_of(const udp::endpoint& p_endpoint)
{
    return p_endpoint.address().to_string() + ":" +
           std::to_string(p_endpoint.port());
}

std::uint64_t hash_of(const std::string& p_text)
{
    return XXH64(p_text.data(), p_text.size(), 0);
}

} // namespace

entry_peers::entry_peers(boost::asio::io_context& p_context,
                         entry_identity p_self, entry_beliefs& p_beliefs,
                         ingress::router& p_router,
                         backend::buffered_client& p_calls)
    : self_(std::move(p_self)),
      started_ms_(unix_ms()),
      beliefs_(p_beliefs),
      router_(p_router),
      calls_(p_calls),
      table_(self_.peers_),
      socket_(p_context)
{
    const auto own = backend::parse_ip_endpoint(self_.peers_);
    socket_.open(udp::v4());
    socket_.bind(to_udp(own.value()));
    socket_.non_blocking(true);
    receive();
}

void entry_peers::add_candidate(const std::string& p_address)
{
    table_.add_candidate(p_address, clock_.now());
}

void entry_peers::set_state(bool p_ready, bool p_leaving)
{
    if (p_ready != ready_ || p_leaving != leaving_)
    {
        ready_ = p_ready;
        leaving_ = p_leaving;
        tell_now();
    }
}

void entry_peers::tell_now()
{
    next_digest_ = {};
}

std::vector<peer_state> entry_peers::live() const
{
    return table_.live(clock_.now());
}

void entry_peers::receive()
{
    socket_.async_receive_from(
        boost::asio::buffer(bytes_), sender_,
        [this](const boost::system::error_code& p_error, std::size_t p_count)
        {
            if (p_error == boost::asio::error::operation_aborted)
            {
                return;
            }
            if (!p_error)
            {
                take_bytes({bytes_.data(), p_count});
            }
            receive();
        });
}

void entry_peers::take_bytes(std::string_view p_bytes)
{
    const auto digest = decode_digest(p_bytes);
    // A peer speaks from the address that it names, so nobody else can speak
    // for it without holding that address.
    if (!digest || digest->peers != text_of(sender_))
    {
        log_event(log_level::info, "digest.foreign")
            .with("from", text_of(sender_))
            .with("names", digest ? digest->peers : "");
        return;
    }
    take(*digest);
}

void entry_peers::take(const entry_wire::digest& p_digest)
{
    const time_point now = clock_.now();
    const peer_state state = state_of(p_digest, now);
    if (!table_.note(state))
    {
        return;
    }
    for (const auto& address : p_digest.known)
    {
        table_.add_candidate(address, now);
    }
    take_loads(p_digest, now);
    for (const auto& crash : p_digest.crashes)
    {
        router_.poison().note_peer_crashes(
            hash_of(p_digest.peers),
            {static_cast<std::uint64_t>(crash.fingerprint),
             static_cast<unsigned>(std::max(crash.crashes, 0))},
            now);
    }
    fetch_if_behind(state);
}

void entry_peers::take_loads(const entry_wire::digest& p_digest,
                             time_point p_now)
{
    auto& servers = router_.placement().servers();
    const node_id peer(p_digest.peers);
    for (const auto& sent : p_digest.sent)
    {
        servers.note_peer_sent(peer, note_of(sent), p_now);
    }
    if (!p_digest.whole)
    {
        return;
    }
    dispatch::server_loads running;
    for (const auto& [server, count] : p_digest.running_at)
    {
        running[server] = count_of(count);
    }
    servers.note_peer_running(peer, running, p_now);
    std::vector<dispatch::queue_summary> waiting;
    for (const auto& sum : p_digest.waiting)
    {
        waiting.push_back(sum_of(sum));
    }
    router_.peer_lines().update(peer, std::move(waiting), p_now);
}

void entry_peers::fetch_if_behind(const peer_state& p_peer)
{
    const belief_state own{beliefs_.config_version(),
                           beliefs_.servers_revision()};
    const belief_state told{
        static_cast<std::uint64_t>(p_peer.config_version_),
        static_cast<std::uint64_t>(p_peer.servers_revision_)};
    if (fetching_ ||
        !catch_up_.should_ask(own, told, in_contact_, clock_.now()))
    {
        return;
    }
    fetching_ = true;
    const std::string request = http::write_head(
        "GET /beliefs/" + std::to_string(beliefs_.config_version()) + "/" +
            std::to_string(beliefs_.servers_revision()) + " HTTP/1.1",
        {{"Host", p_peer.peers_}});
    calls_.send(p_peer.peers_, request, fetch_limit,
                [this](const backend::client_response& p_answer)
                {
                    fetching_ = false;
                    take_beliefs(p_answer);
                });
}

void entry_peers::take_beliefs(const backend::client_response& p_answer)
{
    const auto told =
        p_answer.status_ == ok ? decode_beliefs(p_answer.body_) : std::nullopt;
    if (!told)
    {
        log_event(log_level::info, "beliefs.unreadable")
            .with("status", p_answer.status_);
        return;
    }
    log_event(log_level::info, "beliefs.from_peer")
        .with("config_version", told->config_version)
        .with("servers_revision", told->servers_revision);
    if (told->config_version >
        static_cast<std::int64_t>(beliefs_.config_version()))
    {
        beliefs_.take_config(told->config);
    }
    beliefs_.take_servers({static_cast<std::uint64_t>(told->servers_revision),
                           told->servers, told->removed, told->all_servers});
}

bool entry_peers::should_follow_store(time_point p_now) const
{
    return follows_store(self_.peers_, table_.live(p_now));
}

http::response entry_peers::beliefs_answer(const std::string& p_target) const
{
    std::uint64_t version = 0;
    std::uint64_t revision = 0;
    if (std::sscanf(p_target.c_str(), "/beliefs/%" SCNu64 "/%" SCNu64, &version,
                    &revision) != 2)
    {
        return {not_found, {}, {}};
    }
    entry_wire::beliefs told;
    told.config_version = static_cast<std::int64_t>(beliefs_.config_version());
    if (beliefs_.config_version() > version)
    {
        told.config = beliefs_.config();
    }
    const auto changes = beliefs_.changes_since(revision);
    told.servers_revision = static_cast<std::int64_t>(changes.revision_);
    told.servers = changes.documents_;
    told.removed = changes.removed_;
    told.all_servers = changes.all_;
    http::response answer;
    answer.body_ = encode(told);
    return answer;
}

void entry_peers::tick(time_point p_now)
{
    const bool due = p_now >= next_digest_;
    const bool news = router_.has_sent_notes() && p_now >= next_news_;
    if (!due && !news)
    {
        return;
    }
    if (due)
    {
        table_.forget_old(p_now);
        router_.placement().servers().expire_peer_loads(p_now);
        const auto peers = static_cast<double>(table_.live(p_now).size());
        gap_factor_ = std::max(1.0, peers / peers_at_full_rate);
        const duration gap = from_seconds(gap_factor_ * to_seconds(digest_gap));
        table_.set_digest_gap(gap);
        next_digest_ = p_now + gap;
    }
    next_news_ = p_now + from_seconds(gap_factor_ * to_seconds(news_gap));
    send(make_digest(due, p_now), p_now);
}

entry_wire::digest entry_peers::make_digest(bool p_whole, time_point p_now)
{
    entry_wire::digest digest;
    digest.node = self_.name_.value();
    digest.started_ms = started_ms_;
    digest.sequence = ++sequence_;
    digest.callers = self_.callers_;
    digest.peers = self_.peers_;
    digest.domain = self_.domain_.value();
    digest.ready = ready_;
    digest.leaving = leaving_;
    digest.in_contact = in_contact_;
    digest.config_version =
        static_cast<std::int64_t>(beliefs_.config_version());
    digest.servers_revision =
        static_cast<std::int64_t>(beliefs_.servers_revision());
    for (const auto& note : router_.take_sent_notes())
    {
        digest.sent.push_back(words_of(note));
    }
    digest.whole = p_whole;
    if (p_whole)
    {
        add_whole(digest, p_now);
    }
    return digest;
}

void entry_peers::add_whole(entry_wire::digest& r_digest, time_point p_now)
{
    for (const auto& [server, count] : router_.running())
    {
        r_digest.running_at[server] = words_of(count);
    }
    for (const auto& sum : router_.queue_sums())
    {
        r_digest.waiting.push_back(words_of(sum));
    }
    for (const auto& note : router_.poison().own_crashes())
    {
        entry_wire::crash crash;
        crash.fingerprint = static_cast<std::int64_t>(note.fingerprint_);
        crash.crashes = static_cast<std::int32_t>(note.crashes_);
        r_digest.crashes.push_back(crash);
    }
    const auto peers = table_.live(p_now);
    for (std::size_t i = 0; i < std::min(known_told, peers.size()); ++i)
    {
        r_digest.known.push_back(peers[next_known_++ % peers.size()].peers_);
    }
}

void entry_peers::send(const entry_wire::digest& p_digest, time_point p_now)
{
    const std::string bytes = encode(p_digest);
    for (const auto& address : table_.targets(p_now))
    {
        const auto target = backend::parse_ip_endpoint(address);
        if (!target)
        {
            continue;
        }
        boost::system::error_code ignored; // The next one is sent soon.
        socket_.send_to(boost::asio::buffer(bytes), to_udp(*target), 0,
                        ignored);
        bytes_sent_ += bytes.size();
    }
}

} // namespace peridotspar
