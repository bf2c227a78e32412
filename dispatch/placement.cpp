#include "dispatch/placement.hpp"

#include <algorithm>
#include <iterator>
#include <limits>
#include <map>

#include <xxhash.h>

namespace peridotspar::dispatch
{

namespace
{

using namespace std::chrono_literals;

/// Bound of an engine's prefill backlog up to which a request below the highest
/// priority is sent, as a share of the shortest answer target. It is divided by
/// the distance from the highest priority. Other requests wait in this node's
/// queue, where more urgent ones can overtake them.
constexpr double backlog_target_share = 0.8;
/// Decode steps of the batch that add to the pause between two events during a
/// prefill.
constexpr duration decode_step_pause = 20ms;
/// Cost of a long prompt at an engine reserved for short prompts.
constexpr double short_engine_penalty_ms = 400;
/// Cost of each stream that the prefill is expected to make late.
constexpr double late_stream_penalty_ms = 80;
/// Cost of a stream with a tight pause target at an engine that takes long
/// prompts.
constexpr double long_prompt_engine_penalty_ms = 250;
/// Cost of fetching a thousand cached tokens from another engine.
constexpr double fetch_ms_per_1000_tokens = 4;
/// Cost of prefilling a thousand tokens again that another engine has cached or
/// is prefilling.
constexpr double duplicate_ms_per_1000_tokens = 40;
/// Fetching fewer tokens isn't worth its cost.
constexpr std::uint32_t min_fetch_tokens = 512;
/// Share of an engine's memory that running requests may use. Beyond it the
/// engine preempts some of them.
constexpr double usable_memory_share = 0.85;
/// Share of a prompt's shared parts that counts as memory use of each request,
/// because concurrent requests often use the same parts.
constexpr double shared_memory_share = 0.5;
/// With at most this many servers, all of them are candidates for each request.
constexpr std::size_t max_exhaustive_candidates = 20;
/// With more servers: the number of random candidates, of random candidates
/// from the engines for the other kind of prompt, and of candidates with most
/// of the prompt cached.
constexpr std::size_t random_candidates = 6;
constexpr std::size_t random_other_kind_candidates = 3;
constexpr std::size_t cached_candidates = 3;
/// Number of candidates with an open connection. A node of a large fleet sends
/// few requests, so it would hardly ever draw such a server.
constexpr std::size_t connected_candidates = 3;
/// Number of candidates in their slow start to which this node may send. Few
/// nodes may, and the server would be idle if they didn't consider it.
constexpr std::size_t paced_candidates = 2;
/// Number of servers that all nodes prefer for the same shared part.
constexpr std::size_t preferred_candidates = 2;
/// Probability that a preferred server has a part cached although this node has
/// no report of it.
constexpr double preferred_cached_probability = 0.5;
/// Cost of a server in another failure domain, where transfer is slower and
/// charged.
constexpr double other_domain_penalty_ms = 3;
/// Cost of opening a new connection, which takes server time.
constexpr double connection_penalty_ms = 10;
/// Cost of each request that runs at the server, because decode steps take
/// longer in a larger batch.
constexpr double running_request_penalty_ms = 1.0;
/// Weight of the engine time that the request takes from other requests.
constexpr double engine_time_weight = 1.0;
/// Weight of the time by which the answer is expected to miss its target.
constexpr double lateness_weight = 2.0;
/// Requests that are sent to a plain server per slot, as it queues a few
/// itself. A plain server is one that isn't an engine.
constexpr std::size_t plain_requests_per_slot = 2;
/// The slots of a brittle engine divided by this are left free for requests
/// that other nodes have sent and not reported yet.
constexpr unsigned brittle_spare_divisor = 10;
/// An engine with a shorter prefill backlog counts as idle.
constexpr duration max_idle_backlog = 10ms;
/// Service time of a plain server before it is known to be slower or faster.
constexpr duration plain_service_time = 40ms;
/// Share of a pause that a server asked for by which it is extended at most.
constexpr double max_pause_extension = 0.2;
/// Cost of an unhealthy server, so high that a healthy one is preferred.
constexpr double unhealthy_penalty_ms = 1e6;
/// Cost of a failed request, weighted by the server's share of failures: its
/// caller has to retry or gets no answer.
constexpr double failure_penalty_ms = 600;
/// Expected time until a server in its slow start can take a request of this
/// node. After as long without an answer it gets one of some node.
constexpr duration paced_wait = 1s;

/// The largest part of the prompt that other requests may share. The last part
/// belongs to this request alone.
routing::prompt_part largest_shared_part(const request_profile& p_request)
{
    routing::prompt_part largest;
    for (std::size_t i = 0; i + 1 < p_request.parts_.size(); ++i)
    {
        if (p_request.parts_[i].tokens_ > largest.tokens_)
        {
            largest = p_request.parts_[i];
        }
    }
    return largest;
}

/// Rendezvous hash of a part and a server. The servers with the highest weights
/// are preferred for the part.
std::uint64_t rendezvous_weight(const server_state& p_server,
                                const routing::prompt_part& p_part,
                                bool p_for_short_prompts)
{
    const std::string& id = p_server.entry_.instance_.id_;
    const std::uint64_t weight = XXH64(id.data(), id.size(), p_part.id_);
    // Engines for the other kind of prompt rank below all others.
    return p_server.for_short_prompts_ == p_for_short_prompts
               ? weight | 1ULL << 63U
               : weight >> 1U;
}

} // namespace

bool placement::is_suitable(const server_state& p_server,
                            const request_profile& p_request)
{
    return p_request.server_version_.empty() ||
           p_request.server_version_ == p_server.entry_.version_;
}

placement::placement(failure_domain_id p_own_domain, std::uint64_t p_seed)
    : own_domain_(std::move(p_own_domain)), random_(p_seed)
{
}

placement::cache_source
placement::find_cache_source(const request_profile& p_request,
                             time_point p_now) const
{
    cache_source best;
    if (p_request.parts_.empty())
    {
        return best;
    }
    for (const server_state* server : servers_.servers_of(p_request.service_))
    {
        if (!server->is_engine_ || server->health_.consecutive_failures() > 0)
        {
            continue;
        }
        best.available_tokens_ = std::max(
            best.available_tokens_, server->model_.cached_tokens(p_request));
        const std::uint32_t fetchable =
            server->model_.fetchable_tokens(p_request, p_now);
        if (fetchable > best.fetchable_tokens_)
        {
            best.server_ = server;
            best.fetchable_tokens_ = fetchable;
        }
    }
    return best;
}

placement::prefill_plan
placement::plan_prefill(const server_state& p_server,
                        const request_profile& p_request,
                        const cache_source& p_source) const
{
    prefill_plan plan;
    if (!p_server.is_engine_)
    {
        return plan;
    }
    const std::uint32_t cached = p_server.model_.cached_tokens(p_request);
    if (p_source.fetchable_tokens_ >= cached + min_fetch_tokens)
    {
        plan.fetched_tokens_ = p_source.fetchable_tokens_ - cached;
    }
    const std::uint32_t available = cached + plan.fetched_tokens_;
    plan.duplicated_tokens_ = p_source.available_tokens_ -
                              std::min(available, p_source.available_tokens_);
    plan.uncached_tokens_ =
        p_request.prompt_tokens_ - cached - plan.fetched_tokens_;
    plan.prefill_time_ = prefill_time(p_request, plan.uncached_tokens_,
                                      servers_.speed_of(p_request.service_));
    return plan;
}

duration placement::expected_answer_delay(const server_state& p_server,
                                          const prefill_plan& p_plan,
                                          time_point p_now) const
{
    if (!p_server.is_engine_)
    {
        // Only own requests count: plain requests end before peers' reports of
        // them arrive, and all nodes would follow an outdated report to the
        // same server.
        const double load = static_cast<double>(p_server.own_load_.requests_) /
                            std::max(1U, p_server.entry_.slots_);
        return from_seconds(to_seconds(plain_service_time) *
                            p_server.model_.slowdown(p_now) * (1 + load));
    }
    const prefill_speed speed = servers_.speed_of(p_server.entry_.service_);
    return from_seconds(speed.base_ms_ / 1000) + p_server.backlog(p_now) +
           from_seconds(p_server.model_.slowdown(p_now) *
                        to_seconds(p_plan.prefill_time_));
}

bool placement::is_long_prompt(const request_profile& p_request,
                               const prefill_plan& p_plan) const
{
    const auto* targets = servers_.targets(p_request.service_);
    if (targets == nullptr || targets->shortest_pause_ == duration::max())
    {
        return false;
    }
    return lateness_probability(stream_pause(p_request, p_plan),
                                targets->shortest_pause_) > 0;
}

duration placement::stream_pause(const request_profile& p_request,
                                 const prefill_plan& p_plan) const
{
    return prefill_pause(p_request, p_plan.uncached_tokens_,
                         servers_.speed_of(p_request.service_)) +
           decode_step_pause;
}

double placement::interference_ms(const server_state& p_server,
                                  const request_profile& p_request,
                                  const prefill_plan& p_plan) const
{
    if (!p_server.is_engine_)
    {
        return 0;
    }
    double cost = late_stream_penalty_ms * p_server.expected_late_streams(
                                               stream_pause(p_request, p_plan));
    if (p_server.for_short_prompts_ && is_long_prompt(p_request, p_plan))
    {
        cost += short_engine_penalty_ms;
    }
    if (!p_server.for_short_prompts_ && servers_.has_tightest_pause(p_request))
    {
        cost += long_prompt_engine_penalty_ms;
    }
    return cost;
}

double placement::answer_weight(const request_profile& p_request) const
{
    const auto* targets = servers_.targets(p_request.service_);
    if (targets == nullptr || targets->shortest_answer_ == duration::max() ||
        p_request.answer_target_ <= targets->shortest_answer_)
    {
        return 1;
    }
    return to_ms(targets->shortest_answer_) / to_ms(p_request.answer_target_);
}

double placement::cost_ms(const server_state& p_server,
                          const request_profile& p_request,
                          const prefill_plan& p_plan, time_point p_now) const
{
    const duration answer = expected_answer_delay(p_server, p_plan, p_now);
    double cost = answer_weight(p_request) * to_ms(answer);
    cost += lateness_weight *
            std::max(0.0, to_ms(answer) - to_ms(p_request.answer_target_));
    cost += running_request_penalty_ms * (p_server.is_engine_
                                              ? p_server.running_requests()
                                              : p_server.own_load_.requests_);
    cost += engine_time_weight * to_ms(p_plan.prefill_time_);
    cost += fetch_ms_per_1000_tokens * p_plan.fetched_tokens_ / 1000;
    cost += duplicate_ms_per_1000_tokens * p_plan.duplicated_tokens_ / 1000;
    cost += interference_ms(p_server, p_request, p_plan);
    if (p_server.entry_.domain_ != own_domain_)
    {
        cost += other_domain_penalty_ms;
    }
    if (is_connected_ && !is_connected_(p_server.entry_))
    {
        cost += connection_penalty_ms;
    }
    cost += failure_penalty_ms * p_server.health_.failure_share(p_now);
    if (!p_server.health_.is_healthy(p_now))
    {
        cost += unhealthy_penalty_ms;
    }
    return cost;
}

duration placement::backlog_limit(const request_profile& p_request) const
{
    const auto* targets = servers_.targets(p_request.service_);
    if (targets == nullptr || targets->shortest_answer_ == duration::max() ||
        p_request.priority_ <= targets->top_priority_)
    {
        return duration::max();
    }
    const unsigned distance = p_request.priority_ - targets->top_priority_;
    return from_seconds(backlog_target_share *
                        to_seconds(targets->shortest_answer_) / distance);
}

std::uint64_t
placement::required_memory_tokens(const request_profile& p_request)
{
    std::uint64_t shared = 0;
    for (const auto& part : p_request.parts_)
    {
        shared += part.tokens_;
    }
    // The last part isn't shared.
    shared -= p_request.parts_.empty() ? 0 : p_request.parts_.back().tokens_;
    shared = std::min<std::uint64_t>(shared, p_request.prompt_tokens_);
    const std::uint64_t own = p_request.prompt_tokens_ - shared;
    return own + p_request.output_tokens_ +
           static_cast<std::uint64_t>(shared_memory_share *
                                      static_cast<double>(shared));
}

std::size_t
placement::sharing_nodes(const routing::service_name& p_service) const
{
    const std::size_t lost =
        count_lost_nodes_ ? count_lost_nodes_(p_service) : 0;
    return std::max<std::size_t>(1, node_count_ - std::min(node_count_, lost));
}

unsigned placement::own_share(const server_state& p_server) const
{
    const std::size_t slots = p_server.entry_.slots_ * plain_requests_per_slot;
    const std::size_t nodes = sharing_nodes(p_server.entry_.service_);
    return static_cast<unsigned>(1 + (slots + nodes - 1) / nodes);
}

bool placement::has_capacity(const server_state& p_server,
                             const request_profile& p_request,
                             const prefill_plan& p_plan, time_point p_now) const
{
    if (!p_server.is_engine_)
    {
        return p_server.own_load_.requests_ < own_share(p_server);
    }
    if (p_server.running_requests() >= p_server.entry_.slots_)
    {
        return false;
    }
    const auto usable = static_cast<std::uint64_t>(
        usable_memory_share * static_cast<double>(p_server.memory_tokens_));
    if (p_server.running_requests() > 0 &&
        p_server.memory_tokens_in_use() + required_memory_tokens(p_request) >
            usable)
    {
        return false;
    }
    const bool delays_streams =
        p_server.for_short_prompts_ && is_long_prompt(p_request, p_plan) &&
        p_server.expected_late_streams(stream_pause(p_request, p_plan)) >= 1;
    if (delays_streams)
    {
        return false;
    }
    return p_server.backlog(p_now) <= backlog_limit(p_request);
}

std::vector<placement::candidate>
placement::find_candidates(const request_profile& p_request, time_point p_now)
{
    std::vector<const server_state*> all;
    const auto& servers = servers_.servers_of(p_request.service_);
    std::copy_if(servers.begin(), servers.end(), std::back_inserter(all),
                 [&](const server_state* p_server)
                 { return is_suitable(*p_server, p_request); });
    std::vector<candidate> found;
    if (all.size() <= max_exhaustive_candidates)
    {
        for (const server_state* server : all)
        {
            found.push_back({server, false});
        }
        return found;
    }
    // Nodes learn of each other's sends with a delay, so if all of them weighed
    // all servers, they would choose the same one. Preferred servers differ by
    // prompt.
    std::vector<const server_state*> shuffled = std::move(all);
    std::shuffle(shuffled.begin(), shuffled.end(), random_);
    const bool for_short_prompts = servers_.has_tightest_pause(p_request);
    std::stable_partition(
        shuffled.begin(), shuffled.end(),
        [for_short_prompts](const server_state* p_server)
        { return p_server->for_short_prompts_ == for_short_prompts; });
    const routing::prompt_part shared = largest_shared_part(p_request);
    auto remaining = shuffled.begin();
    const auto take_best =
        [&](std::size_t p_count, bool p_not_preferred, auto p_value)
    {
        const auto left = static_cast<std::size_t>(shuffled.end() - remaining);
        const auto end =
            remaining + static_cast<std::ptrdiff_t>(std::min(p_count, left));
        std::partial_sort(remaining, end, shuffled.end(),
                          [&](const auto* p_left, const auto* p_right)
                          { return p_value(*p_left) > p_value(*p_right); });
        for (; remaining != end; ++remaining)
        {
            found.push_back({*remaining, p_not_preferred});
        }
    };
    const bool has_preferred = shared.tokens_ >= min_fetch_tokens;
    if (has_preferred)
    {
        take_best(
            preferred_candidates, false,
            [&](const server_state& p_server)
            { return rendezvous_weight(p_server, shared, for_short_prompts); });
    }
    if (servers_.starts().pace().count() > 0)
    {
        take_paced(remaining, shuffled.end(), p_now, found);
    }
    const auto take_random = [&](std::size_t p_count)
    {
        for (std::size_t i = 0; i < p_count && remaining != shuffled.end();
             ++i, ++remaining)
        {
            found.push_back({*remaining, has_preferred});
        }
    };
    std::size_t connected = 0;
    for (auto it = remaining; it != shuffled.end(); ++it)
    {
        const bool taken = connected < connected_candidates &&
                           (*it)->for_short_prompts_ == for_short_prompts &&
                           is_connected_ && is_connected_((*it)->entry_);
        if (taken)
        {
            std::iter_swap(remaining, it);
            found.push_back({*remaining++, has_preferred});
            ++connected;
        }
    }
    take_random(random_candidates);
    // Engines for the other kind of prompt may have capacity when all those for
    // this kind are full.
    const auto others = std::find_if(
        remaining, shuffled.end(),
        [for_short_prompts](const server_state* p_server)
        { return p_server->for_short_prompts_ != for_short_prompts; });
    std::rotate(remaining, others, shuffled.end());
    take_random(random_other_kind_candidates);
    take_best(cached_candidates, has_preferred,
              [&](const server_state& p_server)
              { return p_server.model_.cached_tokens(p_request); });
    return found;
}

void placement::take_paced(server_iterator& r_begin, server_iterator p_end,
                           time_point p_now,
                           std::vector<candidate>& r_found) const
{
    std::size_t taken = 0;
    for (auto it = r_begin; it != p_end && taken < paced_candidates; ++it)
    {
        const std::string key = (*it)->entry_.instance_.key();
        if (servers_.starts().pace().is_paced(key, p_now) &&
            !is_held_back(**it, p_now))
        {
            std::iter_swap(r_begin, it);
            r_found.push_back({*r_begin++, false});
            ++taken;
        }
    }
}

std::optional<assignment>
placement::choose(const request_profile& p_request,
                  const std::set<std::string>& p_excluded, time_point p_now,
                  bool p_may_queue)
{
    const auto candidates = find_candidates(p_request, p_now);
    const cache_source source = find_cache_source(p_request, p_now);
    const server_state* best = nullptr;
    const double not_preferred_penalty_ms =
        duplicate_ms_per_1000_tokens * preferred_cached_probability *
        largest_shared_part(p_request).tokens_ / 1000;
    prefill_plan best_plan;
    double best_cost = std::numeric_limits<double>::max();
    // Servers without a permit, by their cost.
    std::multimap<double, const server_state*> limited;
    const std::size_t first = candidates.empty() ? 0 : random_();
    for (std::size_t i = 0; i < candidates.size(); ++i)
    {
        const auto& [weighed_server, not_preferred] =
            candidates[(first + i) % candidates.size()];
        const server_state& server = *weighed_server;
        const bool usable = !server.entry_.leaving_ &&
                            p_now >= server.paused_until_ &&
                            !p_excluded.contains(server.entry_.instance_.id_) &&
                            (server.health_.is_healthy(p_now) ||
                             server.health_.may_probe(p_now));
        if (!usable)
        {
            continue;
        }
        const prefill_plan plan = plan_prefill(server, p_request, source);
        if ((p_may_queue && !has_capacity(server, p_request, plan, p_now)) ||
            would_overload(server, p_now) || is_held_back(server, p_now))
        {
            continue;
        }
        const bool duplicates_prefill =
            not_preferred && plan.uncached_tokens_ > min_fetch_tokens &&
            server.model_.cached_tokens(p_request) == 0;
        const double cost = cost_ms(server, p_request, plan, p_now) +
                            (duplicates_prefill ? not_preferred_penalty_ms : 0);
        if (lacks_permit(server, p_now))
        {
            limited.emplace(cost, &server);
            continue;
        }
        if (cost < best_cost)
        {
            best = &server;
            best_plan = plan;
            best_cost = cost;
        }
    }
    for (const auto& [cost, server] : limited)
    {
        if (cost <= best_cost)
        {
            limits_.request_permit(server->entry_.instance_.key(),
                                   p_request.priority_, p_now);
        }
    }
    if (best == nullptr)
    {
        return std::nullopt;
    }
    assignment chosen;
    chosen.server_ = best->entry_;
    chosen.tokens_ = best->is_engine_ ? required_memory_tokens(p_request) : 0;
    chosen.stream_ = p_request.stream_;
    chosen.pause_target_ = p_request.pause_target_;
    chosen.prefill_time_ = best_plan.prefill_time_;
    chosen.was_idle_ = best->is_engine_ && best_plan.fetched_tokens_ == 0 &&
                       best->backlog(p_now) < max_idle_backlog;
    chosen.sent_at_ = p_now;
    chosen.expected_answer_at_ =
        p_now + expected_answer_delay(*best, best_plan, p_now);
    chosen.usual_answer_delay_ =
        usual_answer_delay(*best, chosen.expected_answer_at_ - p_now, p_now);
    if (best_plan.fetched_tokens_ > 0)
    {
        chosen.fetch_from_ = source.server_->entry_.address_;
    }
    return chosen;
}

duration placement::expected_wait(const request_profile& p_request,
                                  time_point p_now) const
{
    duration shortest = duration::max();
    const cache_source source = find_cache_source(p_request, p_now);
    for (const server_state* server : servers_.servers_of(p_request.service_))
    {
        if (!server->entry_.leaving_ && server->health_.is_healthy(p_now) &&
            is_suitable(*server, p_request))
        {
            const auto plan = plan_prefill(*server, p_request, source);
            const duration permit_wait =
                lacks_permit(*server, p_now)
                    ? limits_
                          .permit_interval(server->entry_.instance_.key(),
                                           p_now)
                          .value_or(duration{})
                    : duration{};
            const duration pause = std::max(
                brittle_.count() > 0
                    ? brittle_.pause(server->entry_.instance_.key(), p_now)
                    : duration{},
                server->paused_until_ - p_now);
            const duration paced =
                is_held_back(*server, p_now) ? paced_wait : duration{};
            shortest = std::min(
                shortest, std::max({permit_wait, pause, paced}) +
                              expected_answer_delay(*server, plan, p_now));
        }
    }
    return shortest;
}

bool placement::would_overload(const server_state& p_server,
                               time_point p_now) const
{
    if (brittle_.count() == 0)
    {
        return false;
    }
    const std::string key = p_server.entry_.instance_.key();
    if (!brittle_.is_brittle(key))
    {
        return false;
    }
    const unsigned slots = p_server.entry_.slots_;
    const bool is_full =
        p_server.is_engine_
            ? p_server.running_requests() + 1 + slots / brittle_spare_divisor >
                  slots
            : p_server.own_load_.requests_ >=
                  std::max<std::size_t>(
                      1, slots / sharing_nodes(p_server.entry_.service_));
    return is_full ||
           !brittle_.may_send(key, p_server.own_load_.requests_, p_now);
}

bool placement::lacks_permit(const server_state& p_server,
                             time_point p_now) const
{
    // Limits are rare, and a key is made for each check.
    return limits_.count() > 0 &&
           !limits_.may_send(p_server.entry_.instance_.key(), p_now);
}

bool placement::is_held_back(const server_state& p_server,
                             time_point p_now) const
{
    const server_pace& pace = servers_.starts().pace();
    return pace.count() > 0 &&
           !pace.may_send(p_server.entry_.instance_.key(),
                          p_server.own_load_.requests_, p_now,
                          p_server.peer_loads_.total().requests_);
}

std::optional<duration>
placement::usual_answer_delay(const server_state& p_server, duration p_expected,
                              time_point p_now) const
{
    const server_pace& pace = servers_.starts().pace();
    if (pace.count() == 0 ||
        !pace.is_paced(p_server.entry_.instance_.key(), p_now))
    {
        return std::nullopt;
    }
    // The server's own slowdown is learned from the answers to be judged.
    std::vector<double> others;
    for (const server_state* other :
         servers_.servers_of(p_server.entry_.service_))
    {
        if (other != &p_server)
        {
            others.push_back(other->model_.slowdown(p_now));
        }
    }
    if (others.empty())
    {
        return p_expected;
    }
    const auto median =
        others.begin() + static_cast<std::ptrdiff_t>(others.size() / 2);
    std::nth_element(others.begin(), median, others.end());
    return from_seconds(to_seconds(p_expected) * *median /
                        p_server.model_.slowdown(p_now));
}

void placement::record_pause(const std::string& p_server, duration p_time,
                             time_point p_now)
{
    std::uniform_real_distribution<double> share(0, max_pause_extension);
    servers_.record_pause(
        p_server,
        p_now + p_time + from_seconds(share(random_) * to_seconds(p_time)));
}

bool placement::has_candidate(const request_profile& p_request,
                              const std::set<std::string>& p_excluded) const
{
    const auto& all = servers_.servers_of(p_request.service_);
    return std::any_of(all.begin(), all.end(),
                       [&](const server_state* p_server)
                       {
                           return !p_server->entry_.leaving_ &&
                                  is_suitable(*p_server, p_request) &&
                                  !p_excluded.contains(
                                      p_server->entry_.instance_.id_);
                       });
}

std::size_t
placement::available_servers(const routing::service_name& p_name) const
{
    const auto& all = servers_.servers_of(p_name);
    return static_cast<std::size_t>(
        std::count_if(all.begin(), all.end(),
                      [](const server_state* p_server)
                      { return !p_server->entry_.leaving_; }));
}

duration placement::min_prefill_time(const request_profile& p_request,
                                     time_point p_now) const
{
    const cache_source source = find_cache_source(p_request, p_now);
    return prefill_time(p_request,
                        p_request.prompt_tokens_ - source.available_tokens_,
                        servers_.speed_of(p_request.service_));
}

} // namespace peridotspar::dispatch
