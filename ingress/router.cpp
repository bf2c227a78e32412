#include "ingress/router.hpp"

#include "core/log.hpp"
#include "core/text.hpp"
#include "platform/request_headers.hpp"

#include <algorithm>
#include <array>
#include <charconv>

#include <xxhash.h>

namespace peridotspar::ingress
{

namespace
{

using namespace std::chrono_literals;

constexpr int bad_request = 400;
constexpr int unauthorized = 401;
constexpr int not_found = 404;
constexpr int unavailable = 503;
/// Retry delay announced while this node has no configuration or shuts down.
constexpr duration short_retry_after = 300ms;
/// Of a request for which neither route nor caller sets a timeout.
constexpr duration default_timeout = 60s;
/// Of answers that are arriving, for all requests together; well below the
/// memory of the smallest VMs.
constexpr std::size_t max_kept_bytes = 32U << 20U;
/// Sends that are kept for the peers; further ones aren't reported.
constexpr std::size_t max_sent_reports = 512;
/// Longest wait for the store to say where a stream began.
constexpr duration max_origin_wait = 500ms;
constexpr const char* leaving_reason = "this node is leaving";
constexpr const char* quarantine_reason =
    "requests with a part of this one ended the servers that ran them";
/// After a longer time between two ticks, this node itself was suspended or too
/// slow to receive anything.
constexpr duration max_tick_gap = 200ms;
/// Checking every queued request against every server is expensive on a small
/// VM.
constexpr duration unservable_check_interval = 100ms;
/// Looking at every suspect of a crash is expensive on a small VM, too.
constexpr duration crash_check_interval = 100ms;

/// The number that a header holds; 0 if there is none.
unsigned parse_number(const std::string* p_text)
{
    unsigned number = 0;
    if (p_text != nullptr)
    {
        std::from_chars(p_text->data(), p_text->data() + p_text->size(),
                        number);
    }
    return number;
}

/// The shorter one of a route's timeout, if it isn't zero, and the time that
/// the caller waits, if it says so.
duration timeout_of(duration p_route_timeout,
                    const std::optional<duration>& p_time_left)
{
    if (p_route_timeout <= duration::zero())
    {
        return p_time_left.value_or(default_timeout);
    }
    return std::min(p_route_timeout, p_time_left.value_or(p_route_timeout));
}

/// Hash of target, API key and body.
std::uint64_t compute_fingerprint(const http::request& p_request,
                                  const std::string& p_key)
{
    const auto hash = [](const std::string& p_text, std::uint64_t p_seed)
    { return XXH64(p_text.data(), p_text.size(), p_seed); };
    return hash(p_request.body_, hash(p_request.head_.target_, hash(p_key, 0)));
}

std::vector<quarantine::suspect>
make_suspects(const std::vector<routing::prompt_part>& p_parts,
              std::uint64_t p_fingerprint)
{
    std::vector<quarantine::suspect> suspects;
    // The last part is the request's own.
    for (std::size_t i = 0; i + 1 < p_parts.size(); ++i)
    {
        suspects.push_back({quarantine::suspect_key(p_parts[i].id_),
                            static_cast<std::uint32_t>(i + 1)});
    }
    suspects.push_back(
        {quarantine::suspect_key(p_fingerprint), quarantine::whole_request});
    return suspects;
}

} // namespace

router::router(boost::asio::io_context& p_context,
               const router_options& p_options)
    : random_(p_options.seed_),
      pool_(p_context, {}),
      peer_pool_(p_context, {}),
      placement_(p_options.failure_domain_, p_options.seed_),
      admission_(p_options.seed_),
      resends_(p_options.resend_limits_),
      link_budget_(p_options.link_bytes_per_s_),
      handovers_(p_options.failure_domain_, p_options.seed_),
      reach_probe_(pool_, reach_),
      crash_check_(
          p_context,
          [this](quarantine::server_key p_server, const auto& p_suspects,
                 time_point p_at)
          { crashes_.record_crash(p_server, p_suspects, p_at); },
          [this](const routing::server_entry& p_server, time_point p_since)
          {
              return reach_.other_contact_since(
                  p_server.service_, p_server.instance_.id_, p_since);
          })
{
    placement_.set_lost_node_count(
        [this](const routing::service_name& p_service)
        { return handovers_.count_lost(p_service); });
    placement_.set_connection_check(
        [this](const routing::server_entry& p_server)
        { return pool_.has_idle(p_server.instance_.key()); });
}

void router::set_route_table(
    std::shared_ptr<const routing::route_table> p_route_table)
{
    route_table_ = std::move(p_route_table);
    urgency_.configure(*route_table_);
    placement_.servers().update(servers_, *route_table_, clock_.now());
}

void router::set_servers(const routing::server_list::entries& p_servers)
{
    servers_ = p_servers;
    streams_.set_servers(servers_, clock_.now());
    std::map<routing::service_name, std::size_t> counts;
    for (const auto& [id, entry] : servers_)
    {
        ++counts[entry.service_];
    }
    for (const auto& [service, count] : counts)
    {
        reach_.set_server_count(service, count);
    }
    if (route_table_)
    {
        placement_.servers().update(servers_, *route_table_, clock_.now());
    }
}

void router::set_live_node_count(std::size_t p_live_node_count)
{
    live_nodes_ = p_live_node_count;
    resends_.set_node_count(p_live_node_count);
    placement_.set_node_count(p_live_node_count);
}

const routing::caller_limits& router::limits() const
{
    static const routing::caller_limits defaults;
    return route_table_ ? route_table_->limits() : defaults;
}

http::response router::refuse_malformed(int p_status,
                                        const std::string& p_message)
{
    log_event(log_level::info, "request.malformed")
        .with("status", p_status)
        .with("reason", p_message);
    return platform::local_response(p_status, {}, p_message, std::nullopt);
}

routing::service_name router::choose_service(const routing::route& p_route)
{
    double total = 0;
    for (const auto& share : p_route.services_)
    {
        total += std::max(0.0, share.weight_);
    }
    double remaining =
        std::uniform_real_distribution<double>(0, total)(random_);
    for (const auto& share : p_route.services_)
    {
        remaining -= std::max(0.0, share.weight_);
        if (remaining < 0)
        {
            return share.service_;
        }
    }
    return p_route.services_.back().service_;
}

dispatch::request_profile router::make_profile(const exchange_plan& p_plan)
{
    const time_point now = clock_.now();
    const auto& route = p_plan.route_;
    dispatch::request_profile profile;
    profile.service_ = choose_service(route);
    profile.priority_ = route.priority_;
    profile.stream_ = route.stream_;
    profile.answer_target_ = route.answer_target_;
    profile.urgency_ = urgency_.urgency_of(profile);
    profile.pause_target_ = route.pause_target_;
    profile.arrived_ = now;
    profile.deadline_ =
        now + timeout_of(route.timeout_, p_plan.metadata_.time_left_);
    profile.give_up_at_ = profile.deadline_;
    if (route.stream_)
    {
        profile.give_up_at_ =
            std::min(profile.deadline_,
                     now + dispatch::stream_start_timeout(route.answer_target_,
                                                          route.pause_target_));
    }
    profile.prompt_tokens_ = p_plan.metadata_.prompt_tokens_;
    profile.output_tokens_ = p_plan.metadata_.output_hint_ > 0
                                 ? p_plan.metadata_.output_hint_
                                 : p_plan.metadata_.max_output_tokens_;
    profile.parts_ = dispatch::with_cache_keys(p_plan.metadata_.parts_,
                                               p_plan.metadata_.model_);
    return profile;
}

tl::expected<exchange_plan, http::response>
router::make_plan(http::request p_request)
{
    using platform::local_response;
    if (!route_table_)
    {
        return tl::unexpected(local_response(
            unavailable, {}, "this node has no configuration yet",
            short_retry_after));
    }
    const auto* host = http::find_header(p_request.head_.headers_, "Host");
    const auto* route = route_table_->find_route(host == nullptr ? "" : *host,
                                                 p_request.head_.target_);
    if (route == nullptr)
    {
        return tl::unexpected(local_response(
            not_found, {}, "no route has this path", std::nullopt));
    }
    exchange_plan plan;
    auto metadata = platform::parse_request(p_request.head_);
    if (!metadata)
    {
        return tl::unexpected(
            local_response(bad_request, {}, metadata.error(), std::nullopt));
    }
    plan.metadata_ = std::move(*metadata);
    plan.route_ = *route;
    if (route_table_->requires_keys() && !route->public_)
    {
        const auto* account = route_table_->find_account(plan.metadata_.key_);
        if (account == nullptr)
        {
            return tl::unexpected(
                local_response(unauthorized, plan.metadata_.attempt_,
                               "the key is unknown", std::nullopt));
        }
        plan.account_ = account->name_;
        plan.route_.priority_ = account->priority_.value_or(route->priority_);
    }
    const std::uint64_t fingerprint =
        compute_fingerprint(p_request, plan.metadata_.key_);
    plan.request_ = std::move(p_request);
    plan.profile_ = make_profile(plan);
    plan.profile_.message_bytes_ = plan.request_.body_.size();
    plan.suspects_ = make_suspects(plan.profile_.parts_, fingerprint);
    plan.id_ = next_id_++;
    return plan;
}

std::shared_ptr<active_request>
router::start(http::request p_request,
              std::shared_ptr<response_writer> p_writer)
{
    auto plan = make_plan(std::move(p_request));
    if (!plan)
    {
        p_writer->send(plan.error());
        return nullptr;
    }
    resends_.record_request(plan->profile_.service_, clock_.now());
    return start_planned(std::move(*plan), p_writer);
}

bool router::is_from_peer(const http::request& p_request)
{
    return http::find_header(p_request.head_.headers_,
                             handover_headers::runs) != nullptr;
}

http::response router::refuse_handover(const std::string& p_attempt)
{
    auto response = platform::local_response(
        unavailable, p_attempt, "this node can't take it", short_retry_after);
    response.headers_.push_back(
        {std::string(handover_headers::not_run),
         std::string(handover_headers::not_run_unreachable)});
    return response;
}

std::shared_ptr<active_request>
router::start_from_peer(http::request p_request,
                        const std::shared_ptr<response_writer>& p_writer)
{
    const auto& headers = p_request.head_.headers_;
    const std::string attempt = platform::attempt_of(p_request.head_);
    const auto runs =
        parse_number(http::find_header(headers, handover_headers::runs));
    const auto waited_ms =
        parse_number(http::find_header(headers, handover_headers::waited_ms));
    auto plan = make_plan(std::move(p_request));
    if (!plan)
    {
        // The peer knows the route, so this node's configuration differs.
        p_writer->send(refuse_handover(attempt));
        return nullptr;
    }
    plan->from_peer_ = true;
    plan->route_.max_attempts_ =
        std::min(plan->route_.max_attempts_, std::max(1U, runs));
    if (const auto time_left = plan->metadata_.time_left_)
    {
        // The peer has applied the timeout in force when the request arrived
        // there; this node's may be another by now.
        plan->profile_.deadline_ =
            clock_.now() + timeout_of(duration::zero(), time_left);
    }
    plan->profile_.arrived_ -= std::chrono::milliseconds(waited_ms);
    plan->profile_.give_up_at_ =
        std::max(clock_.now(), plan->profile_.give_up_at_ -
                                   std::chrono::milliseconds(waited_ms));
    return start_planned(std::move(*plan), p_writer);
}

std::shared_ptr<active_request>
router::start_planned(exchange_plan p_plan,
                      const std::shared_ptr<response_writer>& p_writer)
{
    const auto profile = p_plan.profile_;
    const auto quarantine_delay =
        crashes_.find_refusal(p_plan.suspects_, clock_.now());
    const auto created =
        std::make_shared<exchange>(*this, std::move(p_plan), p_writer);
    open_requests_.emplace(created->id(), created);
    if (quarantine_delay)
    {
        created->refuse(quarantine_reason, *quarantine_delay);
        return nullptr;
    }
    if (!can_finish(profile))
    {
        created->refuse(leaving_reason, short_retry_after);
        return nullptr;
    }
    if (created->takes_up_stream())
    {
        start_take_up(created);
    }
    else
    {
        admit(created);
    }
    return created->is_done() ? nullptr : created;
}

void router::admit(const std::shared_ptr<exchange>& p_exchange)
{
    const auto profile = p_exchange->profile();
    if (reach_.is_lost(profile.service_))
    {
        if (p_exchange->is_from_peer())
        {
            p_exchange->refuse("this node reaches no server",
                               short_retry_after);
            return;
        }
    }
    const time_point now = clock_.now();
    const duration prefill_time = placement_.min_prefill_time(profile, now);
    if (!queue_.is_blocked(profile, prefill_time) && try_dispatch(*p_exchange))
    {
        return;
    }
    if (const auto delay =
            find_refusal(profile, peer_queues_.prefill_ahead_of(profile, now)))
    {
        if (is_reached(profile) ||
            !p_exchange->hand_over("no server is healthy here"))
        {
            p_exchange->refuse("no server would answer in time", *delay);
        }
        return;
    }
    queue_.add(profile, p_exchange->id(), prefill_time);
}

bool router::waits_for_peer(const dispatch::request_profile& p_profile)
{
    return reach_.is_lost(p_profile.service_) &&
           handovers_.choose(p_profile.service_, {}, clock_.now()).has_value();
}

bool router::try_dispatch(exchange& r_exchange)
{
    const auto profile = r_exchange.profile();
    if (!r_exchange.is_from_peer() && waits_for_peer(profile))
    {
        return link_budget_.may_send(profile.message_bytes_, clock_.now()) &&
               r_exchange.hand_over("this node reaches no server");
    }
    return r_exchange.try_send(true);
}

std::optional<duration>
router::find_refusal(const dispatch::request_profile& p_profile,
                     duration p_queued_at_peers)
{
    const time_point now = clock_.now();
    if (!waits_for_peer(p_profile))
    {
        return admission_.find_refusal(p_profile, placement_, queue_,
                                       p_queued_at_peers, now,
                                       link_wait(p_profile));
    }
    // The peer decides what its servers can do in time; here only the link is
    // waited for.
    const duration wait = link_wait(p_profile);
    if (now + wait < p_profile.give_up_at_)
    {
        return std::nullopt;
    }
    return admission_.retry_delay(p_profile, wait, now);
}

bool router::is_reached(const dispatch::request_profile& p_profile) const
{
    return !reach_.is_lost(p_profile.service_) &&
           placement_.expected_wait(p_profile, clock_.now()) != duration::max();
}

void router::leave_service(const routing::service_name& p_service)
{
    for (const auto& [id, entry] : servers_)
    {
        if (entry.service_ == p_service)
        {
            pool_.close_idle(entry.instance_.key());
        }
    }
    for (const auto& candidate : queued_requests())
    {
        const bool is_stuck = candidate->profile().service_ == p_service &&
                              candidate->is_from_peer();
        if (is_stuck)
        {
            candidate->refuse("this node reaches no server", short_retry_after);
        }
    }
}

void router::start_take_up(const std::shared_ptr<exchange>& p_exchange)
{
    if (try_admit_known(p_exchange, false))
    {
        return;
    }
    streams_.request_list();
    take_ups_.push_back({p_exchange, clock_.now()});
}

bool router::try_admit_known(const std::shared_ptr<exchange>& p_exchange,
                             bool p_from_store)
{
    const auto known = streams_.find(p_exchange->resumed_attempt());
    if (known && known->from_store_ && !p_from_store)
    {
        return false;
    }
    if (known)
    {
        admit_at_origin(p_exchange, known->origin_,
                        known->from_store_ ? "store" : "own",
                        clock_.now() - known->known_since_);
    }
    return known.has_value();
}

void router::admit_at_origin(const std::shared_ptr<exchange>& p_exchange,
                             const routing::stream_origin& p_origin,
                             std::string_view p_source, duration p_age)
{
    p_exchange->log_origin(p_origin, p_source, p_age);
    if (!p_exchange->require_origin(p_origin))
    {
        p_exchange->refuse("the route doesn't lead to the stream's service",
                           short_retry_after);
        return;
    }
    admit(p_exchange);
}

bool router::try_resolve(const take_up& p_take_up, time_point p_now)
{
    const auto& exchange = p_take_up.exchange_;
    const bool is_listed = streams_.is_listed_since(p_take_up.asked_at_);
    const bool is_over = p_now - p_take_up.asked_at_ >= max_origin_wait;
    if (exchange->is_done() || try_admit_known(exchange, is_listed))
    {
        return true;
    }
    if (!is_listed && !is_over)
    {
        return false;
    }
    const auto& service = exchange->profile().service_;
    const auto main = streams_.main_version_of(service);
    if (is_listed && streams_.is_list_whole() && main &&
        exchange->route().services_.size() == 1)
    {
        admit_at_origin(exchange, {service, *main}, "main_version",
                        p_now - p_take_up.asked_at_);
        return true;
    }
    exchange->refuse(is_listed ? "it isn't known where the stream began"
                               : "the store doesn't say where the stream began",
                     short_retry_after);
    return true;
}

void router::resolve_take_ups(time_point p_now)
{
    const auto take_ups = std::exchange(take_ups_, {});
    for (const auto& each : take_ups)
    {
        if (!try_resolve(each, p_now))
        {
            take_ups_.push_back(each);
        }
    }
}

duration router::link_wait(const dispatch::request_profile& p_profile) const
{
    return link_budget_.wait(queue_.bytes_ahead_of(p_profile), clock_.now());
}

std::size_t router::kept_bytes() const
{
    std::size_t total = 0;
    for (const auto& [id, each] : open_requests_)
    {
        total += each->kept_bytes();
    }
    return total;
}

std::size_t router::kept_request_bytes() const
{
    std::size_t total = 0;
    for (const auto& [id, each] : open_requests_)
    {
        total += each->kept_request_bytes();
    }
    return total;
}

void router::limit_kept_bytes()
{
    while (kept_bytes() > max_kept_bytes)
    {
        const auto longest =
            std::max_element(open_requests_.begin(), open_requests_.end(),
                             [](const auto& p_left, const auto& p_right) {
                                 return p_left.second->kept_bytes() <
                                        p_right.second->kept_bytes();
                             })
                ->second;
        // Small answers of other servers stay.
        const std::size_t before = longest->kept_bytes();
        longest->break_off_long_answer();
        if (longest->kept_bytes() >= before)
        {
            return;
        }
    }
}

void router::leave_queue(exchange& p_exchange)
{
    queue_.remove(p_exchange.profile(), p_exchange.id());
}

void router::on_done(exchange& p_exchange, const request_outcome& p_outcome)
{
    metrics_.record_outcome(p_outcome);
    const bool wanted_more = on_sent_ && p_outcome.sends_ == 0 &&
                             p_outcome.result_ == request_result::refused &&
                             p_exchange.profile().stream_;
    if (wanted_more)
    {
        // More engines would have served it.
        const auto& profile = p_exchange.profile();
        prefill_demand_[profile.service_] +=
            placement_.min_prefill_time(profile, clock_.now());
    }
    open_requests_.erase(p_exchange.id());
}

void router::serve_waiting()
{
    queue_.try_dispatch([this](dispatch::queued_request_id p_id)
                        { return try_dispatch(*open_requests_.at(p_id)); });
}

std::vector<std::shared_ptr<exchange>> router::queued_requests() const
{
    std::vector<std::shared_ptr<exchange>> queued;
    for (const auto& [service, queue] : queue_.queues())
    {
        for (const auto& [key, waiter] : queue)
        {
            queued.push_back(open_requests_.at(key.id_));
        }
    }
    return queued;
}

void router::apply_quarantine_changes()
{
    const auto changes = crashes_.take_changes();
    for (const auto& change : changes)
    {
        log_event(log_level::warning,
                  change.began_ ? "quarantine.began" : "quarantine.ended")
            .with("key", to_hex(change.suspect_.key_.value()))
            .with("rank", change.suspect_.rank_)
            .with("crashes", change.crashes_);
    }
    if (changes.empty())
    {
        return;
    }
    const time_point now = clock_.now();
    for (const auto& candidate : queued_requests())
    {
        if (crashes_.is_quarantined(candidate->suspects()))
        {
            candidate->refuse(quarantine_reason,
                              crashes_.find_refusal(candidate->suspects(), now)
                                  .value_or(short_retry_after));
        }
    }
}

void router::apply_reach_changes()
{
    for (const auto& change : reach_.take_changes())
    {
        log_event(log_level::warning,
                  change.lost_ ? "service.lost" : "service.regained")
            .with("service", change.service_.value())
            .with("failed_servers", change.failed_servers_)
            .with("no_contact_ms", to_ms(change.no_contact_))
            .with("live_nodes", live_nodes_);
        if (change.lost_)
        {
            leave_service(change.service_);
        }
        else
        {
            placement_.servers().reset_health(change.service_);
        }
    }
}

bool router::can_finish(const dispatch::request_profile& p_profile) const
{
    return !leaving_ || clock_.now() < leaving_->accepts_all_until_ ||
           (!p_profile.stream_ &&
            p_profile.deadline_ <= leaving_->answers_until_);
}

void router::refuse_unfinishable()
{
    auto waiting = queued_requests();
    for (const auto& each : take_ups_)
    {
        waiting.push_back(each.exchange_);
    }
    for (const auto& each : waiting)
    {
        if (!can_finish(each->profile()))
        {
            each->refuse(leaving_reason, short_retry_after);
        }
    }
}

std::vector<std::shared_ptr<exchange>> router::all_requests() const
{
    std::vector<std::shared_ptr<exchange>> all;
    all.reserve(open_requests_.size());
    for (const auto& [id, exchange] : open_requests_)
    {
        all.push_back(exchange);
    }
    return all;
}

void router::end_all()
{
    for (const auto& each : all_requests())
    {
        each->end_now(leaving_reason);
    }
}

void router::refuse_unservable()
{
    for (const auto& candidate : queued_requests())
    {
        const auto& profile = candidate->profile();
        const auto delay = find_refusal(profile, {});
        const bool handed_over =
            delay && !is_reached(profile) &&
            candidate->hand_over("no server is healthy here");
        if (delay && !handed_over)
        {
            candidate->refuse("no server would answer in time", *delay);
        }
    }
}

void router::tick()
{
    const time_point now = clock_.now();
    if (now - std::exchange(last_tick_, now) > max_tick_gap)
    {
        // Connections that were established meanwhile are noticed first.
        awake_since_ = now;
    }
    else
    {
        pool_.tick(now);
        peer_pool_.tick(now);
    }
    reach_probe_.tick(servers_, now);
    crash_check_.tick(now);
    if (now >= next_crash_check_)
    {
        next_crash_check_ = now + crash_check_interval;
        crashes_.tick(now);
    }
    apply_reach_changes();
    apply_quarantine_changes();
    placement_.limits().tick(now);
    placement_.brittle().tick(now);
    placement_.servers().starts().tick(now);
    if (leaving_)
    {
        refuse_unfinishable();
    }
    resolve_take_ups(now);
    // Streams that wait to be resumed go before new requests.
    for (const auto& each : all_requests())
    {
        each->tick(now);
    }
    serve_waiting();
    if (now >= next_unservable_check_)
    {
        next_unservable_check_ = now + unservable_check_interval;
        refuse_unservable();
    }
}

bool router::try_consume_resend(const routing::service_name& p_service)
{
    return resends_.try_consume(p_service, clock_.now());
}

bool router::try_consume_resume(const routing::service_name& p_service,
                                dispatch::queued_request_id p_request)
{
    return resends_.try_consume_for_begun(p_service, p_request, clock_.now()) ==
           dispatch::resend_decision::allowed;
}

void router::record_sent(const dispatch::request_profile& p_profile,
                         const dispatch::assignment& p_assignment)
{
    placement_.servers().record_sent(p_profile, p_assignment, clock_.now());
    placement_.limits().record_sent(p_assignment.server_.instance_.key());
    if (p_profile.stream_ && sent_reports_.size() < max_sent_reports)
    {
        sent_reports_.push_back({p_assignment.server_.instance_.id_,
                                 p_profile.parts_, p_assignment.prefill_time_,
                                 p_assignment.pause_target_,
                                 p_assignment.tokens_});
    }
    if (on_sent_ && p_profile.stream_)
    {
        prefill_demand_[p_profile.service_] += p_assignment.prefill_time_;
        on_sent_(p_profile.parts_);
    }
}

void router::record_begun(const std::optional<routing::account_name>& p_account)
{
    if (on_begun_ && p_account)
    {
        on_begun_(*p_account);
    }
}

std::map<routing::service_name, router::service_demand> router::demand() const
{
    std::map<routing::service_name, service_demand> all;
    for (const auto& [service, prefill] : prefill_demand_)
    {
        all[service].prefill_ = prefill;
    }
    for (const auto& [id, each] : open_requests_)
    {
        all[each->profile().service_].streams_ +=
            each->profile().stream_ ? 1 : 0;
    }
    return all;
}

void router::record_lost_call(const routing::server_entry& p_server,
                              std::vector<quarantine::suspect> p_suspects)
{
    crash_check_.record_lost_call(p_server, std::move(p_suspects),
                                  clock_.now());
}

std::vector<dispatch::sent_report> router::take_sent_reports()
{
    return std::exchange(sent_reports_, {});
}

duration router::retry_after(const dispatch::request_profile& p_profile)
{
    return admission_.retry_delay(p_profile, short_retry_after, clock_.now());
}

} // namespace peridotspar::ingress
