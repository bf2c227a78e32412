#include "ingress/crash_check.hpp"

#include "core/log.hpp"
#include "platform/engine_calls.hpp"

#include <utility>

#include <xxhash.h>

namespace peridotspar::ingress
{

namespace
{

using namespace std::chrono_literals;

/// A server that crashes may accept connections for a moment more.
constexpr duration check_delay = 100ms;
constexpr duration response_timeout = 700ms;

} // namespace

crash_check::crash_check(boost::asio::io_context& p_context,
                         crash_callback p_on_crash, heard_check p_heard_other)
    : on_crash_(std::move(p_on_crash)),
      heard_other_(std::move(p_heard_other)),
      client_(p_context)
{
}

void crash_check::record_lost_call(const routing::server_entry& p_server,
                                   std::vector<quarantine::suspect> p_suspects,
                                   time_point p_now)
{
    check& pending = checks_[p_server.instance_.key()];
    if (pending.calls_.empty())
    {
        pending.server_ = p_server.instance_.id_;
        pending.address_ = p_server.address_;
        pending.due_ = p_now + check_delay;
    }
    pending.calls_.push_back({std::move(p_suspects), p_now});
}

void crash_check::tick(time_point p_now)
{
    client_.tick(p_now);
    for (auto& [key, pending] : checks_)
    {
        if (!pending.sent_ && p_now >= pending.due_)
        {
            send(key, pending);
        }
    }
}

void crash_check::send(const std::string& p_key, check& r_check)
{
    r_check.sent_ = true;
    client_.send(r_check.address_, platform::liveness_request(r_check.address_),
                 response_timeout,
                 [this, p_key](const backend::client_response& p_response)
                 { handle_response(p_key, p_response); });
}

void crash_check::handle_response(const std::string& p_key,
                                  const backend::client_response& p_response)
{
    const auto node = checks_.extract(p_key);
    if (node.empty())
    {
        return;
    }
    // A server that accepted the connection runs, even if it says nothing.
    const bool crashed = p_response.status_ == 0 && p_response.unsent_;
    log_event(log_level::info, "server.checked")
        .with("server", p_key)
        .with("status", p_response.status_)
        .with("crashed", crashed)
        .with("others_heard", heard_other_(node.mapped().server_,
                                           node.mapped().calls_.front().at_))
        .with("lost_calls", node.mapped().calls_.size());
    if (!crashed)
    {
        return;
    }
    const quarantine::server_key server(XXH64(p_key.data(), p_key.size(), 0));
    for (const lost_call& lost : node.mapped().calls_)
    {
        on_crash_(server, lost.suspects_, lost.at_);
    }
}

} // namespace peridotspar::ingress
