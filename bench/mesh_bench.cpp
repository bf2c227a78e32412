#include "bench/exchange_bench.hpp"

#include "dispatch/peer_loads.hpp"
#include "membership/peer_table.hpp"
#include "transport/entry_codec.hpp"

#include <algorithm>
#include <cstdio>
#include <functional>
#include <random>

namespace peridotspar::bench
{

namespace
{

using namespace std::chrono_literals;

// The intervals of daemon/entry_gossip.
constexpr duration digest_interval = 200ms;
constexpr duration sent_update_interval = 50ms;
constexpr double max_peers_at_full_rate = 24;
/// How often a node's timer looks for what is due.
constexpr duration tick = 10ms;
constexpr duration simulated_time = 120s;
constexpr double mean_stream_s = 2.5;
constexpr std::size_t parts_of_prompt = 4;
constexpr int repetitions = 200;

/// The datagrams that one node sends to each peer.
struct sending
{
    std::vector<time_point> full_;
    std::vector<time_point> updates_;
    std::size_t requests_in_updates_ = 0;
    sample ages_; ///< Of changes of its load at the peers, in seconds.
};

sending simulate_sending(const fleet& p_fleet, double p_factor)
{
    sending sent;
    std::mt19937_64 random(5);
    std::poisson_distribution<int> starts(p_fleet.requests_per_s_ *
                                          to_seconds(tick));
    std::exponential_distribution<double> length(1 / mean_stream_s);
    std::vector<time_point> new_starts;
    std::vector<time_point> ends;
    time_point next_full{};
    time_point next_update{};
    const auto factor_of = [p_factor](duration p_interval)
    { return from_seconds(p_factor * to_seconds(p_interval)); };
    for (time_point now{}; now < time_point{} + simulated_time; now += tick)
    {
        for (int i = starts(random); i > 0; --i)
        {
            new_starts.push_back(now);
            ends.push_back(now + from_seconds(length(random)));
        }
        const bool is_full = now >= next_full;
        if (!is_full && (new_starts.empty() || now < next_update))
        {
            continue;
        }
        next_update = now + factor_of(sent_update_interval);
        for (const time_point started : new_starts)
        {
            sent.ages_.add(to_seconds(now - started));
        }
        sent.requests_in_updates_ += new_starts.size();
        new_starts.clear();
        if (!is_full)
        {
            sent.updates_.push_back(now);
            continue;
        }
        next_full = now + factor_of(digest_interval);
        sent.full_.push_back(now);
        std::erase_if(ends,
                      [&](time_point p_ended)
                      {
                          if (p_ended > now)
                          {
                              return false;
                          }
                          sent.ages_.add(to_seconds(now - p_ended));
                          return true;
                      });
    }
    return sent;
}

/// Time from a death until a peer's table drops the node.
double death_p99(const sending& p_sent, double p_factor)
{
    std::vector<time_point> sends = p_sent.full_;
    sends.insert(sends.end(), p_sent.updates_.begin(), p_sent.updates_.end());
    std::sort(sends.begin(), sends.end());
    sample times;
    for (std::size_t i = 0; i + 1 < sends.size(); ++i)
    {
        peer_table table("me");
        table.set_digest_interval(
            from_seconds(p_factor * to_seconds(digest_interval)));
        peer_state state;
        state.peer_address_ = "peer";
        state.received_at_ = sends[i];
        table.update(state);
        duration live{};
        while (table.is_live(state, sends[i] + live))
        {
            live += tick;
        }
        for (time_point died = sends[i]; died < sends[i + 1]; died += tick)
        {
            times.add(to_seconds(sends[i] + live - died));
        }
    }
    return times.quantile(0.99);
}

entry_wire::digest make_digest(const fleet& p_fleet, bool p_full,
                               double p_requests)
{
    std::mt19937_64 random(6);
    const auto engine_name = [&]
    { return "engine-" + std::to_string(random() % p_fleet.engines_); };
    entry_wire::digest digest;
    digest.node = "entry-117";
    digest.started_ms = 1'700'000'000'000;
    digest.sequence = 1'000;
    digest.callers = "10.0.0.117:8080";
    digest.peers = "10.0.0.117:7400";
    digest.domain = "fd3";
    digest.whole = p_full;
    for (int i = 0; i < static_cast<int>(p_requests); ++i)
    {
        if (p_full)
        {
            auto& load = digest.running_at[engine_name()];
            load.all_requests += 1;
            load.tokens += 2'000;
            load.streams[1'000] += 1;
            load.unread_us += i % 10 == 0 ? 50'000 : 0;
            continue;
        }
        entry_wire::sent_request sent;
        sent.server = engine_name();
        sent.parts.resize(parts_of_prompt);
        for (auto& part : sent.parts)
        {
            part.key = static_cast<std::int64_t>(random());
            part.tokens = 500;
        }
        sent.reading_us = 50'000;
        sent.tokens = 2'000;
        sent.pause_ms = 1'000;
        digest.sent.push_back(sent);
    }
    if (p_full)
    {
        digest.known = {"10.0.0.1:7400", "10.0.0.2:7400", "10.0.0.3:7400"};
    }
    return digest;
}

double seconds_of(const std::function<void()>& p_work)
{
    const auto began = std::chrono::steady_clock::now();
    for (int i = 0; i < repetitions; ++i)
    {
        p_work();
    }
    return std::chrono::duration<double>(std::chrono::steady_clock::now() -
                                         began)
               .count() /
           repetitions;
}

/// Seconds to decode a peer's digest and to merge it into the loads of the
/// engines, which know those of all peers.
double receive_seconds(const fleet& p_fleet, const std::string& p_bytes)
{
    std::map<std::string, dispatch::peer_loads> engines;
    const auto full =
        make_digest(p_fleet, true, p_fleet.requests_per_s_ * mean_stream_s);
    for (std::size_t peer = 1; peer < p_fleet.nodes_; ++peer)
    {
        for (const auto& [server, load] : full.running_at)
        {
            dispatch::server_load known;
            known.add(true, 1s, static_cast<std::uint64_t>(load.tokens));
            engines[server].set(node_id("10.0.0." + std::to_string(peer)),
                                known, time_point{1h});
        }
    }
    return seconds_of(
        [&]
        {
            const auto digest = decode_digest(p_bytes);
            const node_id peer(digest->peers);
            for (const auto& [server, load] : digest->running_at)
            {
                dispatch::server_load known;
                known.requests_ = static_cast<unsigned>(load.all_requests);
                known.tokens_ = static_cast<std::uint64_t>(load.tokens);
                known.pending_prefill_ = duration(load.unread_us);
                for (const auto& [pause, count] : load.streams)
                {
                    known.stream_counts_[std::chrono::milliseconds(pause)] =
                        static_cast<unsigned>(count);
                }
                engines[server].set(peer, known, time_point{1h});
            }
            for (const auto& sent : digest->sent)
            {
                engines[sent.server].add(
                    peer, std::chrono::milliseconds(sent.pause_ms),
                    static_cast<std::uint64_t>(sent.tokens),
                    duration(sent.reading_us), time_point{1h});
            }
        });
}

} // namespace

void measure_full_mesh(const fleet& p_fleet)
{
    const auto peers = static_cast<double>(p_fleet.nodes_ - 1);
    const double factor = std::max(1.0, peers / max_peers_at_full_rate);
    sending sent = simulate_sending(p_fleet, factor);
    const double seconds = to_seconds(simulated_time);
    const double full_per_s = static_cast<double>(sent.full_.size()) / seconds;
    const double updates_per_s =
        static_cast<double>(sent.updates_.size()) / seconds;
    const double requests_in_update =
        static_cast<double>(sent.requests_in_updates_) /
        std::max(1.0,
                 static_cast<double>(sent.full_.size() + sent.updates_.size()));
    const auto full =
        make_digest(p_fleet, true, p_fleet.requests_per_s_ * mean_stream_s);
    const auto update =
        make_digest(p_fleet, false, std::max(1.0, requests_in_update));
    const std::string full_bytes = encode(full);
    const std::string update_bytes = encode(update);
    // Full digests have the requests sent since the last update, too.
    const double bytes_per_s =
        peers * (full_per_s * static_cast<double>(full_bytes.size()) +
                 static_cast<double>(sent.requests_in_updates_) / seconds /
                     std::max(1.0, requests_in_update) *
                     static_cast<double>(update_bytes.size()));
    const double datagrams_per_s = peers * (full_per_s + updates_per_s);
    const double cpu_s =
        full_per_s * seconds_of([&] { static_cast<void>(encode(full)); }) +
        updates_per_s * seconds_of([&] { static_cast<void>(encode(update)); }) +
        peers * (full_per_s * receive_seconds(p_fleet, full_bytes) +
                 updates_per_s * receive_seconds(p_fleet, update_bytes));
    const double domains = static_cast<double>(p_fleet.failure_domains_);
    const double across = (peers + 1) * (1 - 1 / domains) / peers;
    std::printf(
        "bench=gossip exchange=full_mesh nodes=%zu load_age_p50_s=%.2f "
        "load_age_p99_s=%.2f death_p99_s=%.2f datagrams_s=%.0f bytes_s=%.0f "
        "domain_bytes_s=%.0f largest_datagram=%zu cpu_us_s=%.0f\n",
        p_fleet.nodes_, sent.ages_.quantile(0.5), sent.ages_.quantile(0.99),
        death_p99(sent, factor), datagrams_per_s, bytes_per_s,
        bytes_per_s * across, full_bytes.size(), cpu_s * 1e6);
    std::fflush(stdout);
}

} // namespace peridotspar::bench
