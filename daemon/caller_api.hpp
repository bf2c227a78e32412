#pragma once

#include "core/settings.hpp"
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
    struct caller;
    struct work;
    class relay;

    void serve_completion(http_exchange& r_exchange, const caller& p_caller,
                          bool p_chat);
    void serve_service(http_exchange& r_exchange, const caller& p_caller);
    void serve_models(http_exchange& r_exchange, const caller& p_caller);
    [[nodiscard]] outcome<caller> identify(http_exchange& r_exchange);
    [[nodiscard]] outcome<work> read_completion(http_exchange& r_exchange,
                                                const caller& p_caller,
                                                bool p_chat);
    [[nodiscard]] outcome<work> read_service(http_exchange& r_exchange,
                                             const caller& p_caller);
    [[nodiscard]] std::optional<failure> read_common(http_exchange& r_exchange,
                                                     const caller& p_caller,
                                                     work& r_work) const;
    [[nodiscard]] std::optional<failure> read_key(http_exchange& r_exchange,
                                                  const caller& p_caller,
                                                  bool p_required,
                                                  work& r_work) const;
    void run(http_exchange& r_exchange, const caller& p_caller, work p_work);
    [[nodiscard]] std::string text_of(request_id p_request) const;

    parts parts_;
    std::atomic<std::shared_ptr<const snapshot>> snapshot_;
    std::atomic<std::uint64_t> next_request_;
    std::atomic<std::uint32_t> in_progress_{0};
    std::atomic<bool> closed_{false};
};

} // namespace peridotspar
