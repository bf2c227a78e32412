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
    constexpr double max_resend_ratio = 10;
    constexpr double max_resend_slack = 1e6;
    constexpr double max_link_mbps = 1e6;
    constexpr double ms_per_s = 1000;
    constexpr double max_duty_calls_per_s = 1e6;
    constexpr std::uint64_t max_descriptors = 1U << 20U;
    static const rule_table<s> table{
        {"node.name", {true, string_parser(&s::name_)}},
        {"node.failure_domain", {true, string_parser(&s::failure_domain_)}},
        {"listen.callers", {true, endpoint_parser(&s::callers_)}},
        {"listen.readiness", {true, endpoint_parser(&s::readiness_)}},
        {"listen.directory", {true, endpoint_parser(&s::directory_)}},
        {"listen.peers", {true, endpoint_parser(&s::peers_)}},
        {"listen.metrics", {false, endpoint_parser(&s::metrics_)}},
        {"platform.store", {true, endpoint_parser(&s::store_)}},
        {"membership.first_start", {false, bool_parser(&s::first_start_)}},
        {"membership.seeds", {false, endpoint_list_parser(&s::seeds_)}},
        {"membership.directory_age",
         {false, duration_parser(&s::directory_age_)}},
        {"membership.stop_grace", {false, duration_parser(&s::stop_grace_)}},
        {"servers.drain_time", {false, duration_parser(&s::drain_time_)}},
        {"servers.heartbeat", {false, duration_parser(&s::heartbeat_)}},
        {"servers.paced_start",
         {false, word_parser(&s::paced_start_, {"none", "ordered", "all"})}},
        {"resends.ratio",
         {false, decimal_parser(&s::resend_ratio_, max_resend_ratio)}},
        {"resends.slack",
         {false, decimal_parser(&s::resend_slack_, max_resend_slack)}},
        {"resends.window", {false, duration_parser(&s::resend_window_)}},
        {"limits.descriptors",
         {false, integer_parser(&s::descriptors_, 256, max_descriptors)}},
        {"limits.link_mbps",
         {false, decimal_parser(&s::link_mbps_, max_link_mbps)}},
        {"duties.service",
         {false, optional_parser(endpoint_parser(&s::duty_service_))}},
        {"duties.names",
         {false, optional_parser(word_list_parser(&s::duties_,
                                                  {"metering", "autoscale"}))}},
        {"duties.calls_per_s",
         {false, optional_parser(decimal_parser(&s::duty_calls_per_s_,
                                                max_duty_calls_per_s))}},
        {"duties.lease_ms",
         {false, optional_parser(duration_number_parser(&s::lease_time_, 1))}},
        {"duties.usage_window_s",
         {false, optional_parser(
                     duration_number_parser(&s::usage_window_, ms_per_s))}},
        {"duties.usage_deadline_s",
         {false, optional_parser(
                     duration_number_parser(&s::usage_deadline_, ms_per_s))}},
        {"log.level", {false, log_level_parser(&s::log_level_)}},
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
