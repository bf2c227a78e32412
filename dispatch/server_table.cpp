#include "dispatch/server_table.hpp"

#include "core/log.hpp"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

#include <xxhash.h>

namespace peridotspar::dispatch
{

namespace
{

/// Share of a service's engines that are reserved for short prompts.
constexpr double short_prompt_engine_share = 0.22;

/// The load of a peer is removed after this time without a report, because
/// servers drop requests when their caller is gone.
constexpr duration peer_report_lifetime = std::chrono::seconds(4);

/// Beyond so many, runs that aren't in the list of servers are forgotten.
constexpr std::size_t max_leaving = 1024;
/// A server that sends nothing for longer starts to respond anew.
constexpr duration max_response_gap = std::chrono::milliseconds(500);

/// An answer of a paced server that took longer than this multiple of the
/// expected time means that the server can't take more requests.
constexpr double max_good_answer_ratio = 1.5;

std::uint64_t hash_rank(const server_state* p_server)
{
    const std::string& id = p_server->entry_.instance_.id_;
    return XXH64(id.data(), id.size(), 0);
}

} // namespace

unsigned server_state::running_requests() const
{
    return own_load_.requests_ + peer_loads_.total().requests_;
}

std::uint64_t server_state::memory_tokens_in_use() const
{
    return own_load_.tokens_ + peer_loads_.total().tokens_;
}

duration server_state::backlog(time_point p_now) const
{
    const duration total =
        own_load_.pending_prefill_ +
        peer_loads_.pending_prefill(own_load_.pending_prefill_, p_now);
    return from_seconds(model_.slowdown(p_now) * to_seconds(total));
}

double server_state::expected_late_streams(duration p_pause) const
{
    return own_load_.expected_late_streams(p_pause) +
           peer_loads_.total().expected_late_streams(p_pause);
}

void server_table::update(const routing::server_list::entries& p_servers,
                          const routing::route_table& p_table,
                          std::optional<time_point> p_now)
{
    for (auto it = servers_.begin(); it != servers_.end();)
    {
        const auto known = p_servers.find(it->first);
        const bool stays =
            known != p_servers.end() &&
            known->second.instance_ == it->second.entry_.instance_;
        it = stays ? std::next(it) : servers_.erase(it);
    }
    servers_by_service_.clear();
    for (const auto& [id, entry] : p_servers)
    {
        const auto* service = p_table.find_service(entry.service_);
        const bool is_engine = service != nullptr && service->engine_;
        const std::uint64_t memory =
            is_engine ? service->engine_->memory_tokens_ : 0;
        auto& state = servers_
                          .try_emplace(id, server_state{entry,
                                                        is_engine,
                                                        memory,
                                                        engine_model(memory),
                                                        {},
                                                        {},
                                                        {},
                                                        false,
                                                        {}})
                          .first->second;
        state.entry_ = entry;
        state.entry_.leaving_ |= leaving_.contains(entry.instance_.key());
        state.is_engine_ = is_engine;
        servers_by_service_[entry.service_].push_back(&state);
    }
    collect_targets(p_table);
    select_short_prompt_engines();
    if (p_now)
    {
        starts_.update(p_servers, p_table, *p_now);
    }
}

void server_table::collect_targets(const routing::route_table& p_table)
{
    targets_.clear();
    p_table.for_each_route(
        [this](const routing::route& p_route)
        {
            for (const auto& share : p_route.services_)
            {
                auto& targets = targets_[share.service_];
                targets.top_priority_ =
                    std::min(targets.top_priority_, p_route.priority_);
                if (p_route.answer_target_ > duration::zero())
                {
                    targets.shortest_answer_ = std::min(
                        targets.shortest_answer_, p_route.answer_target_);
                }
                if (p_route.stream_ && p_route.pause_target_ > duration::zero())
                {
                    targets.shortest_pause_ = std::min(targets.shortest_pause_,
                                                       p_route.pause_target_);
                }
            }
        });
}

void server_table::select_short_prompt_engines()
{
    for (auto& [service, servers] : servers_by_service_)
    {
        // Ranking by a hash of the id makes all nodes choose the same engines.
        std::vector<server_state*> ranked = servers;
        std::sort(ranked.begin(), ranked.end(),
                  [](const server_state* p_left, const server_state* p_right)
                  { return hash_rank(p_left) < hash_rank(p_right); });
        const long wanted = std::lround(short_prompt_engine_share *
                                        static_cast<double>(ranked.size()));
        long chosen = 0;
        for (server_state* server : ranked)
        {
            server->for_short_prompts_ = server->is_engine_ &&
                                         !server->entry_.leaving_ &&
                                         chosen < wanted;
            chosen += server->for_short_prompts_ ? 1 : 0;
        }
    }
}

const std::vector<server_state*>&
server_table::servers_of(const routing::service_name& p_service) const
{
    static const std::vector<server_state*> none;
    const auto found = servers_by_service_.find(p_service);
    return found == servers_by_service_.end() ? none : found->second;
}

const service_targets*
server_table::targets(const routing::service_name& p_service) const
{
    const auto found = targets_.find(p_service);
    return found == targets_.end() ? nullptr : &found->second;
}

prefill_speed
server_table::speed_of(const routing::service_name& p_service) const
{
    const auto found = speeds_.find(p_service);
    return found == speeds_.end() ? prefill_speed{} : found->second.speed();
}

bool server_table::has_tightest_pause(const request_profile& p_request) const
{
    const auto* targets = this->targets(p_request.service_);
    return targets != nullptr && p_request.stream_ &&
           p_request.pause_target_ <= targets->shortest_pause_;
}

server_state* server_table::find(const std::string& p_id)
{
    const auto found = servers_.find(p_id);
    return found == servers_.end() ? nullptr : &found->second;
}

void server_table::record_leaving(const std::string& p_key, bool p_said_here)
{
    const auto found = leaving_.find(p_key);
    const bool is_new = found == leaving_.end();
    if (!is_new && (found->second || !p_said_here))
    {
        return;
    }
    if (is_new && leaving_.size() >= max_leaving)
    {
        forget_past_runs();
    }
    leaving_[p_key] = p_said_here;
    if (p_said_here && is_new)
    {
        leaving_news_.push_back(p_key);
    }
    for (auto& [id, state] : servers_)
    {
        if (state.entry_.instance_.key() == p_key && !state.entry_.leaving_)
        {
            log_event(log_level::info, "server.says_it_leaves")
                .with("server", id)
                .with("to_this_node", p_said_here);
            state.entry_.leaving_ = true;
        }
    }
}

void server_table::forget_past_runs()
{
    std::set<std::string> present;
    for (const auto& [id, state] : servers_)
    {
        present.insert(state.entry_.instance_.key());
    }
    std::erase_if(leaving_, [&present](const auto& p_item)
                  { return !present.contains(p_item.first); });
}

std::vector<std::string> server_table::take_leaving_news()
{
    return std::exchange(leaving_news_, {});
}

std::vector<std::string> server_table::leaving_keys() const
{
    std::vector<std::string> keys;
    if (leaving_.empty())
    {
        return keys;
    }
    for (const auto& [id, state] : servers_)
    {
        const auto found = leaving_.find(state.entry_.instance_.key());
        if (found != leaving_.end() && found->second)
        {
            keys.push_back(found->first);
        }
    }
    return keys;
}

void server_table::reset_health(const routing::service_name& p_service)
{
    for (server_state* server : servers_of(p_service))
    {
        server->health_ = {};
    }
    starts_.forget_unhealthy(p_service);
}

void server_table::record_success(server_state& r_server, time_point p_now)
{
    const bool has_recovered = !r_server.health_.is_healthy(p_now);
    r_server.health_.record_success(p_now);
    if (has_recovered && starts_.covers(r_server.entry_.service_))
    {
        starts_.record_recovered(r_server.entry_, p_now);
    }
}

void server_table::record_if_unhealthy(const server_state& p_server,
                                       time_point p_now)
{
    const auto& service = p_server.entry_.service_;
    if (!starts_.covers(service) || p_server.health_.is_healthy(p_now))
    {
        return;
    }
    const auto& servers = servers_of(service);
    const auto unhealthy =
        std::count_if(servers.begin(), servers.end(),
                      [p_now](const server_state* p_other)
                      { return !p_other->health_.is_healthy(p_now); });
    starts_.record_unhealthy(p_server.entry_,
                             static_cast<std::size_t>(unhealthy), p_now);
}

void server_table::record_paced(const server_state& p_server, bool p_good,
                                time_point p_now)
{
    if (starts_.pace().count() > 0)
    {
        starts_.pace().record_answer(p_server.entry_.instance_.key(), p_good,
                                     p_now);
    }
}

void server_table::record_pause(const std::string& p_id, time_point p_until)
{
    if (server_state* server = find(p_id))
    {
        server->paused_until_ = std::max(server->paused_until_, p_until);
        log_event(log_level::info, "server.paused").with("server", p_id);
    }
}

void server_table::record_sent(const request_profile& p_request,
                               const assignment& p_assignment, time_point p_now)
{
    server_state* server = find(p_assignment.server_.instance_.id_);
    if (server == nullptr)
    {
        return;
    }
    const time_point prefill_end =
        p_now + server->backlog(p_now) + p_assignment.prefill_time_;
    server->own_load_.add(p_assignment.stream_, p_assignment.pause_target_,
                          p_assignment.tokens_);
    server->own_load_.pending_prefill_ += p_assignment.prefill_time_;
    server->last_request_ = p_now;
    if (!server->health_.is_healthy(p_now))
    {
        server->health_.record_probe(p_now);
    }
    server->model_.record_sent(p_request.parts_, prefill_end);
}

void server_table::record_first_answer(const request_profile& p_request,
                                       assignment& r_assignment,
                                       time_point p_now)
{
    r_assignment.answered_ = true;
    server_state* server = find(r_assignment.server_.instance_.id_);
    if (server == nullptr)
    {
        return;
    }
    server->own_load_.remove_pending_prefill(r_assignment.prefill_time_);
    record_success(*server, p_now);
    const duration expected = r_assignment.usual_answer_delay_.value_or(
        r_assignment.expected_answer_at_ - r_assignment.sent_at_);
    record_paced(*server,
                 to_seconds(p_now - r_assignment.sent_at_) <=
                     max_good_answer_ratio * to_seconds(expected),
                 p_now);
    if (r_assignment.was_idle_)
    {
        speeds_[server->entry_.service_].add_sample(
            r_assignment.prefill_time_, p_now - r_assignment.sent_at_);
    }
    server->model_.record_prefill_done(p_request.parts_, r_assignment.sent_at_,
                                       r_assignment.expected_answer_at_, p_now);
}

void server_table::record_end(const assignment& p_assignment,
                              send_result p_result, time_point p_now)
{
    server_state* server = find(p_assignment.server_.instance_.id_);
    if (server == nullptr)
    {
        return;
    }
    if (!p_assignment.answered_)
    {
        server->own_load_.remove_pending_prefill(p_assignment.prefill_time_);
    }
    server->own_load_.remove(p_assignment.stream_, p_assignment.pause_target_,
                             p_assignment.tokens_);
    if (p_result == send_result::failed)
    {
        server->health_.record_failure(p_now);
        record_if_unhealthy(*server, p_now);
    }
    if (p_result == send_result::absent)
    {
        server->health_.record_absent(p_now);
        record_if_unhealthy(*server, p_now);
    }
    if (p_result == send_result::answered)
    {
        record_success(*server, p_now);
    }
    if (p_result != send_result::answered && p_result != send_result::dropped)
    {
        record_paced(*server, false, p_now);
    }
}

void server_table::record_response(const std::string& p_id, time_point p_now)
{
    server_state* server = find(p_id);
    if (server == nullptr)
    {
        return;
    }
    if (p_now - server->last_response_ > max_response_gap)
    {
        server->responds_since_ = p_now;
    }
    server->last_response_ = p_now;
    if (std::exchange(server->stalled_, false))
    {
        record_success(*server, p_now);
    }
}

duration server_table::responding_time(const std::string& p_id,
                                       time_point p_since) const
{
    const auto found = servers_.find(p_id);
    if (found == servers_.end())
    {
        return {};
    }
    const server_state& server = found->second;
    const time_point since = std::max(p_since, server.responds_since_);
    return std::max(duration{}, server.last_response_ - since);
}

server_table::response_summary server_table::summarize_responses(
    const routing::service_name& p_service, const std::string& p_server,
    time_point p_since, duration p_window, time_point p_now) const
{
    response_summary summary;
    for (const server_state* server : servers_of(p_service))
    {
        const std::string& id = server->entry_.instance_.id_;
        if (id == p_server)
        {
            continue;
        }
        summary.others_respond_ |= p_now - server->last_response_ <= p_window &&
                                   responding_time(id, p_since) >= p_window;
        const auto last_sign =
            std::max(server->last_response_, server->last_request_);
        const bool is_silent =
            server->own_load_.requests_ > 0 && p_now - last_sign > p_window;
        if (is_silent || !server->health_.is_healthy(p_now))
        {
            summary.doubtful_.insert(id);
        }
    }
    return summary;
}

void server_table::record_stalled(const std::string& p_id, time_point p_now)
{
    if (server_state* server = find(p_id))
    {
        server->stalled_ = true;
        server->health_.record_failure(p_now);
        record_if_unhealthy(*server, p_now);
    }
}

void server_table::record_peer_sent(const node_id& p_peer,
                                    const sent_report& p_report,
                                    time_point p_now)
{
    server_state* server = find(p_report.server_);
    if (server == nullptr)
    {
        return;
    }
    const duration backlog = server->backlog(p_now);
    server->model_.record_sent(p_report.parts_,
                               p_now + backlog + p_report.prefill_time_);
    server->peer_loads_.add(p_peer, p_report.pause_target_, p_report.tokens_,
                            p_report.prefill_time_, p_now);
}

void server_table::record_cached(const cache_report& p_report, time_point p_now)
{
    server_state* server = find(p_report.server_);
    if (server == nullptr)
    {
        return;
    }
    for (const auto& part : p_report.parts_)
    {
        server->model_.record_cached(part, p_now);
    }
}

bool server_table::is_engine(const std::string& p_server) const
{
    const auto found = servers_.find(p_server);
    return found != servers_.end() && found->second.is_engine_;
}

void server_table::record_peer_running(const node_id& p_peer,
                                       const server_loads& p_loads,
                                       time_point p_now)
{
    for (auto& [id, server] : servers_)
    {
        const auto found = p_loads.find(id);
        if (found == p_loads.end())
        {
            server.peer_loads_.erase(p_peer);
            continue;
        }
        server.peer_loads_.set(p_peer, found->second, p_now);
    }
}

void server_table::expire_peer_loads(time_point p_now)
{
    for (auto& [id, server] : servers_)
    {
        server.peer_loads_.erase_older_than(p_now - peer_report_lifetime);
    }
}

unsigned server_table::own_requests(const std::string& p_id) const
{
    const auto found = servers_.find(p_id);
    return found == servers_.end() ? 0 : found->second.own_load_.requests_;
}

server_loads server_table::own_loads() const
{
    server_loads loads;
    for (const auto& [id, server] : servers_)
    {
        if (server.own_load_.requests_ > 0)
        {
            loads[id] = server.own_load_;
        }
    }
    return loads;
}

} // namespace peridotspar::dispatch
