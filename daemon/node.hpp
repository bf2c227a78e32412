#pragma once

#include "core/settings.hpp"

#include <memory>

namespace peridotspar
{

/// A router node with its APIs, decision loop, peer communication and access to
/// the store.
class node
{
public:
    /// Starts all threads; throws std::runtime_error if a port can't be bound.
    explicit node(settings p_settings);
    ~node();
    node(const node&) = delete;
    node& operator=(const node&) = delete;

    /// Waits for leave(), SIGTERM or SIGINT, which all threads must have
    /// blocked, and then shuts down: serves requests while callers may still
    /// use this node's address, completes those in progress and returns.
    void run();
    /// Makes run() shut down. Any thread may call it.
    void leave();

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace peridotspar
