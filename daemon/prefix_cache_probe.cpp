#include "daemon/prefix_cache_probe.hpp"

#include "core/log.hpp"
#include "platform/engine_calls.hpp"

#include <algorithm>

namespace peridotspar
{

namespace
{

constexpr duration probe_timeout = std::chrono::seconds(2);
constexpr int ok = 200;
/// Number of nodes that ask an engine if all nodes start at once. A smaller
/// fleet asks all engines at each start of a node, which has nobody else's
/// answers if it starts alone.
constexpr std::size_t nodes_per_engine = 8;
/// Parts of an engine that are reported to the other nodes. The bound keeps the
/// report in one datagram of common size; small parts are soon prefilled again.
constexpr std::size_t max_reported_parts = 100;
constexpr std::uint32_t min_reported_tokens = 512;

/// The parts of a report that are worth telling other nodes.
dispatch::cache_report largest_parts(dispatch::cache_report p_report)
{
    auto& parts = p_report.parts_;
    std::erase_if(parts, [](const routing::prompt_part& p_part)
                  { return p_part.tokens_ < min_reported_tokens; });
    if (parts.size() > max_reported_parts)
    {
        const auto end = parts.begin() + max_reported_parts;
        std::nth_element(parts.begin(), end, parts.end(),
                         [](const auto& p_left, const auto& p_right)
                         { return p_left.tokens_ > p_right.tokens_; });
        parts.erase(end, parts.end());
    }
    return p_report;
}

} // namespace

std::vector<std::string>
select_probed_engines(std::vector<std::string> p_engines, std::size_t p_nodes,
                      std::mt19937_64& r_random)
{
    const std::size_t nodes = std::max<std::size_t>(p_nodes, 1);
    const std::size_t share =
        (p_engines.size() * nodes_per_engine + nodes - 1) / nodes;
    if (share < p_engines.size())
    {
        std::shuffle(p_engines.begin(), p_engines.end(), r_random);
        p_engines.resize(share);
    }
    return p_engines;
}

void prefix_cache_probe::probe(const routing::server_list::entries& p_servers,
                               std::size_t p_nodes)
{
    std::vector<std::string> engines;
    for (const auto& [id, server] : p_servers)
    {
        if (placement_.servers().is_engine(id))
        {
            engines.push_back(id);
        }
    }
    for (const auto& id :
         select_probed_engines(std::move(engines), p_nodes, random_))
    {
        send_probe(p_servers.at(id));
    }
}

void prefix_cache_probe::send_probe(const routing::server_entry& p_engine)
{
    client_.send(p_engine.address_,
                 platform::kv_list_request(p_engine.address_), probe_timeout,
                 [this, id = p_engine.instance_.id_](
                     const backend::client_response& p_response)
                 { handle_response(id, p_response); });
}

void prefix_cache_probe::handle_response(
    const std::string& p_engine, const backend::client_response& p_response)
{
    if (p_response.status_ != ok)
    {
        // The cache contents are learned from the requests that are sent to
        // the engine.
        log_event(log_level::info, "engine.cache_probe_failed")
            .with("server", p_engine)
            .with("status", p_response.status_);
        return;
    }
    dispatch::cache_report report{p_engine, {}};
    for (const auto& [part, model] : platform::parse_kv_list(p_response.body_))
    {
        report.parts_.push_back(
            {dispatch::cache_key(part.id_, model), part.tokens_});
    }
    log_event(log_level::info, "engine.cache_probed")
        .with("server", p_engine)
        .with("parts", report.parts_.size());
    placement_.servers().record_cached(report, boot_clock().now());
    reports_.push_back(largest_parts(std::move(report)));
}

std::vector<dispatch::cache_report> prefix_cache_probe::take_reports()
{
    return std::exchange(reports_, {});
}

} // namespace peridotspar
