#include "dispatch/server_table.hpp"

#include <algorithm>
#include <cmath>

#include <xxhash.h>

namespace peridotspar::dispatch
{

namespace
{

/// Part of a service's engines that are kept for short prompts.
constexpr double short_part = 0.22;

/// How much slower an engine is at such moments, and how often that is.
constexpr double slowed_by = 2.5;
constexpr double slowed_chance = 0.2;

std::uint64_t rank_of(const server_state* p_server)
{
    const std::string& id = p_server->entry_.instance_.id_;
    return XXH64(id.data(), id.size(), 0);
}

} // namespace

void running_count::add(bool p_stream, duration p_pause, std::uint64_t p_tokens)
{
    tokens_ += p_tokens;
    ++all_;
    if (p_stream)
    {
        ++streams_[p_pause];
    }
}

void running_count::remove(bool p_stream, duration p_pause,
                           std::uint64_t p_tokens)
{
    tokens_ -= std::min(tokens_, p_tokens);
    all_ -= std::min(all_, 1U);
    const auto found = streams_.find(p_pause);
    if (p_stream && found != streams_.end() && --found->second == 0)
    {
        streams_.erase(found);
    }
}

double chance_of_lateness(duration p_pause, duration p_longest)
{
    if (p_pause > p_longest)
    {
        return 1;
    }
    const bool late_when_slowed = to_ms(p_pause) * slowed_by > to_ms(p_longest);
    return late_when_slowed ? slowed_chance : 0;
}

double running_count::disturbed_by(duration p_pause) const
{
    double disturbed = 0;
    for (const auto& [longest, count] : streams_)
    {
        disturbed += count * chance_of_lateness(p_pause, longest);
    }
    return disturbed;
}

unsigned server_state::running() const
{
    unsigned total = own_.all_;
    for (const auto& [peer, count] : peers_)
    {
        total += count.all_;
    }
    return total;
}

std::uint64_t server_state::tokens() const
{
    std::uint64_t total = own_.tokens_;
    for (const auto& [peer, count] : peers_)
    {
        total += count.tokens_;
    }
    return total;
}

double server_state::disturbed_by(duration p_pause) const
{
    double total = own_.disturbed_by(p_pause);
    for (const auto& [peer, count] : peers_)
    {
        total += count.disturbed_by(p_pause);
    }
    return total;
}

void server_table::set(const routing::server_list::entries& p_servers,
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
        auto& state = servers_
                          .try_emplace(id, server_state{entry,
                                                        is_engine,
                                                        memory,
                                                        engine_model(memory),
                                                        {},
                                                        {},
                                                        {},
                                                        false})
                          .first->second;
        state.entry_ = entry;
        state.is_engine_ = is_engine;
        by_service_[entry.service_].push_back(&state);
    }
    learn_targets(p_table);
    choose_short_engines();
}

void server_table::learn_targets(const routing::route_table& p_table)
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
                    targets.answer_ =
                        std::min(targets.answer_, p_route.answer_target_);
                }
                if (p_route.stream_ && p_route.pause_target_ > duration::zero())
                {
                    targets.pause_ =
                        std::min(targets.pause_, p_route.pause_target_);
                }
            }
        });
}

void server_table::choose_short_engines()
{
    for (auto& [service, servers] : by_service_)
    {
        // All nodes know the same ids, and so choose the same engines.
        std::vector<server_state*> ranked = servers;
        std::sort(ranked.begin(), ranked.end(),
                  [](const server_state* p_left, const server_state* p_right)
                  { return rank_of(p_left) < rank_of(p_right); });
        const long wanted =
            std::lround(short_part * static_cast<double>(ranked.size()));
        long chosen = 0;
        for (server_state* server : ranked)
        {
            server->for_short_ = server->is_engine_ &&
                                 !server->entry_.leaving_ && chosen < wanted;
            chosen += server->for_short_ ? 1 : 0;
        }
    }
}

const std::vector<server_state*>&
server_table::of(const routing::service_name& p_service) const
{
    static const std::vector<server_state*> none;
    const auto found = by_service_.find(p_service);
    return found == by_service_.end() ? none : found->second;
}

const service_targets*
server_table::targets(const routing::service_name& p_service) const
{
    const auto found = targets_.find(p_service);
    return found == targets_.end() ? nullptr : &found->second;
}

bool server_table::is_tight(const work& p_work) const
{
    const auto* targets = this->targets(p_work.service_);
    return targets != nullptr && p_work.stream_ &&
           p_work.pause_target_ <= targets->pause_;
}

server_state* server_table::find(const std::string& p_id)
{
    const auto found = servers_.find(p_id);
    return found == servers_.end() ? nullptr : &found->second;
}

void server_table::note_sent(const work& p_work, const placed& p_placed,
                             time_point p_now)
{
    server_state* server = find(p_placed.server_.instance_.id_);
    if (server == nullptr)
    {
        return;
    }
    server->own_.add(p_placed.stream_, p_placed.pause_target_,
                     p_placed.tokens_);
    if (!server->health_.is_trusted(p_now))
    {
        server->health_.note_probe(p_now);
    }
    server->model_.note_sent(p_work.parts_, p_placed.reading_, p_now);
}

void server_table::note_first_answer(const work& p_work, const placed& p_placed,
                                     time_point p_now)
{
    server_state* server = find(p_placed.server_.instance_.id_);
    if (server == nullptr)
    {
        return;
    }
    server->health_.note_success();
    server->model_.note_read(p_work.parts_, p_placed.sent_at_,
                             p_placed.answer_at_, p_now);
}

void server_table::note_end(const placed& p_placed, send_result p_result,
                            time_point p_now)
{
    server_state* server = find(p_placed.server_.instance_.id_);
    if (server == nullptr)
    {
        return;
    }
    server->own_.remove(p_placed.stream_, p_placed.pause_target_,
                        p_placed.tokens_);
    if (p_result == send_result::failed)
    {
        server->health_.note_failure(p_now);
    }
    if (p_result == send_result::answered)
    {
        server->health_.note_success();
    }
}

void server_table::note_peer_sent(const sent_note& p_note, time_point p_now)
{
    if (server_state* server = find(p_note.server_))
    {
        server->model_.note_sent(p_note.parts_, p_note.reading_, p_now);
    }
}

void server_table::note_kept(const std::string& p_server,
                             const std::vector<routing::kept_part>& p_parts,
                             time_point p_now)
{
    server_state* server = find(p_server);
    if (server == nullptr)
    {
        return;
    }
    for (const auto& [part, model] : p_parts)
    {
        server->model_.note_kept({part_key(part.id_, model), part.tokens_},
                                 p_now);
    }
}

bool server_table::is_engine(const std::string& p_server) const
{
    const auto found = servers_.find(p_server);
    return found != servers_.end() && found->second.is_engine_;
}

void server_table::note_peer_running(const node_id& p_peer,
                                     const server_counts& p_running)
{
    for (auto& [id, server] : servers_)
    {
        const auto found = p_running.find(id);
        if (found == p_running.end())
        {
            server.peers_.erase(p_peer);
            continue;
        }
        server.peers_[p_peer] = found->second;
    }
}

server_counts server_table::running() const
{
    server_counts running;
    for (const auto& [id, server] : servers_)
    {
        if (server.own_.all_ > 0)
        {
            running[id] = server.own_;
        }
    }
    return running;
}

} // namespace peridotspar::dispatch
