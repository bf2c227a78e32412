#include "core/entry_settings.hpp"

#include "core/setting_rules.hpp"

namespace peridotspar
{

namespace
{

const setting_rules::rule_table<entry_settings>& rules()
{
    using namespace setting_rules;
    using s = entry_settings;
    constexpr double highest_ratio = 10;
    constexpr double highest_slack = 1e6;
    constexpr std::uint64_t most_descriptors = 1U << 20U;
    static const rule_table<s> table{
        {"node.name", {true, text_of(&s::name_)}},
        {"node.failure_domain", {true, text_of(&s::failure_domain_)}},
        {"listen.callers", {true, endpoint_of(&s::callers_)}},
        {"listen.readiness", {true, endpoint_of(&s::readiness_)}},
        {"listen.directory", {true, endpoint_of(&s::directory_)}},
        {"listen.peers", {true, endpoint_of(&s::peers_)}},
        {"listen.metrics", {false, endpoint_of(&s::metrics_)}},
        {"platform.store", {true, endpoint_of(&s::store_)}},
        {"membership.first_start", {false, flag_of(&s::first_start_)}},
        {"membership.seeds", {false, endpoints_of(&s::seeds_)}},
        {"membership.directory_age", {false, duration_of(&s::directory_age_)}},
        {"membership.stop_grace", {false, duration_of(&s::stop_grace_)}},
        {"servers.drain_time", {false, duration_of(&s::drain_time_)}},
        {"resends.ratio",
         {false, fraction_of(&s::resend_ratio_, highest_ratio)}},
        {"resends.slack",
         {false, fraction_of(&s::resend_slack_, highest_slack)}},
        {"resends.window", {false, duration_of(&s::resend_window_)}},
        {"limits.descriptors",
         {false, number_of(&s::descriptors_, 256, most_descriptors)}},
        {"log.level", {false, level_of(&s::log_level_)}},
    };
    return table;
}

} // namespace

tl::expected<entry_settings, std::string>
load_entry_settings(const std::string& p_path)
{
    return setting_rules::load(p_path, rules());
}

} // namespace peridotspar
