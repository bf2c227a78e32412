#pragma once

#include "backend/connection.hpp"
#include "dispatch/handover_policy.hpp"

#include <string>
#include <string_view>

namespace peridotspar::ingress
{

/// Headers of requests and responses between nodes. On a caller's request they
/// mean nothing.
namespace handover_headers
{
/// How many servers may still run the request.
inline constexpr std::string_view runs = "Peridotspar-Runs-Left";
/// How long the request has been with the first node.
inline constexpr std::string_view waited_ms = "Peridotspar-Waited-Ms";
/// The peer sent the request to no server and won't. The value says why.
inline constexpr std::string_view not_run = "Peridotspar-Not-Run";
inline constexpr std::string_view not_run_refused = "refused";
inline constexpr std::string_view not_run_unreachable = "unreachable";
} // namespace handover_headers

/// Receives the response of a peer to a request that was handed over to it.
/// Recognizes what the peer didn't run, and passes nothing on before the
/// response is known to belong to the request. Use only from the node's thread.
class peer_call : public backend::call_handler
{
public:
    class owner
    {
    public:
        virtual ~owner() = default;
        /// The peer relays a response.
        virtual void on_peer_head(const http::response_head& p_head) = 0;
        virtual void on_peer_body(std::string p_bytes) = 0;
        virtual void on_peer_complete() = 0;
        /// The peer sent the request to no server. `p_head` is its response.
        virtual void on_peer_refused(const http::response_head& p_head,
                                     dispatch::handover_result p_result) = 0;
        /// The connection broke; `p_sent` if bytes of the request may have been
        /// sent.
        virtual void on_peer_lost(bool p_sent) = 0;
    };

    /// `p_owner` must outlive the call, or close its connection first.
    peer_call(owner& p_owner, std::string p_attempt);

    bool on_head(const http::response_head& p_head) override;
    void on_body(std::string p_bytes) override;
    void on_complete() override;
    void on_failure(backend::call_failure p_failure) override;

private:
    owner& owner_;
    std::string attempt_;
    http::response_head head_;
    bool refused_ = false;
};

} // namespace peridotspar::ingress
