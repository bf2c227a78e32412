#pragma once

#include "backend/buffered_client.hpp"
#include "store/list_cursor.hpp"
#include "store/object_types.hpp"

#include <functional>
#include <string>

namespace peridotspar
{

/// Finds the nodes that are registered in the store. Not thread-safe: use it
/// only on the thread of the client's I/O context, and keep it alive until its
/// calls have ended.
class node_discovery
{
public:
    /// `p_store`: IP:PORT. `p_on_peer` is called with the peer address of each
    /// node found, IP:PORT.
    node_discovery(backend::buffered_client& p_client, std::string p_store,
                   std::function<void(const std::string&)> p_on_peer);

    /// Lists the nodes; does nothing while it still does. A list may be some
    /// seconds old. If the store fails, it ends with the nodes found so far.
    void start();

private:
    void list_page();
    void handle_page(const backend::client_response& p_response);
    void report(const object_page& p_page) const;

    backend::buffered_client& client_;
    std::string store_;
    std::function<void(const std::string&)> on_peer_;
    boot_clock clock_;
    list_cursor cursor_;
    bool listing_ = false;
};

} // namespace peridotspar
