#include "ingress/peer_call.hpp"

#include "platform/request_headers.hpp"

namespace peridotspar::ingress
{

peer_call::peer_call(owner& p_owner, std::string p_attempt)
    : owner_(p_owner), attempt_(std::move(p_attempt))
{
}

bool peer_call::on_head(const http::response_head& p_head)
{
    const auto metadata = platform::parse_response(p_head);
    if (metadata.attempt_ != attempt_)
    {
        return false;
    }
    head_ = p_head;
    refused_ = !metadata.sealed_ &&
               http::find_header(p_head.headers_, handover_headers::not_run) !=
                   nullptr;
    if (!refused_)
    {
        owner_.on_peer_head(p_head);
    }
    return true;
}

void peer_call::on_body(std::string p_bytes)
{
    if (!refused_)
    {
        owner_.on_peer_body(std::move(p_bytes));
    }
}

void peer_call::on_complete()
{
    if (refused_)
    {
        const bool unreachable =
            *http::find_header(head_.headers_, handover_headers::not_run) ==
            handover_headers::not_run_unreachable;
        owner_.on_peer_refused(
            head_, unreachable ? dispatch::handover_result::unreachable
                               : dispatch::handover_result::refused);
        return;
    }
    if (head_.close_delimited_)
    {
        // A node always frames its responses.
        owner_.on_peer_lost(true);
        return;
    }
    owner_.on_peer_complete();
}

void peer_call::on_failure(backend::call_failure p_failure)
{
    owner_.on_peer_lost(p_failure != backend::call_failure::unsent);
}

} // namespace peridotspar::ingress
