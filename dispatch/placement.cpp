#include "dispatch/placement.hpp"

#include <algorithm>
#include <limits>

namespace peridotspar::dispatch
{

namespace
{

using namespace std::chrono_literals;

/// Prompts that may wait at an engine when work that isn't of the highest
/// priority is added; the rest waits here, where more urgent work passes it.
constexpr duration longest_backlog = 400ms;
/// Added for another failure domain, where bytes cost and take longer.
constexpr double other_domain_ms = 3;
/// Added for each request that runs, as steps grow with the batch.
constexpr double running_ms = 1.0;
/// Weight of an engine's time that a request takes from the others.
constexpr double engine_time_weight = 1.0;
/// Weight of the time beyond the target.
constexpr double lateness_weight = 2.0;
/// A plain server's time for a request, where nothing else is known.
constexpr duration plain_service_time = 40ms;
constexpr double distrust_ms = 1e6;

} // namespace

placement::placement(failure_domain_id p_own_domain, std::uint64_t p_seed)
    : own_domain_(std::move(p_own_domain)), random_(p_seed)
{
}

void placement::set_servers(const routing::server_list::entries& p_servers,
                            const routing::route_table& p_table)
{
    for (auto each = servers_.begin(); each != servers_.end();)
    {
        const auto known = p_servers.find(each->first);
        const bool stays =
            known != p_servers.end() &&
            known->second.instance_ == each->second.entry_.instance_;
        each = stays ? std::next(each) : servers_.erase(each);
    }
    by_service_.clear();
    for (const auto& [id, entry] : p_servers)
    {
        const auto* service = p_table.find_service(entry.service_);
        const bool is_engine = service != nullptr && service->engine_;
        const std::uint64_t memory =
            is_engine ? service->engine_->memory_tokens_ : 0;
        auto [state, added] = servers_.try_emplace(
            id, server_state{entry, engine_model(memory), {}, 0, 0, {}, false});
        state->second.entry_ = entry;
        state->second.is_engine_ = is_engine;
        by_service_[entry.service_].push_back(&state->second);
    }
}

unsigned placement::load_of(const server_state& p_server) const
{
    unsigned load = p_server.running_;
    for (const auto& [peer, running] : p_server.peers_running_)
    {
        load += running;
    }
    return load;
}

const reading_speed& placement::speed_of(const work&) const
{
    return speed_;
}

duration placement::answer_time(const server_state& p_server,
                                const work& p_work, time_point p_now) const
{
    const unsigned load = load_of(p_server);
    const unsigned slots = std::max(1U, p_server.entry_.slots_);
    if (!p_server.is_engine_)
    {
        return plain_service_time * (1 + load / slots);
    }
    const duration reading =
        p_server.model_.reading_time(p_work, speed_of(p_work));
    return from_seconds(speed_of(p_work).base_ms_ / 1000) +
           p_server.model_.backlog(p_now) + reading;
}

double placement::cost_ms(const server_state& p_server, const work& p_work,
                          time_point p_now) const
{
    const duration answer = answer_time(p_server, p_work, p_now);
    double cost = to_ms(answer);
    cost +=
        lateness_weight * std::max(0.0, to_ms(answer) - to_ms(p_work.target_));
    cost += running_ms * load_of(p_server);
    if (p_server.is_engine_)
    {
        cost += engine_time_weight *
                to_ms(p_server.model_.reading_time(p_work, speed_of(p_work)));
    }
    if (p_server.entry_.domain_ != own_domain_)
    {
        cost += other_domain_ms;
    }
    if (!p_server.health_.is_trusted(p_now))
    {
        cost += distrust_ms;
    }
    return cost;
}

bool placement::has_room(const server_state& p_server, const work& p_work,
                         time_point p_now) const
{
    if (load_of(p_server) >= p_server.entry_.slots_)
    {
        return false;
    }
    return p_work.priority_ == 0 || !p_server.is_engine_ ||
           p_server.model_.backlog(p_now) <= longest_backlog;
}

std::optional<placed> placement::choose(const work& p_work,
                                        const std::set<std::string>& p_excluded,
                                        time_point p_now, bool p_may_wait)
{
    const auto candidates = by_service_.find(p_work.service_);
    if (candidates == by_service_.end())
    {
        return std::nullopt;
    }
    server_state* best = nullptr;
    double best_cost = std::numeric_limits<double>::max();
    const std::size_t count = candidates->second.size();
    const std::size_t first = random_() % count;
    for (std::size_t i = 0; i < count; ++i)
    {
        server_state& server = *candidates->second[(first + i) % count];
        const bool usable = !server.entry_.leaving_ &&
                            !p_excluded.contains(server.entry_.instance_.id_) &&
                            (server.health_.is_trusted(p_now) ||
                             server.health_.may_probe(p_now));
        if (!usable || (p_may_wait && !has_room(server, p_work, p_now)))
        {
            continue;
        }
        const double cost = cost_ms(server, p_work, p_now);
        if (cost < best_cost)
        {
            best = &server;
            best_cost = cost;
        }
    }
    if (best == nullptr)
    {
        return std::nullopt;
    }
    const duration reading =
        best->is_engine_ ? best->model_.reading_time(p_work, speed_of(p_work))
                         : duration::zero();
    return placed{best->entry_, reading,
                  p_now + answer_time(*best, p_work, p_now)};
}

duration placement::expected_wait(const work& p_work, time_point p_now)
{
    duration shortest = duration::max();
    const auto candidates = by_service_.find(p_work.service_);
    if (candidates == by_service_.end())
    {
        return shortest;
    }
    for (const server_state* server : candidates->second)
    {
        if (!server->entry_.leaving_ && server->health_.is_trusted(p_now))
        {
            shortest = std::min(shortest, answer_time(*server, p_work, p_now));
        }
    }
    return shortest;
}

void placement::note_sent(const work& p_work, const placed& p_placed,
                          time_point p_now)
{
    const auto found = servers_.find(p_placed.server_.instance_.id_);
    if (found == servers_.end())
    {
        return;
    }
    auto& server = found->second;
    ++server.running_;
    ++server.unanswered_;
    if (!server.health_.is_trusted(p_now))
    {
        server.health_.note_probe(p_now);
    }
    server.model_.note_sent(p_work.prefixes_, p_placed.reading_, p_now);
}

void placement::note_first_answer(const work&, const placed& p_placed,
                                  time_point p_now)
{
    const auto found = servers_.find(p_placed.server_.instance_.id_);
    if (found == servers_.end())
    {
        return;
    }
    auto& server = found->second;
    server.health_.note_success();
    server.unanswered_ -= std::min(server.unanswered_, 1U);
    server.model_.note_read(p_placed.answer_at_, p_now);
}

void placement::note_end(const placed& p_placed, send_result p_result,
                         time_point p_now)
{
    const auto found = servers_.find(p_placed.server_.instance_.id_);
    if (found == servers_.end())
    {
        return;
    }
    auto& server = found->second;
    server.running_ -= std::min(server.running_, 1U);
    if (p_result == send_result::failed)
    {
        server.health_.note_failure(p_now);
    }
    if (p_result == send_result::answered)
    {
        server.health_.note_success();
    }
}

void placement::note_peer_sent(const sent_note& p_note, time_point p_now)
{
    if (const auto found = servers_.find(p_note.server_);
        found != servers_.end())
    {
        found->second.model_.note_sent(p_note.prefixes_, p_note.reading_,
                                       p_now);
    }
}

void placement::note_peer_running(
    const node_id& p_peer, const std::map<std::string, unsigned>& p_running)
{
    for (auto& [id, server] : servers_)
    {
        const auto found = p_running.find(id);
        if (found == p_running.end())
        {
            server.peers_running_.erase(p_peer);
            continue;
        }
        server.peers_running_[p_peer] = found->second;
    }
}

std::size_t placement::count(const routing::service_name& p_name) const
{
    const auto found = by_service_.find(p_name);
    if (found == by_service_.end())
    {
        return 0;
    }
    return static_cast<std::size_t>(
        std::count_if(found->second.begin(), found->second.end(),
                      [](const server_state* p_server)
                      { return !p_server->entry_.leaving_; }));
}

duration placement::reading_time(const work& p_work) const
{
    duration shortest = duration::max();
    const auto found = by_service_.find(p_work.service_);
    if (found == by_service_.end())
    {
        return duration::zero();
    }
    for (const server_state* server : found->second)
    {
        if (server->is_engine_)
        {
            shortest =
                std::min(shortest,
                         server->model_.reading_time(p_work, speed_of(p_work)));
        }
    }
    return shortest == duration::max() ? duration::zero() : shortest;
}

bool placement::knows(const std::string& p_server) const
{
    return servers_.contains(p_server);
}

std::map<std::string, unsigned> placement::running() const
{
    std::map<std::string, unsigned> running;
    for (const auto& [id, server] : servers_)
    {
        if (server.running_ > 0)
        {
            running[id] = server.running_;
        }
    }
    return running;
}

} // namespace peridotspar::dispatch
