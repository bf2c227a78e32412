#pragma once

#include "core/clock.hpp"
#include "core/strong.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

/// What a node believes of the configuration and of the backend servers.
namespace peridotspar::routing
{

using service_name = strong<struct service_name_tag, std::string>;
using account_name = strong<struct account_name_tag, std::string>;

/// What may be done again with a request that was sent.
enum class resend_mode : std::uint8_t
{
    never,   ///< Runs once at most.
    restart, ///< May run again from its start.
    resume,  ///< A stream that another run may go on with.
};

struct weighted_service
{
    service_name service_;
    double weight_ = 1;
};

struct route
{
    std::string name_;
    std::string host_;
    std::string prefix_; ///< Begins and ends with a slash.
    resend_mode resend_mode_ = resend_mode::never;
    bool stream_ = false;
    bool public_ = false; ///< Needs no key.

    std::vector<weighted_service> services_;
    duration timeout_{};       ///< Longest time to the final answer.
    duration answer_target_{}; ///< To the answer, or a stream's first event.
    duration pause_target_{};  ///< Longest pause between events on time.
    unsigned priority_ = 0;    ///< 0 is the highest.
    unsigned max_attempts_ =
        1; ///< Backend servers that one request may run at.
};

/// What an engine can do, where the configuration tells it.
struct engine_traits
{
    std::uint64_t memory_tokens_ = 0;
};

struct service
{
    service_name name_;
    std::string health_path_;
    unsigned max_connections_ = 0; ///< To one server, of all nodes; 0: any.
    std::optional<engine_traits> engine_;
};

struct account
{
    account_name name_;
    std::optional<unsigned> priority_; ///< Goes before the route's.
};

/// Bounds on what a caller may send, and how long it may take.
struct caller_limits
{
    std::size_t header_bytes_ = 16384;
    std::size_t body_bytes_ = 4U << 20U;
    duration header_timeout_ = std::chrono::seconds(3);
    duration idle_timeout_ = std::chrono::seconds(15);
};

/// One version of the configuration, ready for look-ups. Immutable once
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

    /// The route with the longest prefix of the target's path; null if none.
    [[nodiscard]] const route* find_route(std::string_view p_host,
                                          std::string_view p_target) const;
    /// Calls `p_take` with each route.
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
    /// Calls `p_take` with the account of each key.
    template <class Visitor>
    void for_each_account(Visitor p_visit) const
    {
        for (const auto& [key, account] : accounts_)
        {
            p_visit(account);
        }
    }
    /// The account that holds a key; null if none does.
    [[nodiscard]] const account* find_account(const std::string& p_key) const;
    [[nodiscard]] const service* find_service(const service_name& p_name) const;
    /// Whether a request needs the key of an account, but on public routes.
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
    /// By host in lower case, then by prefix.
    std::unordered_map<std::string, std::unordered_map<std::string, route>>
        hosts_;
    std::map<service_name, service> services_;
    std::unordered_map<std::string, account> accounts_;
    caller_limits limits_;
};

} // namespace peridotspar::routing
