#pragma once

#include "core/entry_settings.hpp"

#include <memory>
#include <string>

namespace peridotspar
{

/// An entry node on the cooperative platform: routes callers' requests to
/// backend servers. All its work runs on the thread that calls run().
class entry_node
{
public:
    /// Binds all listeners; throws boost::system::system_error if an address
    /// can't be bound. `p_settings_path`: file that is read again once a second
    /// and on SIGHUP, to pick up new seeds.
    entry_node(entry_settings p_settings, std::string p_settings_path);
    ~entry_node();
    entry_node(const entry_node&) = delete;
    entry_node& operator=(const entry_node&) = delete;

    /// Serves until SIGTERM or SIGINT and then shuts down: accepts requests
    /// while callers may still use this node's address, completes those in
    /// progress and returns, at the latest shortly before the stop grace period
    /// of the settings ends.
    void run();

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace peridotspar
