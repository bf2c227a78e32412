#include "daemon/kept_parts_survey.hpp"

#include "core/log.hpp"
#include "platform/engine_calls.hpp"

namespace peridotspar
{

namespace
{

constexpr duration answer_limit = std::chrono::seconds(2);
constexpr int ok = 200;

} // namespace

void kept_parts_survey::ask(const routing::server_list::entries& p_servers)
{
    for (const auto& [id, server] : p_servers)
    {
        if (!placement_.servers().is_engine(id) ||
            !asked_.insert(server.instance_).second)
        {
            continue;
        }
        calls_.send(
            server.address_, platform::kept_parts_call(server.address_),
            answer_limit,
            [this, id = id](const backend::client_response& p_answer)
            {
                if (p_answer.status_ != ok)
                {
                    // The engine's memory is learnt by use then.
                    log_event(log_level::info, "engine.not_surveyed")
                        .with("server", id)
                        .with("status", p_answer.status_);
                    return;
                }
                const auto parts = platform::read_kept_parts(p_answer.body_);
                log_event(log_level::info, "engine.surveyed")
                    .with("server", id)
                    .with("parts", parts.size());
                placement_.servers().note_cached(id, parts, boot_clock().now());
            });
    }
}

} // namespace peridotspar
