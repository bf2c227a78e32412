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

/// What a peer runs is forgotten after so long without a word of it: servers
/// drop requests whose caller is gone.
constexpr duration word_of_peer = std::chrono::seconds(4);

std::uint64_t rank_of(const server_state* p_server)
{
    const std::string& id = p_server->entry_.instance_.id_;
    return XXH64(id.data(), id.size(), 0);
}

} // namespace

unsigned server_state::running() const
{
    return own_.all_ + peers_.total().all_;
}

std::uint64_t server_state::tokens() const
{
    return own_.tokens_ + peers_.total().tokens_;
}

duration server_state::backlog(time_point p_now) const
{
    const duration all = own_.unread_ + peers_.unread(own_.unread_, p_now);
    return from_seconds(model_.slowness(p_now) * to_seconds(all));
}

double server_state::disturbed_by(duration p_pause) const
{
    return own_.disturbed_by(p_pause) + peers_.total().disturbed_by(p_pause);
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

reading_speed server_table::speed(const routing::service_name& p_service) const
{
    const auto found = speeds_.find(p_service);
    return found == speeds_.end() ? reading_speed{} : found->second.speed();
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
    const time_point read_at =
        p_now + server->backlog(p_now) + p_placed.reading_;
    server->own_.add(p_placed.stream_, p_placed.pause_target_,
                     p_placed.tokens_);
    server->own_.unread_ += p_placed.reading_;
    if (!server->health_.is_trusted(p_now))
    {
        server->health_.note_probe(p_now);
    }
    server->model_.note_sent(p_work.parts_, read_at);
}

void server_table::note_first_answer(const work& p_work, placed& r_placed,
                                     time_point p_now)
{
    r_placed.answered_ = true;
    server_state* server = find(r_placed.server_.instance_.id_);
    if (server == nullptr)
    {
        return;
    }
    server->own_.note_read(r_placed.reading_);
    server->health_.note_success(p_now);
    if (r_placed.at_rest_)
    {
        speeds_[server->entry_.service_].note(r_placed.reading_,
                                              p_now - r_placed.sent_at_);
    }
    server->model_.note_read(p_work.parts_, r_placed.sent_at_,
                             r_placed.answer_at_, p_now);
}

void server_table::note_end(const placed& p_placed, send_result p_result,
                            time_point p_now)
{
    server_state* server = find(p_placed.server_.instance_.id_);
    if (server == nullptr)
    {
        return;
    }
    if (!p_placed.answered_)
    {
        server->own_.note_read(p_placed.reading_);
    }
    server->own_.remove(p_placed.stream_, p_placed.pause_target_,
                        p_placed.tokens_);
    if (p_result == send_result::failed)
    {
        server->health_.note_failure(p_now);
    }
    if (p_result == send_result::absent)
    {
        server->health_.note_absence(p_now);
    }
    if (p_result == send_result::answered)
    {
        server->health_.note_success(p_now);
    }
}

void server_table::note_peer_sent(const node_id& p_peer,
                                  const sent_note& p_note, time_point p_now)
{
    server_state* server = find(p_note.server_);
    if (server == nullptr)
    {
        return;
    }
    const duration backlog = server->backlog(p_now);
    server->model_.note_sent(p_note.parts_, p_now + backlog + p_note.reading_);
    server->peers_.add(p_peer, p_note.pause_target_, p_note.tokens_,
                       p_note.reading_, p_now);
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
                                     const server_counts& p_running,
                                     time_point p_now)
{
    for (auto& [id, server] : servers_)
    {
        const auto found = p_running.find(id);
        if (found == p_running.end())
        {
            server.peers_.erase(p_peer);
            continue;
        }
        server.peers_.set(p_peer, found->second, p_now);
    }
}

void server_table::forget_silent_peers(time_point p_now)
{
    for (auto& [id, server] : servers_)
    {
        server.peers_.forget_before(p_now - word_of_peer);
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
