#include "dispatch/placement.hpp"

#include <algorithm>
#include <limits>

#include <xxhash.h>

namespace peridotspar::dispatch
{

namespace
{

using namespace std::chrono_literals;

/// Prompts that may wait at an engine when work of a lower priority is added,
/// as a part of the shortest target, divided by its distance from the highest
/// priority; the rest waits here, where more urgent work passes it.
constexpr double backlog_part = 0.8;
/// Steps of the batch that fall between two events beside the reading.
constexpr duration steps_between_events = 20ms;
/// Added for a long prompt at an engine that is kept for short ones.
constexpr double short_engine_ms = 400;
/// Added for a long prompt for each stream that it would make late.
constexpr double disturbed_stream_ms = 80;
/// Added for a stream with short pauses where long prompts are read.
constexpr double disturbing_engine_ms = 250;
/// Added for a thousand tokens that are fetched from another engine.
constexpr double fetch_ms_per_k = 4;
/// Added for a thousand tokens that another engine has read or reads now.
constexpr double repeat_ms_per_k = 40;
/// Less than that isn't worth fetching.
constexpr std::uint32_t least_fetch = 512;
/// Part of an engine's memory that running requests may fill: beyond it the
/// engine preempts some of them.
constexpr double usable_memory = 0.85;
/// Part of the shared parts that counts for each request that runs, as those
/// beside it often use the same.
constexpr double shared_part = 0.5;
/// Up to so many servers are all weighed for each request.
constexpr std::size_t weighed_whole = 20;
/// Of more, so many that are drawn, and so many that keep most of the prompt.
constexpr std::size_t drawn_of_many = 6;
constexpr std::size_t drawn_of_others = 3;
constexpr std::size_t keepers_weighed = 3;
/// Servers to which all nodes send a shared part first.
constexpr std::size_t homes_weighed = 2;
/// Chance that one of them keeps a part of which this node hasn't heard.
constexpr double likely_kept = 0.5;
/// Added for another failure domain, where bytes cost and take longer.
constexpr double other_domain_ms = 3;
/// Added where a connection must be opened, which costs the server time.
constexpr double connection_ms = 10;
/// Added for each request that runs, as steps grow with the batch.
constexpr double running_ms = 1.0;
/// Weight of an engine's time that a request takes from the others.
constexpr double engine_time_weight = 1.0;
/// Weight of the time beyond the target.
constexpr double lateness_weight = 2.0;
/// Requests at a plain server for each of its places, as it queues a few.
constexpr std::size_t plain_queue = 2;
/// An engine with less than that to read counts as at rest.
constexpr duration rest_backlog = 10ms;
/// A plain server's time for a request, where nothing else is known.
constexpr duration plain_service_time = 40ms;
constexpr double distrust_ms = 1e6;
/// Cost of a request that fails: its caller asks again or goes without.
constexpr double failure_ms = 600;

/// The largest part of the prompt that others may share; the last one is the
/// request's own.
routing::prompt_part largest_shared_part(const work& p_work)
{
    routing::prompt_part largest;
    for (std::size_t i = 0; i + 1 < p_work.parts_.size(); ++i)
    {
        if (p_work.parts_[i].tokens_ > largest.tokens_)
        {
            largest = p_work.parts_[i];
        }
    }
    return largest;
}

/// Rendezvous weight of a part at a server; the highest ones are its homes.
std::uint64_t home_weight(const server_state& p_server,
                          const routing::prompt_part& p_part, bool p_tight)
{
    const std::string& id = p_server.entry_.instance_.id_;
    const std::uint64_t weight = XXH64(id.data(), id.size(), p_part.id_);
    // Engines for the other kind of prompt come after all others.
    return p_server.for_short_ == p_tight ? weight | 1ULL << 63U : weight >> 1U;
}

} // namespace

placement::placement(failure_domain_id p_own_domain, std::uint64_t p_seed)
    : own_domain_(std::move(p_own_domain)), random_(p_seed)
{
}

placement::best_keeper placement::find_keeper(const work& p_work,
                                              time_point p_now) const
{
    best_keeper best;
    if (p_work.parts_.empty())
    {
        return best;
    }
    for (const server_state* server : servers_.of(p_work.service_))
    {
        if (!server->is_engine_ || server->health_.failures() > 0)
        {
            continue;
        }
        best.coming_ =
            std::max(best.coming_, server->model_.kept_tokens(p_work));
        const std::uint32_t ready = server->model_.ready_tokens(p_work, p_now);
        if (ready > best.ready_)
        {
            best.server_ = server;
            best.ready_ = ready;
        }
    }
    return best;
}

placement::reading_plan
placement::plan_reading(const server_state& p_server, const work& p_work,
                        const best_keeper& p_keeper) const
{
    reading_plan plan;
    if (!p_server.is_engine_)
    {
        return plan;
    }
    const std::uint32_t kept = p_server.model_.kept_tokens(p_work);
    if (p_keeper.ready_ >= kept + least_fetch)
    {
        plan.fetched_ = p_keeper.ready_ - kept;
    }
    const std::uint32_t at_hand = kept + plan.fetched_;
    plan.repeated_ = p_keeper.coming_ - std::min(at_hand, p_keeper.coming_);
    plan.missing_ = p_work.prompt_tokens_ - kept - plan.fetched_;
    plan.time_ =
        reading_time(p_work, plan.missing_, servers_.speed(p_work.service_));
    return plan;
}

duration placement::answer_time(const server_state& p_server,
                                const reading_plan& p_plan,
                                time_point p_now) const
{
    if (!p_server.is_engine_)
    {
        // Peers' words are older than such requests last: they tell nothing
        // of now, and all nodes would follow them to the same server.
        const double load = static_cast<double>(p_server.own_.all_) /
                            std::max(1U, p_server.entry_.slots_);
        return from_seconds(to_seconds(plain_service_time) *
                            p_server.model_.slowness(p_now) * (1 + load));
    }
    const reading_speed speed = servers_.speed(p_server.entry_.service_);
    return from_seconds(speed.base_ms_ / 1000) + p_server.backlog(p_now) +
           from_seconds(p_server.model_.slowness(p_now) *
                        to_seconds(p_plan.time_));
}

bool placement::is_long(const work& p_work, const reading_plan& p_plan) const
{
    const auto* targets = servers_.targets(p_work.service_);
    if (targets == nullptr || targets->pause_ == duration::max())
    {
        return false;
    }
    return chance_of_lateness(pause_of(p_work, p_plan), targets->pause_) > 0;
}

duration placement::pause_of(const work& p_work,
                             const reading_plan& p_plan) const
{
    return reading_pause(p_work, p_plan.missing_,
                         servers_.speed(p_work.service_)) +
           steps_between_events;
}

double placement::interference_ms(const server_state& p_server,
                                  const work& p_work,
                                  const reading_plan& p_plan) const
{
    if (!p_server.is_engine_)
    {
        return 0;
    }
    double cost =
        disturbed_stream_ms * p_server.disturbed_by(pause_of(p_work, p_plan));
    if (p_server.for_short_ && is_long(p_work, p_plan))
    {
        cost += short_engine_ms;
    }
    if (!p_server.for_short_ && servers_.is_tight(p_work))
    {
        cost += disturbing_engine_ms;
    }
    return cost;
}

double placement::answer_weight(const work& p_work) const
{
    const auto* targets = servers_.targets(p_work.service_);
    if (targets == nullptr || targets->answer_ == duration::max() ||
        p_work.target_ <= targets->answer_)
    {
        return 1;
    }
    return to_ms(targets->answer_) / to_ms(p_work.target_);
}

double placement::cost_ms(const server_state& p_server, const work& p_work,
                          const reading_plan& p_plan, time_point p_now) const
{
    const duration answer = answer_time(p_server, p_plan, p_now);
    double cost = answer_weight(p_work) * to_ms(answer);
    cost +=
        lateness_weight * std::max(0.0, to_ms(answer) - to_ms(p_work.target_));
    cost += running_ms *
            (p_server.is_engine_ ? p_server.running() : p_server.own_.all_);
    cost += engine_time_weight * to_ms(p_plan.time_);
    cost += fetch_ms_per_k * p_plan.fetched_ / 1000;
    cost += repeat_ms_per_k * p_plan.repeated_ / 1000;
    cost += interference_ms(p_server, p_work, p_plan);
    if (p_server.entry_.domain_ != own_domain_)
    {
        cost += other_domain_ms;
    }
    if (is_connected_ && !is_connected_(p_server.entry_))
    {
        cost += connection_ms;
    }
    cost += failure_ms * p_server.health_.failure_share(p_now);
    if (!p_server.health_.is_trusted(p_now))
    {
        cost += distrust_ms;
    }
    return cost;
}

duration placement::backlog_limit(const work& p_work) const
{
    const auto* targets = servers_.targets(p_work.service_);
    if (targets == nullptr || targets->answer_ == duration::max() ||
        p_work.priority_ <= targets->top_priority_)
    {
        return duration::max();
    }
    const unsigned distance = p_work.priority_ - targets->top_priority_;
    return from_seconds(backlog_part * to_seconds(targets->answer_) / distance);
}

std::uint64_t placement::memory_need(const work& p_work)
{
    std::uint64_t shared = 0;
    for (const auto& part : p_work.parts_)
    {
        shared += part.tokens_;
    }
    // The last part is the request's own.
    shared -= p_work.parts_.empty() ? 0 : p_work.parts_.back().tokens_;
    shared = std::min<std::uint64_t>(shared, p_work.prompt_tokens_);
    const std::uint64_t own = p_work.prompt_tokens_ - shared;
    return own + p_work.output_tokens_ +
           static_cast<std::uint64_t>(shared_part *
                                      static_cast<double>(shared));
}

unsigned placement::own_part(const server_state& p_server) const
{
    const std::size_t places = p_server.entry_.slots_ * plain_queue;
    const std::size_t nodes = std::max<std::size_t>(1, nodes_);
    return static_cast<unsigned>(1 + (places + nodes - 1) / nodes);
}

bool placement::has_room(const server_state& p_server, const work& p_work,
                         const reading_plan& p_plan, time_point p_now) const
{
    if (!p_server.is_engine_)
    {
        return p_server.own_.all_ < own_part(p_server);
    }
    if (p_server.running() >= p_server.entry_.slots_)
    {
        return false;
    }
    const auto usable = static_cast<std::uint64_t>(
        usable_memory * static_cast<double>(p_server.memory_tokens_));
    if (p_server.running() > 0 &&
        p_server.tokens() + memory_need(p_work) > usable)
    {
        return false;
    }
    const bool disturbs = p_server.for_short_ && is_long(p_work, p_plan) &&
                          p_server.disturbed_by(pause_of(p_work, p_plan)) >= 1;
    if (disturbs)
    {
        return false;
    }
    return p_server.backlog(p_now) <= backlog_limit(p_work);
}

std::vector<placement::candidate> placement::find_candidates(const work& p_work)
{
    const auto& all = servers_.of(p_work.service_);
    std::vector<candidate> found;
    if (all.size() <= weighed_whole)
    {
        for (const server_state* server : all)
        {
            found.push_back({server, false});
        }
        return found;
    }
    // Nodes hear of each other's sends late: were all to weigh all servers,
    // they would choose the same one. Different prompts have different homes.
    std::vector<const server_state*> drawn(all.begin(), all.end());
    std::shuffle(drawn.begin(), drawn.end(), random_);
    const bool tight = servers_.is_tight(p_work);
    std::stable_partition(drawn.begin(), drawn.end(),
                          [tight](const server_state* p_server)
                          { return p_server->for_short_ == tight; });
    const routing::prompt_part shared = largest_shared_part(p_work);
    auto rest = drawn.begin();
    const auto take_best = [&](std::size_t p_count, bool p_away, auto p_value)
    {
        const auto left = static_cast<std::size_t>(drawn.end() - rest);
        const auto end =
            rest + static_cast<std::ptrdiff_t>(std::min(p_count, left));
        std::partial_sort(rest, end, drawn.end(),
                          [&](const auto* p_left, const auto* p_right)
                          { return p_value(*p_left) > p_value(*p_right); });
        for (; rest != end; ++rest)
        {
            found.push_back({*rest, p_away});
        }
    };
    const bool has_home = shared.tokens_ >= least_fetch;
    if (has_home)
    {
        take_best(homes_weighed, false,
                  [&](const server_state& p_server)
                  { return home_weight(p_server, shared, tight); });
    }
    const auto draw = [&](std::size_t p_count)
    {
        for (std::size_t i = 0; i < p_count && rest != drawn.end(); ++i, ++rest)
        {
            found.push_back({*rest, has_home});
        }
    };
    draw(drawn_of_many);
    // Those of the other kind have room where all of its own are full.
    const auto others = std::find_if(rest, drawn.end(),
                                     [tight](const server_state* p_server)
                                     { return p_server->for_short_ != tight; });
    std::rotate(rest, others, drawn.end());
    draw(drawn_of_others);
    take_best(keepers_weighed, has_home,
              [&](const server_state& p_server)
              { return p_server.model_.kept_tokens(p_work); });
    return found;
}

std::optional<placed> placement::choose(const work& p_work,
                                        const std::set<std::string>& p_excluded,
                                        time_point p_now, bool p_may_wait)
{
    const auto candidates = find_candidates(p_work);
    const best_keeper keeper = find_keeper(p_work, p_now);
    const server_state* best = nullptr;
    const double away_ms = repeat_ms_per_k * likely_kept *
                           largest_shared_part(p_work).tokens_ / 1000;
    reading_plan best_plan;
    double best_cost = std::numeric_limits<double>::max();
    const std::size_t first = candidates.empty() ? 0 : random_();
    for (std::size_t i = 0; i < candidates.size(); ++i)
    {
        const auto& [weighed, away] =
            candidates[(first + i) % candidates.size()];
        const server_state& server = *weighed;
        const bool usable = !server.entry_.leaving_ &&
                            !p_excluded.contains(server.entry_.instance_.id_) &&
                            (server.health_.is_trusted(p_now) ||
                             server.health_.may_probe(p_now));
        if (!usable)
        {
            continue;
        }
        const reading_plan plan = plan_reading(server, p_work, keeper);
        if (p_may_wait && !has_room(server, p_work, plan, p_now))
        {
            continue;
        }
        const bool repeats = away && plan.missing_ > least_fetch &&
                             server.model_.kept_tokens(p_work) == 0;
        const double cost =
            cost_ms(server, p_work, plan, p_now) + (repeats ? away_ms : 0);
        if (cost < best_cost)
        {
            best = &server;
            best_plan = plan;
            best_cost = cost;
        }
    }
    if (best == nullptr)
    {
        return std::nullopt;
    }
    placed chosen;
    chosen.server_ = best->entry_;
    chosen.tokens_ = best->is_engine_ ? memory_need(p_work) : 0;
    chosen.stream_ = p_work.stream_;
    chosen.pause_target_ = p_work.pause_target_;
    chosen.reading_ = best_plan.time_;
    chosen.at_rest_ = best->is_engine_ && best_plan.fetched_ == 0 &&
                      best->backlog(p_now) < rest_backlog;
    chosen.sent_at_ = p_now;
    chosen.answer_at_ = p_now + answer_time(*best, best_plan, p_now);
    if (best_plan.fetched_ > 0)
    {
        chosen.fetch_from_ = keeper.server_->entry_.address_;
    }
    return chosen;
}

duration placement::expected_wait(const work& p_work, time_point p_now) const
{
    duration shortest = duration::max();
    const best_keeper keeper = find_keeper(p_work, p_now);
    for (const server_state* server : servers_.of(p_work.service_))
    {
        if (!server->entry_.leaving_ && server->health_.is_trusted(p_now))
        {
            const auto plan = plan_reading(*server, p_work, keeper);
            shortest = std::min(shortest, answer_time(*server, plan, p_now));
        }
    }
    return shortest;
}

std::size_t placement::count(const routing::service_name& p_name) const
{
    const auto& all = servers_.of(p_name);
    return static_cast<std::size_t>(
        std::count_if(all.begin(), all.end(),
                      [](const server_state* p_server)
                      { return !p_server->entry_.leaving_; }));
}

duration placement::least_reading(const work& p_work, time_point p_now) const
{
    const best_keeper keeper = find_keeper(p_work, p_now);
    return reading_time(p_work, p_work.prompt_tokens_ - keeper.coming_,
                        servers_.speed(p_work.service_));
}

} // namespace peridotspar::dispatch
