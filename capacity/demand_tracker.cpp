#include "capacity/demand_tracker.hpp"

#include <algorithm>

namespace peridotspar::capacity
{

namespace
{

using namespace std::chrono_literals;

/// Rates are taken over this time, so that a burst shows within a second or
/// two and single long prompts don't.
constexpr duration rate_window = 2s;
/// Nodes report once a second; a silent one no longer counts after this time.
constexpr duration max_silence = 5s;
/// Parts that haven't been used for so long give way in the engines' caches.
constexpr duration max_part_age = 20s;
/// Bounds the memory; more parts aren't recorded.
constexpr std::size_t max_parts = 50'000;

} // namespace

void demand_tracker::record(const std::string& p_node, const std::string& p_run,
                            const demand_by_service& p_demand, time_point p_now)
{
    node_state& node = nodes_[p_node];
    if (node.run_ != p_run)
    {
        node = {};
        node.run_ = p_run;
    }
    node.reported_at_ = p_now;
    for (auto& [name, service] : node.services_)
    {
        service.streams_ = 0;
    }
    for (const auto& [name, demand] : p_demand)
    {
        service_state& service = node.services_[name];
        service.streams_ = demand.streams_;
        auto& samples = service.samples_;
        if (!samples.empty() && demand.prefill_ < samples.back().prefill_)
        {
            continue; // An older report that arrived late.
        }
        samples.push_back({p_now, demand.prefill_});
        while (samples.size() > 2 && p_now - samples[1].at_ >= rate_window)
        {
            samples.pop_front();
        }
    }
}

fleet_demand demand_tracker::total(const std::string& p_service,
                                   time_point p_now) const
{
    fleet_demand sum;
    for (const auto& [name, node] : nodes_)
    {
        const duration age = p_now - node.reported_at_;
        if (age > max_silence)
        {
            continue;
        }
        ++sum.reporting_nodes_;
        sum.oldest_report_age_ = std::max(sum.oldest_report_age_, age);
        const auto found = node.services_.find(p_service);
        if (found == node.services_.end())
        {
            continue;
        }
        const service_state& service = found->second;
        sum.streams_ += service.streams_;
        if (service.samples_.size() < 2)
        {
            continue;
        }
        const duration asked = service.samples_.back().prefill_ -
                               service.samples_.front().prefill_;
        const duration time = std::max<duration>(
            rate_window, p_now - service.samples_.front().at_);
        sum.prefill_ms_per_s_ += to_ms(asked) / to_seconds(time);
    }
    return sum;
}

void demand_tracker::expire(time_point p_now)
{
    std::erase_if(nodes_, [p_now](const auto& p_item)
                  { return p_now - p_item.second.reported_at_ > max_silence; });
}

void working_set::record(std::uint64_t p_part, std::uint32_t p_tokens,
                         time_point p_now)
{
    const auto found = parts_.find(p_part);
    if (found == parts_.end())
    {
        if (parts_.size() < max_parts)
        {
            parts_[p_part] = {p_tokens, p_now, false};
        }
        return;
    }
    part& known = found->second;
    known.used_at_ = p_now;
    if (!known.reused_)
    {
        known.reused_ = true;
        tokens_ += known.tokens_;
    }
}

void working_set::expire(time_point p_now)
{
    for (auto it = parts_.begin(); it != parts_.end();)
    {
        if (p_now - it->second.used_at_ <= max_part_age)
        {
            ++it;
            continue;
        }
        tokens_ -= it->second.reused_ ? it->second.tokens_ : 0;
        it = parts_.erase(it);
    }
}

} // namespace peridotspar::capacity
