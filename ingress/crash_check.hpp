#pragma once

#include "backend/buffered_client.hpp"
#include "quarantine/crash_attribution.hpp"
#include "routing/server_list.hpp"

#include <functional>
#include <map>
#include <vector>

namespace peridotspar::ingress
{

/// Finds out whether a server whose connection broke has crashed. A server that
/// only lost an answer, or whose connection was reset on the way, accepts a new
/// connection and responds; a crashed one doesn't. One check covers all calls
/// that a server lost within a short time. Use only from the thread that runs
/// `p_context`.
class crash_check
{
public:
    /// A server crashed at `p_at` while it ran a request with these keys, which
    /// it had not begun to answer.
    using crash_callback = std::function<void(
        quarantine::server_key p_server,
        const std::vector<quarantine::suspect>& p_suspects, time_point p_at)>;

    /// Whether a server other than this one, by id, was heard since a time.
    using heard_check =
        std::function<bool(const std::string& p_server, time_point p_since)>;

    crash_check(boost::asio::io_context& p_context, crash_callback p_on_crash,
                heard_check p_heard_other);

    /// A call to a server was lost that it may have run. The callback is called
    /// later, if at all.
    void record_lost_call(const routing::server_entry& p_server,
                          std::vector<quarantine::suspect> p_suspects,
                          time_point p_now);
    /// Sends checks that are due and enforces their timeouts. Call regularly.
    void tick(time_point p_now);

private:
    struct lost_call
    {
        std::vector<quarantine::suspect> suspects_;
        time_point at_{};
    };
    struct check
    {
        std::string server_; ///< Its id.
        std::string address_;
        time_point due_{};
        bool sent_ = false;
        std::vector<lost_call> calls_;
    };

    void send(const std::string& p_key, check& r_check);
    void handle_response(const std::string& p_key,
                         const backend::client_response& p_response);

    crash_callback on_crash_;
    heard_check heard_other_;
    backend::buffered_client client_;
    std::map<std::string, check> checks_; ///< By key of the server's run.
};

} // namespace peridotspar::ingress
