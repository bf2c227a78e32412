#pragma once

#include "core/entry_settings.hpp"

#include <memory>
#include <string>

namespace peridotspar
{

/// One node on the cooperative platform, on one thread.
class entry_node
{
public:
    /// `p_path`: of the settings, which are read again when they change.
    entry_node(entry_settings p_settings, std::string p_settings_path);
    ~entry_node();
    entry_node(const entry_node&) = delete;
    entry_node& operator=(const entry_node&) = delete;

    /// Serves until SIGTERM or SIGINT, then leaves: it serves on while callers
    /// may hold its address, finishes what is in progress, and returns.
    void run();

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace peridotspar
