#include "dispatch/server_pace.hpp"

#include <algorithm>
#include <bit>
#include <limits>
#include <utility>

#include <xxhash.h>

namespace peridotspar::dispatch
{

namespace
{

using namespace std::chrono_literals;

constexpr double initial_level = 2;
/// Pacing ends after this time whatever the answers are, because a server that
/// stays slow is handled by its cost and its health.
constexpr duration max_pacing_time = 10s;
/// If no answer came for this long, further nodes may send a request.
constexpr duration max_silence = 1s;
/// The first number of such nodes at a server where no request is known to run.
/// It doubles at this interval, which is the time in which most nodes learn of
/// a request that was sent: with fewer nodes the first ones may all be without
/// a request to send.
constexpr std::size_t initial_extra_nodes = 2;
constexpr duration extra_nodes_interval = 400ms;
constexpr unsigned max_extra_doublings = 16;
/// A node that doesn't ask for this long has no requests for the server.
constexpr duration refusal_lifetime = 2s;
/// Peers whose pacing ends later still need this node's counts.
constexpr duration report_time_after_end = 1s;
/// Bounds of what is kept and sent.
constexpr std::size_t max_servers = 4096;
constexpr std::size_t max_peers = 1024;
constexpr std::size_t max_reports = 32;

std::uint64_t weight_of(const std::string& p_server, const std::string& p_node)
{
    return XXH64(p_node.data(), p_node.size(),
                 XXH64(p_server.data(), p_server.size(), 0));
}

} // namespace

void server_pace::set_self(std::string p_address)
{
    self_ = std::move(p_address);
    update_ranks();
}

void server_pace::set_nodes(std::vector<std::string> p_addresses)
{
    std::sort(p_addresses.begin(), p_addresses.end());
    if (p_addresses == nodes_)
    {
        return;
    }
    nodes_ = std::move(p_addresses);
    update_ranks();
}

void server_pace::update_ranks()
{
    for (auto& [key, known] : paces_)
    {
        known.rank_ = rank(key);
    }
}

bool server_pace::is_active(const pace& p_pace, time_point p_now)
{
    return p_pace.slots_ > 0 && !p_pace.end_ &&
           p_now - p_pace.began_at_ < max_pacing_time;
}

unsigned server_pace::level_of(const pace& p_pace)
{
    return std::bit_floor(static_cast<unsigned>(
        std::clamp(p_pace.credit_, 1.0, 1.0 * p_pace.slots_)));
}

void server_pace::begin(const std::string& p_server_key, unsigned p_slots,
                        pace_cause p_cause, time_point p_now)
{
    if (p_slots <= initial_level ||
        (paces_.size() >= max_servers && !paces_.contains(p_server_key)))
    {
        return;
    }
    pace& begun = paces_[p_server_key];
    if (is_active(begun, p_now))
    {
        return;
    }
    const bool is_first = begun.slots_ == 0;
    const bool was_counted = !is_first && !begun.end_;
    active_ += was_counted ? 0 : 1;
    begun.slots_ = p_slots;
    begun.cause_ = p_cause;
    begun.began_at_ = p_now;
    begun.end_.reset();
    begun.credit_ = initial_level;
    begun.total_ = {};
    begun.answered_at_ = p_now;
    begun.has_changed_ = true;
    begun.refused_since_.reset();
    begun.rank_ = rank(p_server_key);
    if (!is_first)
    {
        return;
    }
    // Peers that began earlier have reported answers.
    const auto peers = begun.peers_;
    for (const auto& [peer, reported] : peers)
    {
        apply(begun, reported, p_now);
    }
}

void server_pace::cancel(const std::string& p_server_key, time_point p_now)
{
    const auto found = paces_.find(p_server_key);
    if (found != paces_.end() && is_active(found->second, p_now))
    {
        end(found->second, pace_end::cancelled, p_now);
    }
}

void server_pace::end(pace& r_pace, pace_end p_end, time_point p_now)
{
    r_pace.end_ = p_end;
    r_pace.ended_at_ = p_now;
    r_pace.has_changed_ = true;
    --active_;
}

void server_pace::apply(pace& r_pace, const counts& p_new, time_point p_now)
{
    if (!is_active(r_pace, p_now) || p_new.good_ + p_new.bad_ == 0)
    {
        return;
    }
    r_pace.answered_at_ = p_now;
    r_pace.total_.good_ += p_new.good_;
    r_pace.total_.bad_ += p_new.bad_;
    // Good answers come first, as the lower level is the safe one.
    r_pace.credit_ += p_new.good_;
    for (std::uint32_t i = 0; i < p_new.bad_ && r_pace.credit_ > 1; ++i)
    {
        r_pace.credit_ = std::max(1.0, r_pace.credit_ / 2);
    }
    if (r_pace.credit_ >= r_pace.slots_)
    {
        end(r_pace, pace_end::full_level, p_now);
    }
}

void server_pace::record_answer(const std::string& p_server_key, bool p_good,
                                time_point p_now)
{
    const auto found = paces_.find(p_server_key);
    if (found == paces_.end() || !is_active(found->second, p_now))
    {
        return;
    }
    pace& paced = found->second;
    ++(p_good ? paced.own_.good_ : paced.own_.bad_);
    paced.is_unsent_ = true;
    has_news_ = true;
    apply(paced, {p_good ? 1U : 0U, p_good ? 0U : 1U}, p_now);
}

void server_pace::record_peer(const std::string& p_peer,
                              const pace_report& p_report, time_point p_now)
{
    if (p_peer == self_ || (paces_.size() >= max_servers &&
                            !paces_.contains(p_report.server_key_)))
    {
        return;
    }
    pace& known = paces_[p_report.server_key_];
    if (known.peers_.size() >= max_peers && !known.peers_.contains(p_peer))
    {
        return;
    }
    counts& before = known.peers_[p_peer];
    if (p_report.good_ < before.good_ || p_report.bad_ < before.bad_)
    {
        return;
    }
    const counts added{p_report.good_ - before.good_,
                       p_report.bad_ - before.bad_};
    before = {p_report.good_, p_report.bad_};
    apply(known, added, p_now);
}

std::vector<pace_report> server_pace::take_reports(time_point p_now)
{
    std::vector<pace*> due;
    std::vector<pace_report> reports;
    // The order of two passes: changed counts, then repeated ones.
    for (const bool is_unsent : {true, false})
    {
        for (auto& [key, known] : paces_)
        {
            const bool is_kept =
                is_active(known, p_now) ||
                p_now - known.ended_at_ < report_time_after_end;
            const bool is_due = known.slots_ > 0 &&
                                known.own_.good_ + known.own_.bad_ > 0 &&
                                known.is_unsent_ == is_unsent && is_kept;
            if (is_due && reports.size() < max_reports)
            {
                reports.push_back({key, known.own_.good_, known.own_.bad_});
                due.push_back(&known);
            }
        }
    }
    for (pace* sent : due)
    {
        sent->is_unsent_ = false;
    }
    return reports;
}

bool server_pace::take_news()
{
    return std::exchange(has_news_, false);
}

std::vector<pace_status> server_pace::take_changes(time_point p_now)
{
    std::vector<pace_status> changes;
    for (auto& [key, known] : paces_)
    {
        const bool is_over =
            known.slots_ > 0 && !known.end_ && !is_active(known, p_now);
        if (is_over)
        {
            end(known, pace_end::time_limit, p_now);
        }
        if (std::exchange(known.has_changed_, false))
        {
            changes.push_back({key, known.cause_, known.end_, level_of(known),
                               known.total_.good_, known.total_.bad_});
        }
    }
    return changes;
}

std::size_t server_pace::rank(const std::string& p_server_key) const
{
    const auto own = std::pair(weight_of(p_server_key, self_), self_);
    return static_cast<std::size_t>(std::count_if(
        nodes_.begin(), nodes_.end(),
        [&](const std::string& p_node)
        { return std::pair(weight_of(p_server_key, p_node), p_node) > own; }));
}

std::size_t server_pace::extra_nodes(const pace& p_pace, bool p_is_idle,
                                     time_point p_now)
{
    if (!p_pace.refused_since_)
    {
        return 0;
    }
    // Nodes that all get their first requests after a quiet time must not all
    // count the time before as silence.
    const duration silence =
        p_now - std::max(p_pace.answered_at_, *p_pace.refused_since_);
    if (silence < max_silence)
    {
        return 0;
    }
    // At a busy server one more request suffices. It may be that all that run
    // there never end.
    if (!p_is_idle)
    {
        return 1;
    }
    const auto doublings = (silence - max_silence) / extra_nodes_interval;
    return initial_extra_nodes << std::min<std::uint64_t>(
               static_cast<std::uint64_t>(doublings), max_extra_doublings);
}

bool server_pace::may_send(const std::string& p_server_key, unsigned p_own,
                           time_point p_now, unsigned p_peers) const
{
    const auto found = paces_.find(p_server_key);
    if (found == paces_.end() || !is_active(found->second, p_now))
    {
        return true;
    }
    const pace& paced = found->second;
    const std::size_t nodes = std::max<std::size_t>(1, nodes_.size());
    const std::size_t level = level_of(paced);
    const std::size_t share =
        level / nodes + (paced.rank_ < level % nodes ? 1 : 0);
    if (p_own < share)
    {
        paced.refused_since_.reset();
        return true;
    }
    if (!paced.refused_since_ || p_now - paced.refused_at_ > refusal_lifetime)
    {
        paced.refused_since_ = p_now;
    }
    paced.refused_at_ = p_now;
    const bool is_idle = p_own + p_peers == 0;
    const std::size_t extra = extra_nodes(paced, is_idle, p_now);
    const std::size_t extra_rank =
        (paced.rank_ + nodes - level % nodes) % nodes;
    return extra_rank < extra && p_own < share + 1;
}

unsigned server_pace::level(const std::string& p_server_key,
                            time_point p_now) const
{
    const auto found = paces_.find(p_server_key);
    if (found == paces_.end() || found->second.slots_ == 0)
    {
        return std::numeric_limits<unsigned>::max();
    }
    return is_active(found->second, p_now) ? level_of(found->second)
                                           : found->second.slots_;
}

bool server_pace::is_paced(const std::string& p_server_key,
                           time_point p_now) const
{
    const auto found = paces_.find(p_server_key);
    return found != paces_.end() && is_active(found->second, p_now);
}

void server_pace::forget_absent(const std::set<std::string>& p_server_keys)
{
    std::erase_if(paces_,
                  [&](const auto& p_item)
                  {
                      if (p_server_keys.contains(p_item.first))
                      {
                          return false;
                      }
                      const bool is_counted =
                          p_item.second.slots_ > 0 && !p_item.second.end_;
                      active_ -= is_counted ? 1 : 0;
                      return true;
                  });
}

} // namespace peridotspar::dispatch
