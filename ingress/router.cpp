#include "ingress/router.hpp"

#include "core/log.hpp"
#include "platform/request_headers.hpp"

#include <algorithm>
#include <array>

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
/// Where a node has no configuration yet, or leaves.
constexpr duration come_back_soon = 300ms;
/// Where neither route nor caller limits the time.
constexpr duration longest_time = 60s;
constexpr std::size_t most_sent_notes = 512;
/// Weighing all that waits against all servers costs a small VM much.
constexpr duration hopeless_check_gap = 100ms;

std::uint64_t fingerprint_of(const http::request& p_request,
                             const std::string& p_key)
{
    const auto hash = [](const std::string& p_text, std::uint64_t p_seed)
    { return XXH64(p_text.data(), p_text.size(), p_seed); };
    return hash(p_request.body_, hash(p_request.head_.target_, hash(p_key, 0)));
}

} // namespace

router::router(boost::asio::io_context& p_context,
               const router_options& p_options)
    : random_(p_options.seed_),
      pool_(p_context, {}),
      placement_(p_options.domain_, p_options.seed_),
      admission_(p_options.seed_),
      resends_(p_options.resends_)
{
    placement_.set_connection_check(
        [this](const routing::server_entry& p_server)
        { return pool_.has_idle(p_server.instance_.key()); });
}

void router::set_table(std::shared_ptr<const routing::route_table> p_table)
{
    table_ = std::move(p_table);
    urgency_.configure(*table_);
    placement_.servers().update(servers_, *table_);
}

void router::set_servers(const routing::server_list::entries& p_servers)
{
    servers_ = p_servers;
    if (table_)
    {
        placement_.servers().update(servers_, *table_);
    }
}

void router::set_nodes(std::size_t p_live)
{
    resends_.set_node_count(p_live);
    placement_.set_node_count(p_live);
}

const routing::caller_limits& router::limits() const
{
    static const routing::caller_limits defaults;
    return table_ ? table_->limits() : defaults;
}

http::answer router::refuse_malformed(int p_status,
                                      const std::string& p_message)
{
    log_event(log_level::info, "request.malformed")
        .with("status", p_status)
        .with("reason", p_message);
    return platform::own_answer(p_status, {}, p_message, std::nullopt);
}

routing::service_name router::choose_service(const routing::route& p_route)
{
    double total = 0;
    for (const auto& share : p_route.services_)
    {
        total += std::max(0.0, share.weight_);
    }
    double drawn = std::uniform_real_distribution<double>(0, total)(random_);
    for (const auto& share : p_route.services_)
    {
        drawn -= std::max(0.0, share.weight_);
        if (drawn < 0)
        {
            return share.service_;
        }
    }
    return p_route.services_.back().service_;
}

dispatch::request_profile router::describe(const exchange_plan& p_plan)
{
    const time_point now = clock_.now();
    const auto& route = p_plan.route_;
    dispatch::request_profile work;
    work.service_ = choose_service(route);
    work.priority_ = route.priority_;
    work.stream_ = route.stream_;
    work.answer_target_ = route.answer_target_;
    work.urgency_ = urgency_.urgency_of(work);
    work.pause_target_ = route.pause_target_;
    work.arrived_ = now;
    duration time = longest_time;
    if (route.timeout_ > duration::zero())
    {
        time = std::min(time, route.timeout_);
    }
    if (p_plan.terms_.time_left_)
    {
        time = std::min(time, *p_plan.terms_.time_left_);
    }
    work.deadline_ = now + time;
    work.give_up_at_ = work.deadline_;
    if (route.stream_)
    {
        work.give_up_at_ =
            std::min(work.deadline_,
                     now + dispatch::stream_start_timeout(route.answer_target_,
                                                          route.pause_target_));
    }
    work.prompt_tokens_ = p_plan.terms_.prompt_tokens_;
    work.output_tokens_ = p_plan.terms_.output_hint_ > 0
                              ? p_plan.terms_.output_hint_
                              : p_plan.terms_.max_output_tokens_;
    work.parts_ =
        dispatch::with_cache_keys(p_plan.terms_.parts_, p_plan.terms_.model_);
    return work;
}

tl::expected<exchange_plan, http::answer> router::plan(http::request p_request)
{
    using platform::own_answer;
    if (!table_)
    {
        return tl::unexpected(own_answer(unavailable, {},
                                         "this node has no configuration yet",
                                         come_back_soon));
    }
    const auto* host = http::find(p_request.head_.headers_, "Host");
    const auto* route = table_->find_route(host == nullptr ? "" : *host,
                                           p_request.head_.target_);
    if (route == nullptr)
    {
        return tl::unexpected(
            own_answer(not_found, {}, "no route has this path", std::nullopt));
    }
    exchange_plan plan;
    auto terms = platform::read_request(p_request.head_);
    if (!terms)
    {
        return tl::unexpected(
            own_answer(bad_request, {}, terms.error(), std::nullopt));
    }
    plan.terms_ = std::move(*terms);
    plan.route_ = *route;
    if (table_->requires_keys() && !route->public_)
    {
        const auto* account = table_->find_account(plan.terms_.key_);
        if (account == nullptr)
        {
            return tl::unexpected(own_answer(unauthorized, plan.terms_.attempt_,
                                             "the key is unknown",
                                             std::nullopt));
        }
        plan.account_ = account->name_;
        plan.route_.priority_ = account->priority_.value_or(route->priority_);
    }
    plan.fingerprint_ = fingerprint_of(p_request, plan.terms_.key_);
    plan.request_ = std::move(p_request);
    plan.work_ = describe(plan);
    plan.id_ = next_id_++;
    return plan;
}

std::shared_ptr<job> router::start(http::request p_request,
                                   std::shared_ptr<reply> p_reply)
{
    auto planned = plan(std::move(p_request));
    if (!planned)
    {
        p_reply->send(planned.error());
        return nullptr;
    }
    const auto work = planned->work_;
    const bool poison = poison_.is_poison(planned->fingerprint_);
    const auto created =
        std::make_shared<exchange>(*this, std::move(*planned), p_reply);
    open_.emplace(created->id(), created);
    resends_.note_request(work.service_, clock_.now());
    if (poison)
    {
        created->refuse("the request ended the servers that ran it",
                        come_back_in(work));
        return nullptr;
    }
    if (closing_ && work.stream_)
    {
        created->refuse("this node is leaving", come_back_soon);
        return nullptr;
    }
    const duration reading = placement_.min_prefill_time(work, clock_.now());
    if (!line_.is_blocked(work, reading) && created->try_send(true))
    {
        return created->is_done() ? nullptr : created;
    }
    const time_point now = clock_.now();
    if (const auto back = admission_.find_refusal(
            work, placement_, line_, peer_lines_.prefill_ahead_of(work, now),
            now))
    {
        created->refuse("no server would answer in time", *back);
        return nullptr;
    }
    line_.add(work, created->id(), reading);
    return created;
}

void router::leave_line(exchange& p_exchange)
{
    line_.remove(p_exchange.work(), p_exchange.id());
}

void router::on_done(exchange& p_exchange, const request_outcome& p_outcome)
{
    metrics_.note(p_outcome);
    open_.erase(p_exchange.id());
}

void router::serve_waiting()
{
    line_.try_dispatch([this](dispatch::queued_request_id p_id)
                       { return open_.at(p_id)->try_send(true); });
}

void router::refuse_hopeless()
{
    const time_point now = clock_.now();
    std::vector<std::shared_ptr<exchange>> hopeless;
    for (const auto& [service, line] : line_.queues())
    {
        for (const auto& [key, waiter] : line)
        {
            hopeless.push_back(open_.at(key.id_));
        }
    }
    for (const auto& candidate : hopeless)
    {
        const auto& work = candidate->work();
        if (const auto back =
                admission_.find_refusal(work, placement_, line_, {}, now))
        {
            candidate->refuse("no server would answer in time", *back);
        }
    }
}

void router::tick()
{
    const time_point now = clock_.now();
    pool_.tick(now);
    serve_waiting();
    if (now >= next_hopeless_check_)
    {
        next_hopeless_check_ = now + hopeless_check_gap;
        refuse_hopeless();
    }
    std::vector<std::shared_ptr<exchange>> all;
    all.reserve(open_.size());
    for (const auto& [id, exchange] : open_)
    {
        all.push_back(exchange);
    }
    for (const auto& exchange : all)
    {
        exchange->tick(now);
    }
    poison_.expire_entries(now);
}

bool router::take_resend(const routing::service_name& p_service)
{
    return resends_.try_consume(p_service, clock_.now());
}

void router::note_sent(const dispatch::request_profile& p_work,
                       const dispatch::assignment& p_placed)
{
    placement_.servers().note_sent(p_work, p_placed, clock_.now());
    if (p_work.stream_ && sent_notes_.size() < most_sent_notes)
    {
        sent_notes_.push_back({p_placed.server_.instance_.id_, p_work.parts_,
                               p_placed.prefill_time_, p_placed.pause_target_,
                               p_placed.tokens_});
    }
}

std::vector<dispatch::sent_report> router::take_sent_notes()
{
    return std::exchange(sent_notes_, {});
}

void router::note_crash(std::uint64_t p_fingerprint)
{
    poison_.note_crash(p_fingerprint, clock_.now());
}

void router::note_good_end(std::uint64_t p_fingerprint)
{
    poison_.note_success(p_fingerprint);
}

bool router::is_poison(std::uint64_t p_fingerprint)
{
    return poison_.is_poison(p_fingerprint);
}

duration router::come_back_in(const dispatch::request_profile& p_work)
{
    return admission_.retry_delay(p_work, come_back_soon, clock_.now());
}

} // namespace peridotspar::ingress
