#include "daemon/digest_conversion.hpp"

#include <algorithm>
#include <cmath>

namespace peridotspar
{

namespace
{

/// Bound of the number of nodes that is taken from a peer's digest, as waits
/// grow with it.
constexpr std::int32_t max_live_nodes = 2000;
/// Bound of the interval that a peer may claim, as it counts as live for
/// several of them.
constexpr std::int32_t max_interval_ms = 20000;

/// Stands for a server that names no limit any more.
constexpr double no_limit = -1;
/// Longer ages are reported as this one.
constexpr double max_age_ms = 24.0 * 3600 * 1000;

constexpr double thousand = 1000;
/// Larger parts of the retry budget are reported as this one.
constexpr double max_resends = 1'000'000;

std::int32_t to_thousandths(double p_resends)
{
    return static_cast<std::int32_t>(
        std::floor(std::clamp(p_resends, 0.0, max_resends) * thousand));
}

double from_thousandths(std::int32_t p_thousandths)
{
    return std::max(0, p_thousandths) / thousand;
}

std::vector<entry_wire::prompt_part>
to_wire(const std::vector<routing::prompt_part>& p_parts)
{
    std::vector<entry_wire::prompt_part> messages;
    messages.reserve(p_parts.size());
    for (const auto& part : p_parts)
    {
        entry_wire::prompt_part message;
        message.key = static_cast<std::int64_t>(part.id_);
        message.tokens = static_cast<std::int32_t>(part.tokens_);
        messages.push_back(message);
    }
    return messages;
}

std::vector<routing::prompt_part>
from_wire(const std::vector<entry_wire::prompt_part>& p_messages)
{
    std::vector<routing::prompt_part> parts;
    parts.reserve(p_messages.size());
    for (const auto& message : p_messages)
    {
        parts.push_back({static_cast<std::uint64_t>(message.key),
                         static_cast<std::uint32_t>(message.tokens)});
    }
    return parts;
}

} // namespace

peer_state to_peer_state(const entry_wire::digest& p_digest,
                         time_point p_received)
{
    peer_state state;
    state.name_ = node_id(p_digest.node);
    state.started_ms_ = p_digest.started_ms;
    state.sequence_ = p_digest.sequence;
    state.caller_address_ = p_digest.callers;
    state.peer_address_ = p_digest.peers;
    state.failure_domain_ = failure_domain_id(p_digest.domain);
    state.ready_ = p_digest.ready;
    state.leaving_ = p_digest.leaving;
    state.store_confirmed_at_ =
        p_received -
        std::chrono::milliseconds(std::max(0, p_digest.store_age_ms));
    state.reports_store_failures_ = p_digest.__isset.store_failed_ms;
    if (state.reports_store_failures_ && p_digest.store_failed_ms >= 0)
    {
        state.store_failed_at_ =
            p_received - std::chrono::milliseconds(p_digest.store_failed_ms);
    }
    state.config_version_ = p_digest.config_version;
    state.in_contact_ = p_digest.in_contact;
    state.servers_revision_ = p_digest.servers_revision;
    if (p_digest.__isset.servers_hash)
    {
        state.servers_hash_ = static_cast<std::uint64_t>(p_digest.servers_hash);
    }
    state.live_nodes_ =
        static_cast<std::size_t>(std::clamp(p_digest.live, 0, max_live_nodes));
    state.digest_interval_ = std::chrono::milliseconds(
        std::clamp(p_digest.interval_ms, 0, max_interval_ms));
    state.lost_services_ = p_digest.lost_services;
    state.collects_usage_ =
        p_digest.__isset.collects_usage && p_digest.collects_usage;
    state.duty_token_ = p_digest.__isset.duty_token
                            ? static_cast<std::uint64_t>(std::max<std::int64_t>(
                                  p_digest.duty_token, 0))
                            : 0;
    state.received_at_ = p_received;
    return state;
}

entry_wire::sent_request to_wire(const dispatch::sent_report& p_report)
{
    entry_wire::sent_request sent;
    sent.server = p_report.server_;
    sent.reading_us = static_cast<std::int32_t>(p_report.prefill_time_.count());
    sent.tokens = static_cast<std::int64_t>(p_report.tokens_);
    sent.pause_ms = static_cast<std::int32_t>(to_ms(p_report.pause_target_));
    sent.parts = to_wire(p_report.parts_);
    return sent;
}

entry_wire::cached_parts to_wire(const dispatch::cache_report& p_report)
{
    entry_wire::cached_parts message;
    message.server = p_report.server_;
    message.parts = to_wire(p_report.parts_);
    return message;
}

dispatch::cache_report from_wire(const entry_wire::cached_parts& p_message)
{
    return {p_message.server, from_wire(p_message.parts)};
}

entry_wire::running to_wire(const dispatch::server_load& p_load)
{
    entry_wire::running message;
    message.all_requests = static_cast<std::int32_t>(p_load.requests_);
    message.tokens = static_cast<std::int64_t>(p_load.tokens_);
    message.unread_us = p_load.pending_prefill_.count();
    for (const auto& [pause, count] : p_load.stream_counts_)
    {
        const auto pause_ms = static_cast<std::int32_t>(to_ms(pause));
        message.streams[pause_ms] += static_cast<std::int32_t>(count);
    }
    return message;
}

dispatch::server_load from_wire(const entry_wire::running& p_message)
{
    const auto non_negative = [](std::int32_t p_number)
    { return static_cast<unsigned>(std::max(p_number, 0)); };
    dispatch::server_load load;
    load.requests_ = non_negative(p_message.all_requests);
    load.tokens_ =
        static_cast<std::uint64_t>(std::max<std::int64_t>(p_message.tokens, 0));
    load.pending_prefill_ =
        duration(std::max<std::int64_t>(p_message.unread_us, 0));
    for (const auto& [pause_ms, streams] : p_message.streams)
    {
        load.stream_counts_[std::chrono::milliseconds(pause_ms)] =
            non_negative(streams);
    }
    return load;
}

entry_wire::waiting_work to_wire(const dispatch::queue_summary& p_summary)
{
    entry_wire::waiting_work message;
    message.at_service = p_summary.service_.value();
    message.priority = static_cast<std::int32_t>(p_summary.priority_);
    message.target_ms =
        static_cast<std::int32_t>(to_ms(p_summary.answer_target_));
    message.reading_us = p_summary.prefill_time_.count();
    return message;
}

dispatch::queue_summary from_wire(const entry_wire::waiting_work& p_message)
{
    return {routing::service_name(p_message.at_service),
            static_cast<unsigned>(std::max(p_message.priority, 0)),
            std::chrono::milliseconds(p_message.target_ms),
            duration(std::max<std::int64_t>(p_message.reading_us, 0))};
}

dispatch::sent_report from_wire(const entry_wire::sent_request& p_sent)
{
    dispatch::sent_report report;
    report.server_ = p_sent.server;
    report.prefill_time_ = duration(std::max(p_sent.reading_us, 0));
    report.tokens_ =
        static_cast<std::uint64_t>(std::max<std::int64_t>(p_sent.tokens, 0));
    report.pause_target_ = std::chrono::milliseconds(p_sent.pause_ms);
    report.parts_ = from_wire(p_sent.parts);
    return report;
}

entry_wire::brittle_server to_wire(const dispatch::brittle_report& p_report,
                                   time_point p_now)
{
    entry_wire::brittle_server message;
    message.server = p_report.server_;
    message.max_rejected_per_s =
        p_report.max_rejected_per_s_.value_or(no_limit);
    message.age_ms = static_cast<std::int32_t>(
        std::min(to_ms(p_now - p_report.said_at_), max_age_ms));
    message.rejected = static_cast<std::int32_t>(p_report.rejected_);
    return message;
}

dispatch::brittle_report from_wire(const entry_wire::brittle_server& p_message,
                                   time_point p_now)
{
    dispatch::brittle_report report;
    report.server_ = p_message.server;
    if (p_message.max_rejected_per_s >= 0 &&
        std::isfinite(p_message.max_rejected_per_s))
    {
        report.max_rejected_per_s_ = p_message.max_rejected_per_s;
    }
    report.said_at_ =
        p_now - std::chrono::milliseconds(std::max(0, p_message.age_ms));
    report.rejected_ = static_cast<unsigned>(std::max(0, p_message.rejected));
    return report;
}

entry_wire::server_limit to_wire(const dispatch::limit_report& p_report,
                                 time_point p_now)
{
    entry_wire::server_limit message;
    message.server = p_report.server_;
    message.per_s = p_report.per_s_.value_or(no_limit);
    message.age_ms = static_cast<std::int32_t>(
        std::min(to_ms(p_now - p_report.said_at_), max_age_ms));
    return message;
}

dispatch::limit_report from_wire(const entry_wire::server_limit& p_message,
                                 time_point p_now)
{
    dispatch::limit_report report;
    report.server_ = p_message.server;
    if (p_message.per_s >= 0 && std::isfinite(p_message.per_s))
    {
        report.per_s_ = p_message.per_s;
    }
    report.said_at_ =
        p_now - std::chrono::milliseconds(std::max(0, p_message.age_ms));
    return report;
}

void add_to_wire(const duty_report& p_report, entry_wire::digest& r_digest)
{
    std::vector<entry_wire::usage_count> counts;
    for (const auto& count : p_report.counts_)
    {
        entry_wire::usage_count message;
        message.window = count.window_.value();
        message.account = count.account_;
        message.requests = static_cast<std::int64_t>(count.requests_);
        counts.push_back(std::move(message));
    }
    r_digest.__set_usage(counts);
    if (!p_report.has_demand_)
    {
        return;
    }
    std::vector<entry_wire::service_demand> demand;
    for (const auto& [service, asked] : p_report.demand_)
    {
        entry_wire::service_demand message;
        message.at_service = service;
        message.reading_us = asked.prefill_.count();
        message.streams = static_cast<std::int32_t>(asked.streams_);
        demand.push_back(std::move(message));
    }
    r_digest.__set_demand(demand);
}

std::optional<duty_report> to_duty_report(const entry_wire::digest& p_digest)
{
    if (!p_digest.__isset.usage && !p_digest.__isset.demand)
    {
        return std::nullopt;
    }
    duty_report report;
    report.node_ = p_digest.peers;
    report.run_ = std::to_string(p_digest.started_ms);
    for (const auto& message : p_digest.usage)
    {
        if (message.requests > 0)
        {
            report.counts_.push_back(
                {window_id(message.window), message.account,
                 static_cast<std::uint64_t>(message.requests)});
        }
    }
    report.has_demand_ = p_digest.__isset.demand;
    for (const auto& message : p_digest.demand)
    {
        report.demand_[message.at_service] = {
            duration(std::max<std::int64_t>(message.reading_us, 0)),
            static_cast<unsigned>(std::max(message.streams, 0))};
    }
    return report;
}

entry_wire::server_pace to_wire(const dispatch::pace_report& p_report)
{
    entry_wire::server_pace message;
    message.server = p_report.server_key_;
    message.good = static_cast<std::int32_t>(p_report.good_);
    message.bad = static_cast<std::int32_t>(p_report.bad_);
    return message;
}

dispatch::pace_report from_wire(const entry_wire::server_pace& p_message)
{
    return {p_message.server,
            static_cast<std::uint32_t>(std::max(0, p_message.good)),
            static_cast<std::uint32_t>(std::max(0, p_message.bad))};
}

entry_wire::resend_loan to_wire(const dispatch::resend_loan& p_loan)
{
    entry_wire::resend_loan message;
    message.at_service = p_loan.service_.value();
    message.asked_at_us = p_loan.asked_at_.time_since_epoch().count();
    message.thousandths = to_thousandths(p_loan.resends_);
    return message;
}

dispatch::resend_loan from_wire(const entry_wire::resend_loan& p_message,
                                const std::string& p_peer)
{
    return {
        p_peer, routing::service_name(p_message.at_service),
        time_point(duration(std::max<std::int64_t>(p_message.asked_at_us, 0))),
        from_thousandths(p_message.thousandths)};
}

void add_to_wire(const std::map<routing::service_name, double>& p_lendable,
                 entry_wire::digest& r_digest)
{
    if (p_lendable.empty())
    {
        return;
    }
    std::map<std::string, std::int32_t> amounts;
    for (const auto& [service, resends] : p_lendable)
    {
        amounts[service.value()] = to_thousandths(resends);
    }
    r_digest.__set_lendable_resends(amounts);
}

std::map<routing::service_name, double>
lendable_resends(const entry_wire::digest& p_digest)
{
    std::map<routing::service_name, double> lendable;
    for (const auto& [service, thousandths] : p_digest.lendable_resends)
    {
        lendable[routing::service_name(service)] =
            from_thousandths(thousandths);
    }
    return lendable;
}

} // namespace peridotspar
