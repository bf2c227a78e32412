#include "daemon/prefix_cache_probe.hpp"

#include "core/log.hpp"
#include "platform/engine_calls.hpp"

namespace peridotspar
{

namespace
{

constexpr duration probe_timeout = std::chrono::seconds(2);
constexpr int ok = 200;

} // namespace

void prefix_cache_probe::probe(const routing::server_list::entries& p_servers)
{
    for (const auto& [id, server] : p_servers)
    {
        if (!placement_.servers().is_engine(id) ||
            !probed_.insert(server.instance_).second)
        {
            continue;
        }
        client_.send(
            server.address_, platform::kv_list_request(server.address_),
            probe_timeout,
            [this, id = id](const backend::client_response& p_response)
            {
                if (p_response.status_ != ok)
                {
                    // The cache contents are learned from the requests that
                    // are sent to the engine.
                    log_event(log_level::info, "engine.cache_probe_failed")
                        .with("server", id)
                        .with("status", p_response.status_);
                    return;
                }
                const auto parts = platform::parse_kv_list(p_response.body_);
                log_event(log_level::info, "engine.cache_probed")
                    .with("server", id)
                    .with("parts", parts.size());
                placement_.servers().record_cached(id, parts,
                                                   boot_clock().now());
            });
    }
}

} // namespace peridotspar
