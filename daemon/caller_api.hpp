#pragma once

#include "core/settings.hpp"
#include "daemon/caller_work.hpp"
#include "daemon/decision_loop.hpp"
#include "daemon/request_reader.hpp"
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

/// Serves callers: model completions and plain services. Its handlers run on
/// the HTTP server's worker threads, one request each.
class caller_api
{
public:
    struct parts
    {
        const settings& settings_;
        decision_loop& decisions_;
        backend_io& backends_;
        claim_committer<platform_client>& claims_;
        burn_recorder& burn_;
        metrics& metrics_;
    };

    explicit caller_api(parts p_parts);

    void set_snapshot(std::shared_ptr<const snapshot> p_snapshot);
    /// Serves one request below `/v1/`.
    void serve(http_exchange& r_exchange);
    /// Refuses new requests from now on; those in progress go on.
    void close() { closed_ = true; }

    [[nodiscard]] std::uint32_t in_progress() const { return in_progress_; }

private:
    void serve_completion(http_exchange& r_exchange,
                          const caller_identity& p_caller, bool p_chat);
    void serve_service(http_exchange& r_exchange,
                       const caller_identity& p_caller);
    void serve_models(http_exchange& r_exchange,
                      const caller_identity& p_caller);
    [[nodiscard]] outcome<caller_identity> identify(http_exchange& r_exchange);
    void run(http_exchange& r_exchange, const caller_identity& p_caller,
             caller_work p_work);
    [[nodiscard]] std::string text_of(request_id p_request) const;

    parts parts_;
    request_reader reader_;
    std::atomic<std::shared_ptr<const snapshot>> snapshot_;
    std::atomic<std::uint64_t> next_request_;
    std::atomic<std::uint32_t> in_progress_{0};
    std::atomic<bool> closed_{false};
};

} // namespace peridotspar
