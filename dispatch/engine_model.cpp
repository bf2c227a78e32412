#include "dispatch/engine_model.hpp"

#include <algorithm>

namespace peridotspar::dispatch
{

namespace
{

/// Part of an engine's memory that cached parts are counted on to have; the
/// running requests use the rest.
constexpr double cache_share = 0.7;
/// Part of a prompt's delay that is taken as the delay of those behind it.
constexpr double delay_share = 0.5;

} // namespace

engine_model::engine_model(std::uint64_t p_memory_tokens)
    : memory_tokens_(static_cast<std::uint64_t>(
          static_cast<double>(p_memory_tokens) * cache_share))
{
}

std::uint32_t engine_model::missing_tokens(const work& p_work) const
{
    std::uint32_t cached = 0;
    for (const auto& prefix : p_work.prefixes_)
    {
        if (!kept_.contains(prefix.id_))
        {
            break;
        }
        cached += prefix.tokens_;
    }
    return p_work.prompt_tokens_ - std::min(cached, p_work.prompt_tokens_);
}

duration engine_model::reading_time(const work& p_work,
                                    const reading_speed& p_speed) const
{
    constexpr double million = 1e6;
    const double missing = missing_tokens(p_work);
    const double pairs = missing * p_work.prompt_tokens_ / million;
    const double milliseconds =
        missing * p_speed.ms_per_token_ + pairs * p_speed.ms_per_million_pairs_;
    return from_seconds(milliseconds / 1000);
}

duration engine_model::backlog(time_point p_now) const
{
    return std::max(duration::zero(), read_until_ - p_now);
}

void engine_model::note_sent(
    const std::vector<routing::prompt_part>& p_prefixes, duration p_reading,
    time_point p_now)
{
    read_until_ = std::max(read_until_, p_now) + p_reading;
    for (const auto& prefix : p_prefixes)
    {
        keep(prefix);
    }
}

void engine_model::keep(const routing::prompt_part& p_prefix)
{
    if (const auto known = kept_.find(p_prefix.id_); known != kept_.end())
    {
        recent_.splice(recent_.begin(), recent_, known->second);
        return;
    }
    recent_.push_front({p_prefix.id_, p_prefix.tokens_});
    kept_[p_prefix.id_] = recent_.begin();
    kept_tokens_ += p_prefix.tokens_;
    while (kept_tokens_ > memory_tokens_ && !recent_.empty())
    {
        kept_tokens_ -= recent_.back().tokens_;
        kept_.erase(recent_.back().hash_);
        recent_.pop_back();
    }
}

void engine_model::note_read(time_point p_expected, time_point p_now)
{
    const duration late = p_now - p_expected;
    const auto shift = static_cast<duration::rep>(
        static_cast<double>(late.count()) * delay_share);
    if (read_until_ > p_now)
    {
        read_until_ = std::max(p_now, read_until_ + duration(shift));
    }
}

void engine_model::clear_backlog(time_point p_now)
{
    read_until_ = std::min(read_until_, p_now);
}

} // namespace peridotspar::dispatch
