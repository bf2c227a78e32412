#pragma once

#include "core/clock.hpp"
#include "core/ids.hpp"
#include "core/strong_type.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

/// A node's view of the configuration and of the backend servers.
namespace peridotspar::routing
{

using service_name = strong_type<struct service_name_tag, std::string>;
using account_name = strong_type<struct account_name_tag, std::string>;

/// Whether and how a request may be sent again.
enum class resend_mode : std::uint8_t
{
    never,   ///< Runs at most once.
    restart, ///< May run again from the start.
    resume,  ///< A stream that another run may resume.
};

/// A service of a route, chosen in proportion to its weight.
struct weighted_service
{
    service_name service_;
    double weight_ = 1;
};

struct route
{
    std::string name_;
    std::string host_;
    std::string prefix_; ///< Path prefix that begins and ends with a slash.
    resend_mode resend_mode_ = resend_mode::never;
    bool stream_ = false;
    bool public_ = false; ///< Requests need no API key.

    std::vector<weighted_service> services_;
    duration timeout_{}; ///< Longest time to the end of the answer.
    /// Time to the answer or to a stream's first event.
    duration answer_target_{};
    duration pause_target_{}; ///< Longest pause between a stream's events.
    unsigned priority_ = 0;   ///< 0 is the highest.
    /// Number of backend servers that one request may run at.
    unsigned max_attempts_ = 1;
};

/// Properties of a service's engines that the configuration gives.
struct engine_traits
{
    std::uint64_t memory_tokens_ = 0;
};

/// How many engines of a service may be ordered, and what they cost.
struct engine_scaling
{
    /// Engines in each failure domain, of both kinds together.
    unsigned min_per_domain_ = 0;
    unsigned max_per_domain_ = 0;
    duration boot_time_{}; ///< Until a new engine serves.
    /// Price of an engine that may be reclaimed, as a share of the usual one.
    double spot_price_ = 1;
    /// Price of a second of an engine.
    std::map<failure_domain_id, double> prices_;
};

struct service
{
    service_name name_;
    std::string health_path_;
    /// Connections of all nodes together to one server; 0 means no limit.
    unsigned max_connections_ = 0;
    std::optional<engine_traits> engine_;
    /// Set if the service's engines are ordered.
    std::optional<engine_scaling> scaling_;
};

struct account
{
    account_name name_;
    std::optional<unsigned> priority_; ///< Overrides the route's priority.
};

/// Limits on the size of callers' requests and on the time to send them.
struct caller_limits
{
    std::size_t header_bytes_ = 16384;
    std::size_t body_bytes_ = 4U << 20U;
    duration header_timeout_ = std::chrono::seconds(3);
    duration idle_timeout_ = std::chrono::seconds(15);
};

/// One version of the configuration, indexed for look-ups. Immutable once
/// built, so any thread may read it.
class route_table
{
public:
    void add(route p_route);
    void add(service p_service);
    void add_key(std::string p_key, account p_account);
    void require_keys() { requires_keys_ = true; }
    void set_limits(caller_limits p_limits) { limits_ = p_limits; }
    void set_version(std::uint64_t p_version) { version_ = p_version; }

    /// Returns the route of the host with the longest prefix of the target's
    /// path, or null if none. The host's case and port are ignored.
    [[nodiscard]] const route* find_route(std::string_view p_host,
                                          std::string_view p_target) const;
    /// Calls `p_visit` with each route.
    template <class Visitor>
    void for_each_route(Visitor p_visit) const
    {
        for (const auto& [host, prefixes] : hosts_)
        {
            for (const auto& [prefix, route] : prefixes)
            {
                p_visit(route);
            }
        }
    }
    /// Calls `p_visit` with the account of each API key.
    template <class Visitor>
    void for_each_account(Visitor p_visit) const
    {
        for (const auto& [key, account] : accounts_)
        {
            p_visit(account);
        }
    }
    /// Returns the account that an API key belongs to, or null if none.
    [[nodiscard]] const account* find_account(const std::string& p_key) const;
    [[nodiscard]] const service* find_service(const service_name& p_name) const;
    /// Whether requests to routes that aren't public need an API key.
    [[nodiscard]] bool requires_keys() const { return requires_keys_; }
    [[nodiscard]] const caller_limits& limits() const { return limits_; }
    [[nodiscard]] std::uint64_t version() const { return version_; }
    [[nodiscard]] std::size_t route_count() const { return route_count_; }
    [[nodiscard]] const std::map<service_name, service>& services() const
    {
        return services_;
    }

private:
    std::uint64_t version_ = 0;
    std::size_t route_count_ = 0;
    bool requires_keys_ = false;
    /// Routes by lower-case host name, then by path prefix.
    std::unordered_map<std::string, std::unordered_map<std::string, route>>
        hosts_;
    std::map<service_name, service> services_;
    std::unordered_map<std::string, account> accounts_;
    caller_limits limits_;
};

} // namespace peridotspar::routing
