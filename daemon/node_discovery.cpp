#include "daemon/node_discovery.hpp"

#include "core/log.hpp"
#include "platform/names.hpp"
#include "platform/object_calls.hpp"

#include <utility>

namespace peridotspar
{

namespace
{

using namespace std::chrono_literals;

constexpr int http_ok = 200;
constexpr duration page_timeout = 2s;
constexpr duration max_list_time = 10s;
/// Other writers' objects may stand among the nodes. A list of more pages ends,
/// to spare the store.
constexpr unsigned max_pages = 16;

} // namespace

node_discovery::node_discovery(
    backend::buffered_client& p_client, std::string p_store,
    std::function<void(const std::string&)> p_on_peer)
    : client_(p_client),
      store_(std::move(p_store)),
      on_peer_(std::move(p_on_peer)),
      cursor_(max_list_time)
{
}

void node_discovery::start()
{
    if (!std::exchange(listing_, true))
    {
        cursor_.restart(clock_.now());
        list_page();
    }
}

void node_discovery::list_page()
{
    client_.send(store_,
                 platform::list_request(store_, platform::names::nodes_kind,
                                        cursor_.after(), true),
                 page_timeout,
                 [this](const backend::client_response& p_response)
                 { handle_page(p_response); });
}

void node_discovery::handle_page(const backend::client_response& p_response)
{
    const auto page = p_response.status_ == http_ok
                          ? platform::parse_page(p_response.body_)
                          : tl::unexpected(std::string("status"));
    if (!page)
    {
        // Peers are still found through seeds and digests.
        log_event(log_level::info, "nodes.list_failed")
            .with("status", p_response.status_)
            .with("error", page.error());
        listing_ = false;
        return;
    }
    report(*page);
    const list_cursor::end end = cursor_.add(*page, clock_.now());
    if (end == list_cursor::end::none && cursor_.pages() < max_pages)
    {
        list_page();
        return;
    }
    listing_ = false;
    if (end != list_cursor::end::complete)
    {
        log_event(log_level::warning, "nodes.list_incomplete")
            .with("end", to_string(end))
            .with("pages", cursor_.pages());
    }
}

void node_discovery::report(const object_page& p_page) const
{
    for (const auto& object : p_page.objects_)
    {
        const std::string peer = platform::parse_node(object.document_);
        if (!peer.empty())
        {
            on_peer_(peer);
        }
    }
}

} // namespace peridotspar
