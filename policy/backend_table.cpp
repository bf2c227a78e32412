#include "policy/backend_table.hpp"

#include <algorithm>
#include <numeric>
#include <unordered_map>

namespace peridotspar::policy
{

namespace
{

constexpr duration history_length = std::chrono::seconds(5);

unsigned sum_of(const tier_counts& p_counts)
{
    return std::accumulate(p_counts.begin(), p_counts.end(), 0U);
}

} // namespace

void backend_table::configure(const catalogue& p_catalogue)
{
    std::unordered_map<std::string, entry> before;
    for (auto& known : entries_)
    {
        before.emplace(known.name_, std::move(known));
    }
    entries_.clear();
    for (const auto& backend : p_catalogue.backends_)
    {
        entry next;
        if (const auto found = before.find(backend.name_);
            found != before.end())
        {
            next = std::move(found->second);
        }
        next.name_ = backend.name_;
        next.slots_ = backend.slots_;
        next.accepts_new_ = backend.accepts_new_;
        // Peers' counts are by position and come again with their next digest.
        next.peers_.clear();
        entries_.push_back(std::move(next));
    }
    pools_.assign(p_catalogue.pools_.size(), {});
    peers_.clear();
}

void backend_table::record_own(entry& r_entry, time_point p_now)
{
    r_entry.own_history_.emplace_back(p_now, r_entry.own_total_);
    while (r_entry.own_history_.size() > 1 &&
           p_now - r_entry.own_history_.front().first > history_length)
    {
        r_entry.own_history_.pop_front();
    }
}

void backend_table::note_started(backend_index p_backend, tier p_tier,
                                 bool p_long, time_point p_now)
{
    entry& known = entries_[p_backend.value()];
    ++known.own_[p_tier.value()];
    ++known.own_total_;
    known.own_long_ += p_long ? 1 : 0;
    record_own(known, p_now);
}

void backend_table::note_stopped(backend_index p_backend, tier p_tier,
                                 bool p_long, time_point p_now)
{
    entry& known = entries_[p_backend.value()];
    --known.own_[p_tier.value()];
    --known.own_total_;
    known.own_long_ -= p_long ? 1 : 0;
    record_own(known, p_now);
}

std::vector<backend_use> backend_table::uses() const
{
    std::vector<backend_use> list;
    for (std::uint32_t i = 0; i < entries_.size(); ++i)
    {
        if (entries_[i].own_total_ > 0)
        {
            list.push_back(
                {backend_index(i), entries_[i].own_, entries_[i].own_long_});
        }
    }
    return list;
}

void backend_table::note_report(const load_reported& p_report)
{
    entry& known = entries_[p_report.backend_.value()];
    if (known.reported_ && p_report.observed_at_ < known.report_.observed_at_)
    {
        return;
    }
    known.report_ = p_report;
    known.reported_ = true;
}

void backend_table::note_digest(const digest& p_digest, time_point p_now)
{
    for (auto& known : entries_)
    {
        known.peers_.erase(p_digest.from_);
    }
    for (const auto& use : p_digest.uses_)
    {
        if (use.backend_.value() < entries_.size())
        {
            entries_[use.backend_.value()].peers_[p_digest.from_] = {
                use.running_, use.long_running_, p_now};
        }
    }
    peer_wait& waits = peers_[p_digest.from_];
    waits.heard_ = p_now;
    waits.waiting_.clear();
    for (const auto& demand : p_digest.demands_)
    {
        waits.waiting_[demand.pool_] = demand.waiting_;
    }
    for (const backend_index slow : p_digest.slow_)
    {
        if (slow.value() < entries_.size())
        {
            entries_[slow.value()].slow_at_peer_until_ =
                p_now + tuning_.digest_lifetime_;
        }
    }
}

bool backend_table::is_use_fresh(time_point p_heard, time_point p_now) const
{
    return p_now - p_heard < tuning_.backend_use_lifetime_;
}

bool backend_table::is_fresh(time_point p_heard, time_point p_now) const
{
    return p_now - p_heard < tuning_.digest_lifetime_;
}

std::optional<node_id> backend_table::peer_with_lower(backend_index p_backend,
                                                      tier p_above,
                                                      time_point p_now)
{
    for (auto& [node, use] : entries_[p_backend.value()].peers_)
    {
        if (!is_use_fresh(use.heard_, p_now))
        {
            continue;
        }
        for (std::size_t below = tier_count - 1; below > p_above.value();
             --below)
        {
            if (use.running_[below] > 0)
            {
                // Counted as gone, so that it isn't asked for twice before
                // the next digest tells what became of it.
                --use.running_[below];
                return node;
            }
        }
    }
    return std::nullopt;
}

bool backend_table::has_peer_with_lower(backend_index p_backend, tier p_above,
                                        time_point p_now) const
{
    for (const auto& [node, use] : entries_[p_backend.value()].peers_)
    {
        for (std::size_t below = p_above.value() + 1U;
             is_use_fresh(use.heard_, p_now) && below < tier_count; ++below)
        {
            if (use.running_[below] > 0)
            {
                return true;
            }
        }
    }
    return false;
}

bool backend_table::peers_wait(pool_index p_pool, tier p_lowest,
                               time_point p_now) const
{
    for (const auto& [node, waits] : peers_)
    {
        const auto found = waits.waiting_.find(p_pool);
        if (found == waits.waiting_.end() || !is_fresh(waits.heard_, p_now))
        {
            continue;
        }
        for (std::size_t i = 0; i <= p_lowest.value(); ++i)
        {
            if (found->second[i] > 0)
            {
                return true;
            }
        }
    }
    return false;
}

std::vector<std::pair<node_id, double>>
backend_table::peer_demands(pool_index p_pool,
                            const std::vector<backend_index>& p_subset,
                            time_point p_now) const
{
    std::map<node_id, double> sums;
    for (const auto& [node, waits] : peers_)
    {
        const auto found = waits.waiting_.find(p_pool);
        if (found != waits.waiting_.end() && is_fresh(waits.heard_, p_now))
        {
            sums[node] += sum_of(found->second);
        }
    }
    for (const backend_index member : p_subset)
    {
        for (const auto& [node, use] : entries_[member.value()].peers_)
        {
            if (is_use_fresh(use.heard_, p_now))
            {
                sums[node] += sum_of(use.running_);
            }
        }
    }
    return {sums.begin(), sums.end()};
}

unsigned backend_table::own_long(backend_index p_backend) const
{
    return entries_[p_backend.value()].own_long_;
}

unsigned backend_table::peers_demand(pool_index p_pool, tier p_lowest,
                                     time_point p_now) const
{
    unsigned sum = 0;
    for (const auto& [node, waits] : peers_)
    {
        const auto found = waits.waiting_.find(p_pool);
        if (found == waits.waiting_.end() || !is_fresh(waits.heard_, p_now))
        {
            continue;
        }
        for (std::size_t i = 0; i <= p_lowest.value(); ++i)
        {
            sum += found->second[i];
        }
    }
    return sum;
}

bool backend_table::was_heard(backend_index p_backend, time_point p_since) const
{
    return entries_[p_backend.value()].last_output_ > p_since;
}

void backend_table::note_refused_connection(backend_index p_backend,
                                            time_point p_now)
{
    entries_[p_backend.value()].down_until_ = p_now + tuning_.down_retry_delay_;
}

void backend_table::set_accepts_new(backend_index p_backend, bool p_accepts)
{
    if (p_backend.value() < entries_.size())
    {
        entries_[p_backend.value()].accepts_new_ = p_accepts;
    }
}

double backend_table::others(const entry& p_entry, time_point p_now) const
{
    std::size_t fresh_peers = 0;
    for (const auto& [node, waits] : peers_)
    {
        fresh_peers += is_fresh(waits.heard_, p_now) ? 1 : 0;
    }
    if (fresh_peers >= live_peers_ || !p_entry.reported_)
    {
        unsigned sum = 0;
        for (const auto& [node, use] : p_entry.peers_)
        {
            sum += is_use_fresh(use.heard_, p_now) ? sum_of(use.running_) : 0;
        }
        return sum;
    }
    // The report holds this node's own work of that time as well.
    unsigned own_then = 0;
    for (const auto& [when, count] : p_entry.own_history_)
    {
        if (when <= p_entry.report_.observed_at_)
        {
            own_then = count;
        }
    }
    const unsigned reported =
        p_entry.report_.running_ + p_entry.report_.waiting_;
    return reported > own_then ? reported - own_then : 0;
}

double backend_table::load(backend_index p_backend, time_point p_now) const
{
    const entry& known = entries_[p_backend.value()];
    return known.own_total_ + others(known, p_now);
}

unsigned backend_table::long_work(backend_index p_backend,
                                  time_point p_now) const
{
    const entry& known = entries_[p_backend.value()];
    unsigned sum = known.own_long_;
    for (const auto& [node, use] : known.peers_)
    {
        sum += is_use_fresh(use.heard_, p_now) ? use.long_ : 0;
    }
    return sum;
}

std::uint32_t backend_table::slots(backend_index p_backend) const
{
    return entries_[p_backend.value()].slots_;
}

bool backend_table::takes_work(backend_index p_backend, time_point p_now) const
{
    const entry& known = entries_[p_backend.value()];
    if (!known.accepts_new_ || p_now < known.down_until_)
    {
        return false;
    }
    return !known.slow_ || p_now >= known.next_probe_;
}

bool backend_table::accepts_new(backend_index p_backend) const
{
    return entries_[p_backend.value()].accepts_new_;
}

unsigned backend_table::own(backend_index p_backend) const
{
    return entries_[p_backend.value()].own_total_;
}

} // namespace peridotspar::policy
