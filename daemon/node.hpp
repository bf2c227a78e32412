#pragma once

#include "core/settings.hpp"

#include <memory>

namespace peridotspar
{

/// One node, with all its duties. Starts in the constructor.
class node
{
public:
    explicit node(settings p_settings);
    ~node();
    node(const node&) = delete;
    node& operator=(const node&) = delete;

    /// Waits until the node is told to leave, by `leave` or by SIGTERM or
    /// SIGINT, then leaves: it serves while callers may hold its address,
    /// finishes every request in progress, and returns.
    void run();
    void leave();

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace peridotspar
