#pragma once

#include "core/settings.hpp"
#include "daemon/caller_request.hpp"
#include "daemon/caller_request_parser.hpp"
#include "daemon/decision_loop.hpp"
#include "observe/burn_recorder.hpp"
#include "observe/metrics.hpp"
#include "store/claim_committer.hpp"
#include "store/platform_client.hpp"
#include "transport/http_server.hpp"

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>

namespace peridotspar
{

/// The HTTP API for callers: model completions, calls to plain services and the
/// list of models. Requests are served on the HTTP server's worker threads, one
/// at a time on each; any thread may call the other members.
class caller_api
{
public:
    struct dependencies
    {
        const settings& settings_;
        decision_loop& decision_loop_;
        backend_io& backends_;
        claim_committer<platform_client>& claim_committer_;
        burn_recorder& burn_recorder_;
        metrics& metrics_;
    };

    explicit caller_api(dependencies p_dependencies);

    /// Applies a configuration to requests that start from now on.
    void set_snapshot(std::shared_ptr<const snapshot> p_snapshot);
    /// Serves one request whose path starts with `/v1/`. Returns when the
    /// response is complete or the caller is gone.
    void serve(http_exchange& r_exchange);
    /// Refuses new requests from now on; requests in progress continue.
    void close() { closed_ = true; }

    /// Number of requests being served.
    [[nodiscard]] std::uint32_t in_progress() const { return in_progress_; }

private:
    void serve_completion(http_exchange& r_exchange,
                          const request_context& p_context, bool p_chat);
    void serve_service(http_exchange& r_exchange,
                       const request_context& p_context);
    void serve_models(http_exchange& r_exchange,
                      const request_context& p_context);
    /// Identifies the client account by its API key and gives the request an
    /// id.
    [[nodiscard]] outcome<request_context>
    authenticate(http_exchange& r_exchange);
    /// Submits a parsed request for a decision and relays its response.
    void route(http_exchange& r_exchange, const request_context& p_context,
               caller_request p_request);
    /// The request id as callers and logs see it; unique across nodes.
    [[nodiscard]] std::string format_request_id(request_id p_request) const;

    dependencies dependencies_;
    caller_request_parser request_parser_;
    std::atomic<std::shared_ptr<const snapshot>> snapshot_;
    std::atomic<std::uint64_t> last_request_id_;
    std::atomic<std::uint32_t> in_progress_{0};
    std::atomic<bool> closed_{false};
};

} // namespace peridotspar
