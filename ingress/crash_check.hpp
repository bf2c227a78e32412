#pragma once

#include "backend/buffered_client.hpp"
#include "quarantine/crash_attribution.hpp"
#include "routing/server_list.hpp"

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace peridotspar::ingress
{

/// Finds out whether a server whose connection broke has crashed. A server that
/// only lost an answer, or whose connection was reset on the way, accepts a new
/// connection and responds; a crashed one doesn't. One check covers all calls
/// that a server lost within a short time.
///
/// A node that is cut off from the servers loses its calls and can't connect
/// either. So a crash counts only once another server responded after the loss;
/// if that took a while, the server is checked once more. Use only from the
/// thread that runs `p_context`.
class crash_check
{
public:
    /// A server crashed at `p_at` while it ran a request with these keys, which
    /// it had not begun to answer.
    using crash_callback = std::function<void(
        quarantine::server_key p_server,
        const std::vector<quarantine::suspect>& p_suspects, time_point p_at)>;

    /// Whether another server of the same service responded since a time.
    using contact_check =
        std::function<bool(const routing::server_entry&, time_point p_since)>;

    crash_check(boost::asio::io_context& p_context, crash_callback p_on_crash,
                contact_check p_heard_other);

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
        routing::server_entry server_;
        time_point due_{};
        bool sent_ = false;
        /// When it didn't accept a connection.
        std::optional<time_point> unreached_at_;
        std::vector<lost_call> calls_;
    };

    void send(const std::string& p_key, check& r_check);
    void handle_response(const std::string& p_key,
                         const backend::client_response& p_response);
    /// Decides about a server that accepted no connection; false while that is
    /// open.
    [[nodiscard]] bool try_decide(const std::string& p_key, check& r_check,
                                  time_point p_now);
    void report_crash(const std::string& p_key, const check& p_check) const;

    crash_callback on_crash_;
    contact_check other_contact_;
    boot_clock clock_;
    backend::buffered_client client_;
    std::map<std::string, check> checks_; ///< By key of the server's run.
};

} // namespace peridotspar::ingress
