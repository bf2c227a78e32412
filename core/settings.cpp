#include "core/settings.hpp"

#include "core/setting_rules.hpp"

namespace peridotspar
{

namespace
{

constexpr std::uint64_t highest_port = 65535;

const setting_rules::rule_table<settings>& rules()
{
    using namespace setting_rules;
    using s = settings;
    static const setting_rules::rule_table<s> table{
        {"node.name", {true, text_of(&s::name_)}},
        {"node.failure_domain", {true, text_of(&s::failure_domain_)}},
        {"node.address", {true, address_of(&s::address_)}},
        {"node.http_port", {true, number_of(&s::http_port_, 1, highest_port)}},
        {"node.peer_port", {true, number_of(&s::peer_port_, 1, highest_port)}},
        {"platform.address", {true, address_of(&s::platform_address_)}},
        {"platform.port",
         {true, number_of(&s::platform_port_, 1, highest_port)}},
        {"platform.timeout", {false, duration_of(&s::platform_timeout_)}},
        {"security.node_secret", {true, secret_of(&s::node_secret_)}},
        {"security.bootstrap_key_sha256",
         {false, text_of(&s::bootstrap_key_sha256_)}},
        {"membership.seeds", {false, addresses_of(&s::seeds_)}},
        {"limits.worker_threads",
         {false, number_of(&s::worker_threads_, 4, 4096)}},
        {"limits.body_bytes",
         {false, number_of(&s::body_bytes_, 1024, 64U << 20U)}},
        {"limits.request_read_timeout",
         {false, duration_of(&s::request_read_timeout_)}},
        {"limits.entry_max_age", {false, duration_of(&s::entry_max_age_)}},
        {"log.level", {false, level_of(&s::log_level_)}},
    };
    return table;
}

} // namespace

tl::expected<settings, std::string> load_settings(const std::string& p_path)
{
    return setting_rules::load(p_path, rules());
}

} // namespace peridotspar
