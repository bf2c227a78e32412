#include "daemon/duty_runner.hpp"

#include "core/log.hpp"
#include "platform/duty_calls.hpp"

#include <algorithm>
#include <utility>

namespace peridotspar
{

namespace
{

using namespace std::chrono_literals;

constexpr const char* metering = "metering";
constexpr const char* autoscale = "autoscale";
/// The nodes that try to get the lease: enough that one is left after the
/// failure of two at once.
constexpr std::size_t candidate_count = 3;
/// No call begins when less than this is left of the lease, so that it arrives
/// before the lease ends.
constexpr duration lease_margin = 400ms;
constexpr int polls_per_lifetime = 2;
constexpr int renewals_per_lifetime = 3;
/// A window's counts are fixed this long after its end, when the nodes have
/// sent them twice.
constexpr duration settle_time = 1600ms;
constexpr duration call_timeout = 1500ms;
/// Demand is reported this often, so that the holder knows which nodes it
/// hears.
constexpr duration demand_interval = 1s;
/// Looking for changed counts on each tick is expensive on a small VM.
constexpr duration report_check_interval = 100ms;
constexpr duration own_report_interval = 250ms;
constexpr duration expiry_interval = 2s;
constexpr duration capacity_interval = 500ms;
constexpr int ok = 200;
constexpr int first_redirect = 300;
constexpr int first_client_error = 400;
constexpr int request_timeout = 408;
constexpr int none_available = 409;
constexpr int too_many_requests = 429;
constexpr int first_server_error = 500;

bool is_success(int p_status)
{
    return p_status >= ok && p_status < first_redirect;
}

/// Whether the service refuses the call itself, so that a repetition is no use.
bool is_rejection(int p_status)
{
    return p_status >= first_client_error && p_status < first_server_error &&
           p_status != request_timeout && p_status != too_many_requests;
}

lease_options lease_options_of(const entry_settings& p_settings,
                               const std::string& p_run)
{
    lease_options options;
    options.node_ = p_settings.name_.value();
    options.run_ = p_run;
    options.lifetime_ = p_settings.lease_time_;
    options.margin_ =
        std::min<duration>(lease_margin, p_settings.lease_time_ / 4);
    options.poll_interval_ = p_settings.lease_time_ / polls_per_lifetime;
    options.renew_interval_ = p_settings.lease_time_ / renewals_per_lifetime;
    return options;
}

} // namespace

duty_runner::duty_runner(const entry_settings& p_settings,
                         backend::buffered_client& p_client,
                         entry_gossip& p_gossip, ingress::router& p_router)
    : settings_(p_settings),
      client_(p_client),
      gossip_(p_gossip),
      router_(p_router),
      run_(p_gossip.run()),
      lease_(p_client, p_settings.store_, lease_options_of(p_settings, run_)),
      counter_(p_settings.usage_window_),
      reports_(p_settings.usage_window_, settle_time)
{
    gossip_.set_duty_listener(this);
    router_.set_begin_callback(
        [this](const routing::account_name& p_account)
        {
            counter_.record_begin(p_account.value(),
                                  fleet_clock_.unix_ms(clock_.now()));
        });
    router_.set_sent_callback(
        [this](const std::vector<routing::prompt_part>& p_parts)
        {
            if (collecting_)
            {
                on_sent(p_parts, clock_.now());
            }
        });
}

bool duty_runner::has_duty(const char* p_name) const
{
    return std::find(settings_.duties_.begin(), settings_.duties_.end(),
                     p_name) != settings_.duties_.end();
}

void duty_runner::on_peer_clock(const std::string& p_peer,
                                std::int64_t p_unix_ms, time_point p_now)
{
    fleet_clock_.record_peer(p_peer, p_unix_ms, p_now);
}

void duty_runner::on_duty_report(const duty_report& p_report, time_point p_now)
{
    if (!collecting_)
    {
        return;
    }
    collector_.record(p_report.node_, p_report.run_, p_report.counts_);
    if (p_report.has_demand_)
    {
        demand_.record(p_report.node_, p_report.run_, p_report.demand_, p_now);
    }
}

void duty_runner::on_sent(const std::vector<routing::prompt_part>& p_parts,
                          time_point p_now)
{
    // The last part isn't shared.
    for (std::size_t i = 0; i + 1 < p_parts.size(); ++i)
    {
        working_set_.record(p_parts[i].id_, p_parts[i].tokens_, p_now);
    }
}

bool duty_runner::is_candidate(const store_state& p_store,
                               time_point p_now) const
{
    // A holder keeps the lease when nodes with a better rank appear, so that it
    // doesn't change hands without need.
    return lease_.keeper().holds(p_now) ||
           (p_store.in_contact_ &&
            gossip_.followers_before() < candidate_count);
}

void duty_runner::tick(const store_state& p_store, time_point p_now)
{
    fleet_clock_.set_own(unix_ms(), p_now);
    update_lease(p_store, p_now);
    send_reports(p_now);
    if (p_now >= next_expiry_)
    {
        next_expiry_ = p_now + expiry_interval;
        demand_.expire(p_now);
        working_set_.expire(p_now);
    }
    if (!collecting_)
    {
        return;
    }
    const std::int64_t now_ms = fleet_clock_.unix_ms(p_now);
    collector_.set_current(window_at(now_ms, settings_.usage_window_));
    if (has_duty(metering))
    {
        tick_usage(p_now);
    }
    if (has_duty(autoscale) && p_now >= next_capacity_)
    {
        next_capacity_ = p_now + capacity_interval;
        tick_capacity(p_now);
    }
}

void duty_runner::update_lease(const store_state& p_store, time_point p_now)
{
    lease_keeper& keeper = lease_.keeper();
    if (store_era_ && *store_era_ != p_store.era_)
    {
        log_event(log_level::warning, "lease.store_reset")
            .with("era", p_store.era_);
        keeper.on_store_reset();
        loaded_token_ = 0;
        record_may_be_old_ = true;
    }
    store_era_ = p_store.era_;
    const bool is_candidate_now = is_candidate(p_store, p_now);
    keeper.set_candidate(is_candidate_now);
    if (leaving_ && calls_in_flight_ == 0)
    {
        // A call that arrives after the next holder's would be out of order.
        keeper.give_back();
    }
    keeper.set_known_token(gossip_.highest_peer_token());
    const auto unix_s =
        static_cast<std::uint64_t>(fleet_clock_.unix_ms(p_now) / 1000);
    lease_.tick(p_now, unix_s);
    log_lease_change(p_now);
    const bool holds = keeper.holds(p_now);
    const bool collects = is_candidate_now && !leaving_;
    if (collects != collecting_)
    {
        collecting_ = collects;
        if (collects)
        {
            reports_.set_collecting_since(fleet_clock_.unix_ms(p_now));
        }
    }
    gossip_.set_duty_status({collects, std::max(keeper.highest_token(),
                                                gossip_.highest_peer_token())});
    if (!holds)
    {
        loaded_token_ = 0;
        held_since_.reset();
        orders_.clear();
        return;
    }
    held_since_ = held_since_.value_or(p_now);
}

void duty_runner::log_lease_change(time_point p_now)
{
    const lease_keeper& keeper = lease_.keeper();
    if (keeper.token() == logged_token_)
    {
        return;
    }
    log_event(log_level::info,
              keeper.token() != 0 ? "lease.acquired" : "lease.lost")
        .with("token", keeper.token() != 0 ? keeper.token() : logged_token_)
        .with("held_ms", held_since_ ? to_ms(p_now - *held_since_) : 0);
    logged_token_ = keeper.token();
}

capacity::demand_tracker::demand_by_service duty_runner::own_demand() const
{
    capacity::demand_tracker::demand_by_service all;
    for (const auto& [service, asked] : router_.demand())
    {
        all[service.value()] = {asked.prefill_, asked.streams_};
    }
    return all;
}

void duty_runner::send_reports(time_point p_now)
{
    if (p_now < next_reports_)
    {
        return;
    }
    next_reports_ = p_now + report_check_interval;
    const std::int64_t now_ms = fleet_clock_.unix_ms(p_now);
    const auto collectors = gossip_.usage_collectors();
    std::vector<std::string> keys{run_};
    for (const auto& collector : collectors)
    {
        keys.push_back(collector.key_);
        duty_report report;
        report.counts_ = counter_.due(collector.key_, p_now, now_ms);
        auto& next_demand = next_demand_[collector.key_];
        if (p_now >= next_demand)
        {
            next_demand = p_now + demand_interval;
            report.demand_ = own_demand();
            report.has_demand_ = true;
        }
        if (!report.counts_.empty() || report.has_demand_)
        {
            gossip_.send_duty_report(report, collector.address_);
        }
    }
    counter_.forget_absent(keys);
    std::erase_if(next_demand_,
                  [&keys](const auto& p_item) {
                      return std::find(keys.begin(), keys.end(),
                                       p_item.first) == keys.end();
                  });
    if (collecting_ && p_now >= next_own_report_)
    {
        next_own_report_ = p_now + own_report_interval;
        collector_.record(settings_.peers_, run_,
                          counter_.due(run_, p_now, now_ms));
        demand_.record(settings_.peers_, run_, own_demand(), p_now);
    }
}

void duty_runner::tick_usage(time_point p_now)
{
    lease_keeper& keeper = lease_.keeper();
    if (leaving_ || !keeper.may_act(p_now))
    {
        return;
    }
    if (loaded_token_ != keeper.token())
    {
        loaded_token_ = keeper.token();
        if (!reports_.load(keeper.payload_in_store()))
        {
            log_event(log_level::error, "usage.record_unreadable")
                .with("bytes", keeper.payload_in_store().size());
        }
        if (std::exchange(record_may_be_old_, false))
        {
            reports_.skip_settled();
        }
    }
    reports_.tick(fleet_clock_.unix_ms(p_now), collector_);
    keeper.set_payload(reports_.payload());
    if (usage_in_flight_)
    {
        return;
    }
    if (const auto report = reports_.next(keeper.payload_in_store(), p_now))
    {
        send_usage(*report, p_now);
    }
}

void duty_runner::send_usage(const usage_report& p_report, time_point p_now)
{
    usage_in_flight_ = true;
    std::uint64_t total = 0;
    for (const auto& [account, requests] : p_report.counts_)
    {
        total += requests;
    }
    log_event(log_level::info, "usage.sent")
        .with("window", p_report.window_.value())
        .with("accounts", p_report.counts_.size())
        .with("requests", total)
        .with("token", lease_.keeper().token());
    call_service(platform::usage_request(
                     settings_.duty_service_,
                     {settings_.name_.value(), lease_.keeper().token()},
                     p_report.window_.value(), p_report.counts_),
                 p_now,
                 [this, window = p_report.window_](
                     const backend::client_response& p_response)
                 { handle_usage(window, p_response); });
}

void duty_runner::handle_usage(window_id p_window,
                               const backend::client_response& p_response)
{
    usage_in_flight_ = false;
    report_result result = report_result::retry;
    if (is_success(p_response.status_))
    {
        result = report_result::done;
        ++windows_reported_;
    }
    else if (is_rejection(p_response.status_))
    {
        result = report_result::rejected;
    }
    if (result != report_result::done)
    {
        log_event(log_level::warning, "usage.refused")
            .with("window", p_window.value())
            .with("status", p_response.status_);
    }
    reports_.on_sent(p_window, result, clock_.now());
}

void duty_runner::call_service(std::string p_request, time_point p_now,
                               const send_callback& p_callback)
{
    ++service_calls_;
    ++calls_in_flight_;
    // A call that is still on its way when the lease ends is cut off, so that
    // it doesn't arrive after the calls of the next holder.
    const duration left = lease_.keeper().acts_until() - p_now;
    client_.send(settings_.duty_service_, std::move(p_request),
                 std::min(call_timeout, left),
                 [this, p_callback](const backend::client_response& p_response)
                 {
                     --calls_in_flight_;
                     p_callback(p_response);
                 });
}

capacity::capacity_view duty_runner::view_of(const routing::service& p_service,
                                             time_point p_now) const
{
    const routing::engine_scaling& scaling = *p_service.scaling_;
    capacity::capacity_view view;
    view.min_per_domain_ = scaling.min_per_domain_;
    view.max_per_domain_ = scaling.max_per_domain_;
    view.boot_time_ = scaling.boot_time_;
    view.spot_price_ = scaling.spot_price_;
    std::map<failure_domain_id, capacity::domain_state> domains;
    for (const auto& [domain, price] : scaling.prices_)
    {
        domains[domain].price_ = price;
    }
    for (const auto& [id, entry] : router_.servers())
    {
        if (entry.service_ != p_service.name_)
        {
            continue;
        }
        view.slots_per_engine_ = entry.slots_;
        const auto found = domains.find(entry.domain_);
        if (entry.leaving_ || found == domains.end())
        {
            continue;
        }
        ++(entry.spot_ ? found->second.spot_ : found->second.standard_);
    }
    for (auto& [domain, state] : domains)
    {
        state.domain_ = domain;
        view.domains_.push_back(state);
    }
    const auto asked = demand_.total(p_service.name_.value(), p_now);
    view.prefill_ms_per_s_ = asked.prefill_ms_per_s_;
    view.streams_ = asked.streams_;
    view.age_ = asked.oldest_report_age_;
    view.reporting_nodes_ = asked.reporting_nodes_;
    view.live_nodes_ = gossip_.live_nodes();
    view.held_for_ = p_now - held_since_.value_or(p_now);
    const std::uint64_t memory =
        p_service.engine_ ? p_service.engine_->memory_tokens_ : 0;
    view.cached_engines_ = memory == 0
                               ? 0
                               : static_cast<double>(working_set_.tokens()) /
                                     static_cast<double>(memory);
    return view;
}

void duty_runner::tick_capacity(time_point p_now)
{
    const auto* table = router_.route_table();
    if (table == nullptr || leaving_ || !lease_.keeper().may_act(p_now))
    {
        return;
    }
    for (const auto& [name, service] : table->services())
    {
        if (!service.scaling_)
        {
            continue;
        }
        auto& decider =
            orders_.try_emplace(name.value(), capacity::capacity_options{})
                .first->second;
        const auto orders = decider.decide(view_of(service, p_now), p_now);
        const auto& last = decider.last();
        for (const auto& order : orders)
        {
            log_event(log_level::info, "engines.ordered")
                .with("service", name.value())
                .with("domain", order.domain_.value())
                .with("desired", order.desired_)
                .with("spot", order.spot_)
                .with("reason", std::string(capacity::to_string(last.reason_)))
                .with("prefill_engines", last.prefill_engines_)
                .with("stream_engines", last.stream_engines_)
                .with("cache_engines", last.cache_engines_)
                .with("needed", last.needed_)
                .with("running", last.running_)
                .with("reporting", last.reporting_nodes_)
                .with("live", last.live_nodes_);
            send_order(name.value(), order, p_now);
        }
    }
}

void duty_runner::send_order(const std::string& p_service,
                             const capacity::engine_order& p_order,
                             time_point p_now)
{
    call_service(
        platform::scale_request(
            settings_.duty_service_,
            {settings_.name_.value(), lease_.keeper().token()},
            {p_service, p_order.domain_.value(), p_order.desired_,
             p_order.spot_}),
        p_now,
        [this, p_service, p_order](const backend::client_response& p_response)
        { handle_order(p_service, p_order, p_response); });
}

void duty_runner::handle_order(const std::string& p_service,
                               const capacity::engine_order& p_order,
                               const backend::client_response& p_response)
{
    const auto found = orders_.find(p_service);
    if (found == orders_.end())
    {
        return; // The lease was lost meanwhile.
    }
    using capacity::order_result;
    const int status = p_response.status_;
    order_result result = order_result::retry;
    if (is_success(status))
    {
        result = order_result::done;
    }
    else if (status == none_available)
    {
        result = order_result::none_to_be_had;
    }
    else if (is_rejection(status))
    {
        result = order_result::rejected;
    }
    if (result != order_result::done)
    {
        log_event(log_level::warning, "engines.refused")
            .with("service", p_service)
            .with("domain", p_order.domain_.value())
            .with("desired", p_order.desired_)
            .with("spot", p_order.spot_)
            .with("status", status);
    }
    found->second.on_result(p_order, result, clock_.now());
}

void duty_runner::leave()
{
    leaving_ = true;
}

void duty_runner::add_metrics(entry_metrics& r_metrics, time_point p_now) const
{
    const lease_keeper& keeper = lease_.keeper();
    r_metrics.set_gauge("duty_lease_held", keeper.holds(p_now) ? 1 : 0);
    r_metrics.set_gauge("duty_lease_token",
                        static_cast<double>(keeper.token()));
    r_metrics.set_gauge("duty_service_calls",
                        static_cast<double>(service_calls_));
    r_metrics.set_gauge("usage_windows_reported",
                        static_cast<double>(windows_reported_));
    for (const auto& [service, decider] : orders_)
    {
        r_metrics.set_gauge("engines_needed_" + service,
                            decider.last().needed_);
        r_metrics.set_gauge("engines_running_" + service,
                            decider.last().running_);
    }
}

} // namespace peridotspar
