#include "core/settings.hpp"

#include "core/setting_rules.hpp"

namespace peridotspar
{

namespace
{

constexpr std::uint64_t max_port = 65535;

const setting_rules::rule_table<settings>& rules()
{
    using namespace setting_rules;
    using s = settings;
    static const setting_rules::rule_table<s> table{
        {"node.name", {true, string_parser(&s::name_)}},
        {"node.failure_domain", {true, string_parser(&s::failure_domain_)}},
        {"node.address", {true, ipv4_parser(&s::address_)}},
        {"node.http_port", {true, integer_parser(&s::http_port_, 1, max_port)}},
        {"node.peer_port", {true, integer_parser(&s::peer_port_, 1, max_port)}},
        {"platform.address", {true, ipv4_parser(&s::platform_address_)}},
        {"platform.port",
         {true, integer_parser(&s::platform_port_, 1, max_port)}},
        {"platform.timeout", {false, duration_parser(&s::platform_timeout_)}},
        {"security.node_secret", {true, secret_parser(&s::node_secret_)}},
        {"security.bootstrap_key_sha256",
         {false, string_parser(&s::bootstrap_key_sha256_)}},
        {"membership.seeds", {false, ipv4_list_parser(&s::seeds_)}},
        {"limits.worker_threads",
         {false, integer_parser(&s::worker_threads_, 4, 4096)}},
        {"limits.body_bytes",
         {false, integer_parser(&s::body_bytes_, 1024, 64U << 20U)}},
        {"limits.request_read_timeout",
         {false, duration_parser(&s::request_read_timeout_)}},
        {"limits.entry_max_age", {false, duration_parser(&s::entry_max_age_)}},
        {"log.level", {false, log_level_parser(&s::log_level_)}},
    };
    return table;
}

} // namespace

tl::expected<settings, std::string> load_settings(const std::string& p_path)
{
    return setting_rules::load(p_path, rules());
}

} // namespace peridotspar
