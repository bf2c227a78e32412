#include "policy/backend_table.hpp"

#include <algorithm>
#include <numeric>
#include <unordered_map>

namespace peridotspar::policy
{

namespace
{

/// Must cover the delay of the engines' load reports.
constexpr duration own_history_duration = std::chrono::seconds(5);

unsigned sum_of(const tier_counts& p_counts)
{
    return std::accumulate(p_counts.begin(), p_counts.end(), 0U);
}

} // namespace

void backend_table::configure(const catalogue& p_catalogue)
{
    std::unordered_map<std::string, backend_state> previous;
    for (auto& state : backends_)
    {
        previous.emplace(state.name_, std::move(state));
    }
    backends_.clear();
    for (const auto& backend : p_catalogue.backends_)
    {
        backend_state updated;
        if (const auto found = previous.find(backend.name_);
            found != previous.end())
        {
            updated = std::move(found->second);
        }
        updated.name_ = backend.name_;
        updated.slots_ = backend.slots_;
        updated.accepts_new_ = backend.accepts_new_;
        // Peers' counts refer to positions in the old catalogue. The next
        // digest of each peer brings them again.
        updated.peers_.clear();
        backends_.push_back(std::move(updated));
    }
    pools_.assign(p_catalogue.pools_.size(), {});
    peers_.clear();
}

void backend_table::record_own_load(backend_state& r_state, time_point p_now)
{
    r_state.own_history_.emplace_back(p_now, r_state.own_count_);
    while (r_state.own_history_.size() > 1 &&
           p_now - r_state.own_history_.front().first > own_history_duration)
    {
        r_state.own_history_.pop_front();
    }
}

void backend_table::record_start(backend_index p_backend, tier p_tier,
                                 bool p_long, time_point p_now)
{
    backend_state& state = backends_[p_backend.value()];
    ++state.own_by_tier_[p_tier.value()];
    ++state.own_count_;
    state.own_long_count_ += p_long ? 1 : 0;
    record_own_load(state, p_now);
}

void backend_table::record_stop(backend_index p_backend, tier p_tier,
                                bool p_long, time_point p_now)
{
    backend_state& state = backends_[p_backend.value()];
    --state.own_by_tier_[p_tier.value()];
    --state.own_count_;
    state.own_long_count_ -= p_long ? 1 : 0;
    record_own_load(state, p_now);
}

std::vector<backend_use> backend_table::own_usage() const
{
    std::vector<backend_use> list;
    for (std::uint32_t i = 0; i < backends_.size(); ++i)
    {
        if (backends_[i].own_count_ > 0)
        {
            list.push_back({backend_index(i), backends_[i].own_by_tier_,
                            backends_[i].own_long_count_});
        }
    }
    return list;
}

void backend_table::record_load_report(const load_reported& p_report)
{
    backend_state& state = backends_[p_report.backend_.value()];
    if (state.has_report_ && p_report.observed_at_ < state.report_.observed_at_)
    {
        return;
    }
    state.report_ = p_report;
    state.has_report_ = true;
}

void backend_table::record_digest(const digest& p_digest, time_point p_now)
{
    for (auto& state : backends_)
    {
        state.peers_.erase(p_digest.from_);
    }
    for (const auto& usage : p_digest.uses_)
    {
        if (usage.backend_.value() < backends_.size())
        {
            backends_[usage.backend_.value()].peers_[p_digest.from_] = {
                usage.running_, usage.long_running_, p_now};
        }
    }
    peer_queue& queue = peers_[p_digest.from_];
    queue.received_at_ = p_now;
    queue.waiting_.clear();
    for (const auto& demand : p_digest.demands_)
    {
        queue.waiting_[demand.pool_] = demand.waiting_;
    }
    for (const backend_index slow : p_digest.slow_)
    {
        if (slow.value() < backends_.size())
        {
            backends_[slow.value()].slow_at_peer_until_ =
                p_now + tuning_.digest_lifetime_;
        }
    }
}

bool backend_table::is_usage_fresh(time_point p_received_at,
                                   time_point p_now) const
{
    return p_now - p_received_at < tuning_.backend_use_lifetime_;
}

bool backend_table::is_digest_fresh(time_point p_received_at,
                                    time_point p_now) const
{
    return p_now - p_received_at < tuning_.digest_lifetime_;
}

std::optional<node_id>
backend_table::claim_preemptible_peer(backend_index p_backend,
                                      tier p_requester_tier, time_point p_now)
{
    for (auto& [node, usage] : backends_[p_backend.value()].peers_)
    {
        if (!is_usage_fresh(usage.received_at_, p_now))
        {
            continue;
        }
        for (std::size_t below = tier_count - 1;
             below > p_requester_tier.value(); --below)
        {
            if (usage.running_[below] > 0)
            {
                // Deducted now, so that the same request isn't claimed again
                // before the peer's next digest shows whether it was preempted.
                --usage.running_[below];
                return node;
            }
        }
    }
    return std::nullopt;
}

bool backend_table::has_preemptible_peer(backend_index p_backend,
                                         tier p_requester_tier,
                                         time_point p_now) const
{
    for (const auto& [node, usage] : backends_[p_backend.value()].peers_)
    {
        for (std::size_t below = p_requester_tier.value() + 1U;
             is_usage_fresh(usage.received_at_, p_now) && below < tier_count;
             ++below)
        {
            if (usage.running_[below] > 0)
            {
                return true;
            }
        }
    }
    return false;
}

bool backend_table::has_waiting_peer(pool_index p_pool, tier p_lowest_tier,
                                     time_point p_now) const
{
    for (const auto& [node, queue] : peers_)
    {
        const auto found = queue.waiting_.find(p_pool);
        if (found == queue.waiting_.end() ||
            !is_digest_fresh(queue.received_at_, p_now))
        {
            continue;
        }
        for (std::size_t i = 0; i <= p_lowest_tier.value(); ++i)
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
    for (const auto& [node, queue] : peers_)
    {
        const auto found = queue.waiting_.find(p_pool);
        if (found != queue.waiting_.end() &&
            is_digest_fresh(queue.received_at_, p_now))
        {
            sums[node] += sum_of(found->second);
        }
    }
    for (const backend_index member : p_subset)
    {
        for (const auto& [node, usage] : backends_[member.value()].peers_)
        {
            if (is_usage_fresh(usage.received_at_, p_now))
            {
                sums[node] += sum_of(usage.running_);
            }
        }
    }
    return {sums.begin(), sums.end()};
}

unsigned backend_table::own_long_count(backend_index p_backend) const
{
    return backends_[p_backend.value()].own_long_count_;
}

unsigned backend_table::peer_waiting_count(pool_index p_pool,
                                           tier p_lowest_tier,
                                           time_point p_now) const
{
    unsigned sum = 0;
    for (const auto& [node, queue] : peers_)
    {
        const auto found = queue.waiting_.find(p_pool);
        if (found == queue.waiting_.end() ||
            !is_digest_fresh(queue.received_at_, p_now))
        {
            continue;
        }
        for (std::size_t i = 0; i <= p_lowest_tier.value(); ++i)
        {
            sum += found->second[i];
        }
    }
    return sum;
}

bool backend_table::had_output_since(backend_index p_backend,
                                     time_point p_since) const
{
    return backends_[p_backend.value()].last_output_ > p_since;
}

void backend_table::record_connection_refused(backend_index p_backend,
                                              time_point p_now)
{
    backends_[p_backend.value()].down_until_ =
        p_now + tuning_.down_retry_delay_;
}

void backend_table::set_accepts_new(backend_index p_backend, bool p_accepts)
{
    if (p_backend.value() < backends_.size())
    {
        backends_[p_backend.value()].accepts_new_ = p_accepts;
    }
}

double backend_table::peer_load(const backend_state& p_state,
                                time_point p_now) const
{
    std::size_t fresh_peers = 0;
    for (const auto& [node, queue] : peers_)
    {
        fresh_peers += is_digest_fresh(queue.received_at_, p_now) ? 1 : 0;
    }
    if (fresh_peers >= live_peer_count_ || !p_state.has_report_)
    {
        unsigned sum = 0;
        for (const auto& [node, usage] : p_state.peers_)
        {
            sum += is_usage_fresh(usage.received_at_, p_now)
                       ? sum_of(usage.running_)
                       : 0;
        }
        return sum;
    }
    // The report includes the requests that this node had running then.
    unsigned own_at_report = 0;
    for (const auto& [when, count] : p_state.own_history_)
    {
        if (when <= p_state.report_.observed_at_)
        {
            own_at_report = count;
        }
    }
    const unsigned reported =
        p_state.report_.running_ + p_state.report_.waiting_;
    return reported > own_at_report ? reported - own_at_report : 0;
}

double backend_table::load(backend_index p_backend, time_point p_now) const
{
    const backend_state& state = backends_[p_backend.value()];
    return state.own_count_ + peer_load(state, p_now);
}

unsigned backend_table::long_count(backend_index p_backend,
                                   time_point p_now) const
{
    const backend_state& state = backends_[p_backend.value()];
    unsigned sum = state.own_long_count_;
    for (const auto& [node, usage] : state.peers_)
    {
        sum +=
            is_usage_fresh(usage.received_at_, p_now) ? usage.long_count_ : 0;
    }
    return sum;
}

std::uint32_t backend_table::slots(backend_index p_backend) const
{
    return backends_[p_backend.value()].slots_;
}

bool backend_table::is_available(backend_index p_backend,
                                 time_point p_now) const
{
    const backend_state& state = backends_[p_backend.value()];
    if (!state.accepts_new_ || p_now < state.down_until_)
    {
        return false;
    }
    return !state.slow_ || p_now >= state.next_probe_;
}

bool backend_table::accepts_new(backend_index p_backend) const
{
    return backends_[p_backend.value()].accepts_new_;
}

unsigned backend_table::own_count(backend_index p_backend) const
{
    return backends_[p_backend.value()].own_count_;
}

} // namespace peridotspar::policy
