#include "ingress/crash_check.hpp"

#include "core/log.hpp"
#include "platform/engine_calls.hpp"

#include <utility>

namespace peridotspar::ingress
{

namespace
{

using namespace std::chrono_literals;

/// A server that crashes may accept connections for a moment more.
constexpr duration check_delay = 100ms;
constexpr duration response_timeout = 700ms;
/// A server that accepted no connection may have been out of this node's reach
/// only. If another server responds later than this, it is checked once more.
constexpr duration max_unreached_age = 300ms;
/// A check ends without result if no other server responds for so long.
constexpr duration max_check_time = 3s;

} // namespace

crash_check::crash_check(boost::asio::io_context& p_context,
                         crash_callback p_on_crash, contact_check p_heard_other)
    : on_crash_(std::move(p_on_crash)),
      other_contact_(std::move(p_heard_other)),
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
        pending.server_ = p_server;
        pending.due_ = p_now + check_delay;
    }
    pending.calls_.push_back({std::move(p_suspects), p_now});
}

void crash_check::tick(time_point p_now)
{
    client_.tick(p_now);
    for (auto it = checks_.begin(); it != checks_.end();)
    {
        auto& [key, pending] = *it;
        if (!pending.sent_ && p_now >= pending.due_)
        {
            send(key, pending);
        }
        const bool decided =
            pending.unreached_at_ && try_decide(key, pending, p_now);
        it = decided ? checks_.erase(it) : std::next(it);
    }
}

void crash_check::send(const std::string& p_key, check& r_check)
{
    r_check.sent_ = true;
    const std::string& address = r_check.server_.address_;
    client_.send(address, platform::liveness_request(address), response_timeout,
                 [this, p_key](const backend::client_response& p_response)
                 { handle_response(p_key, p_response); });
}

void crash_check::handle_response(const std::string& p_key,
                                  const backend::client_response& p_response)
{
    const auto found = checks_.find(p_key);
    if (found == checks_.end())
    {
        return;
    }
    // A server that accepted the connection runs, even if it says nothing.
    const bool reached = p_response.status_ != 0 || !p_response.unsent_;
    log_event(log_level::info, "server.checked")
        .with("server", p_key)
        .with("status", p_response.status_)
        .with("reached", reached)
        .with("lost_calls", found->second.calls_.size());
    if (reached)
    {
        checks_.erase(found);
        return;
    }
    found->second.unreached_at_ = clock_.now();
}

bool crash_check::try_decide(const std::string& p_key, check& r_check,
                             time_point p_now)
{
    const time_point lost_at = r_check.calls_.front().at_;
    if (other_contact_(r_check.server_, lost_at))
    {
        if (p_now - *r_check.unreached_at_ <= max_unreached_age)
        {
            report_crash(p_key, r_check);
            return true;
        }
        r_check.unreached_at_.reset();
        r_check.sent_ = false;
        r_check.due_ = p_now;
        return false;
    }
    if (p_now - lost_at < max_check_time)
    {
        return false;
    }
    log_event(log_level::info, "server.check_open")
        .with("server", p_key)
        .with("reason", "no other server of its service responded")
        .with("lost_calls", r_check.calls_.size());
    return true;
}

void crash_check::report_crash(const std::string& p_key,
                               const check& p_check) const
{
    log_event(log_level::info, "server.crashed")
        .with("server", p_key)
        .with("lost_calls", p_check.calls_.size());
    const auto server = quarantine::key_of(p_key);
    for (const lost_call& lost : p_check.calls_)
    {
        on_crash_(server, lost.suspects_, lost.at_);
    }
}

} // namespace peridotspar::ingress
