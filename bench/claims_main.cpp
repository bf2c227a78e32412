// Compares two storage layouts for claims of idempotency keys against the
// stand-in platform: one object for each request, and segments with group
// commit. Prints the rate of store calls, the added latency and the failures.

#include "core/log.hpp"
#include "core/text.hpp"
#include "ctl/load_generator.hpp"
#include "store/claim_committer.hpp"
#include "store/platform_client.hpp"

#include <atomic>
#include <cstdio>
#include <memory>
#include <mutex>
#include <thread>

#include <civetweb.h>
#include <popt.h>

namespace
{

using namespace peridotspar;
using steady = std::chrono::steady_clock;

constexpr std::chrono::milliseconds store_timeout{5000};
constexpr std::size_t claim_threads = 4;

struct claim_stats
{
    std::mutex mutex_;
    std::vector<double> latencies_ms_;
    std::uint64_t failures_ = 0;

    void record(double p_ms, bool p_granted)
    {
        std::lock_guard lock(mutex_);
        latencies_ms_.push_back(p_ms);
        failures_ += p_granted ? 0 : 1;
    }
};

double ms_since(steady::time_point p_start)
{
    return std::chrono::duration<double, std::milli>(steady::now() - p_start)
        .count();
}

/// Claims an order and records its answer in an object of its own.
bool claim_in_object(platform_client& r_store, steady::time_point p_start,
                     claim_stats& r_stats)
{
    const std::string name = "order-" + make_uuid7();
    const auto claimed = r_store.put(name, 0, "{\"nonce\":\"n\"}");
    r_stats.record(ms_since(p_start), claimed.has_value());
    return claimed && r_store.put(name, *claimed, "{\"answer\":\"x\"}");
}

/// Claims an order and records its answer in a segment with group commit.
bool claim_in_segment(claim_committer<platform_client>& r_claims,
                      steady::time_point p_start, claim_stats& r_stats)
{
    const std::string key = make_uuid7();
    const auto segment = locate_claim("shop", key);
    const auto result = r_claims.claim(*segment, key, "body");
    const bool granted = result.kind_ == claim_result::kind::granted;
    r_stats.record(ms_since(p_start), granted);
    if (granted)
    {
        r_claims.finish(*segment, key, {200, "text/plain", "done"});
    }
    return granted;
}

struct bench_node
{
    explicit bench_node(const endpoint& p_platform)
        : store_(p_platform, node_id("bench"), store_timeout),
          claims_(store_, claim_threads)
    {
    }
    platform_client store_;
    claim_committer<platform_client> claims_;
};

void run_case(const std::string& p_layout, const endpoint& p_platform,
              int p_nodes, double p_rate, int p_seconds)
{
    std::vector<std::unique_ptr<bench_node>> nodes;
    nodes.reserve(static_cast<std::size_t>(p_nodes));
    for (int i = 0; i < p_nodes; ++i)
    {
        nodes.push_back(std::make_unique<bench_node>(p_platform));
    }
    claim_stats stats;
    const auto order_count = static_cast<std::uint64_t>(p_rate * p_seconds);
    std::atomic<std::uint64_t> next{0};
    const auto started = steady::now();
    const auto worker = [&]
    {
        for (std::uint64_t i = next++; i < order_count; i = next++)
        {
            const auto send_time =
                started + std::chrono::duration_cast<steady::duration>(
                              std::chrono::duration<double>(
                                  static_cast<double>(i) / p_rate));
            std::this_thread::sleep_until(send_time);
            bench_node& node = *nodes[i % nodes.size()];
            p_layout == "object"
                ? claim_in_object(node.store_, send_time, stats)
                : claim_in_segment(node.claims_, send_time, stats);
        }
    };
    constexpr std::size_t caller_threads = 64;
    std::vector<std::thread> threads;
    threads.reserve(caller_threads);
    for (std::size_t i = 0; i < caller_threads; ++i)
    {
        threads.emplace_back(worker);
    }
    for (auto& thread : threads)
    {
        thread.join();
    }
    const double elapsed_s = ms_since(started) / 1000;
    std::uint64_t put_count = 0;
    std::uint64_t get_count = 0;
    for (auto& node : nodes)
    {
        node->claims_.stop();
        put_count += node->store_.call_counts().puts_;
        get_count += node->store_.call_counts().gets_;
    }
    std::printf("bench=claims way=%s nodes=%d orders_per_s=%.0f "
                "reached_per_s=%.0f writes_per_s=%.1f reads_per_s=%.1f "
                "added_p50_ms=%.1f added_p99_ms=%.1f failed=%llu\n",
                p_layout.c_str(), p_nodes, p_rate,
                static_cast<double>(order_count) / elapsed_s,
                static_cast<double>(put_count) / elapsed_s,
                static_cast<double>(get_count) / elapsed_s,
                percentile(stats.latencies_ms_, 0.5),
                percentile(stats.latencies_ms_, 0.99),
                static_cast<unsigned long long>(stats.failures_));
}

} // namespace

int main(int p_count, char** p_arguments)
{
    char* address = nullptr;
    int seconds = 4;
    poptOption options[] = {
        {"platform", 0, POPT_ARG_STRING, &address, 0, "address", "ADDRESS"},
        {"seconds", 0, POPT_ARG_INT, &seconds, 0,
         "duration of each case in seconds", "N"},
        POPT_AUTOHELP POPT_TABLEEND};
    poptContext context = poptGetContext(
        nullptr, p_count, const_cast<const char**>(p_arguments), options, 0);
    if (poptGetNextOpt(context) < -1 || address == nullptr || seconds < 1)
    {
        poptPrintUsage(context, stderr, 0);
        return 2;
    }
    start_logging(log_level::error);
    mg_init_library(0);
    const endpoint platform{address, 7000};
    for (const double rate : {5.0, 50.0, 200.0, 550.0})
    {
        for (const int nodes : {1, 9, 36})
        {
            run_case("object", platform, nodes, rate, seconds);
            run_case("segment", platform, nodes, rate, seconds);
        }
    }
    return 0;
}
