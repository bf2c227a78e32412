#include "dispatch/engine_model.hpp"

#include <algorithm>
#include <cmath>

namespace peridotspar::dispatch
{

namespace
{

/// Part of an engine's memory that cached parts are counted on to have; the
/// running requests use the rest.
constexpr double cache_share = 0.7;
/// Weight of the latest answer in what is learnt of an engine's speed. The
/// mean is geometric: one late answer is often another node's doing.
constexpr double learning_rate = 0.1;
/// Engines are slowed for some seconds; after so long an old word counts for
/// a third.
constexpr duration slowness_passes = std::chrono::seconds(5);
constexpr double least_slowness = 0.5;
constexpr double most_slowness = 6;
/// Added to the expected end of reading before others may fetch the parts.
constexpr duration ready_margin = std::chrono::milliseconds(50);

/// Engines read a prompt in chunks of so many tokens between the steps of the
/// streams beside it.
constexpr std::uint32_t chunk_tokens = 4096;
/// Steps, and so chunks, that may fall between two events of a stream.
constexpr std::uint32_t chunks_between_events = 2;
constexpr double million = 1e6;

double reading_ms(double p_tokens, double p_prompt,
                  const reading_speed& p_speed)
{
    return p_tokens * p_speed.ms_per_token_ +
           p_tokens * p_prompt / million * p_speed.ms_per_million_pairs_;
}

} // namespace

duration reading_time(const work& p_work, std::uint32_t p_missing,
                      const reading_speed& p_speed)
{
    return from_seconds(reading_ms(p_missing, p_work.prompt_tokens_, p_speed) /
                        1000);
}

duration reading_pause(const work& p_work, std::uint32_t p_missing,
                       const reading_speed& p_speed)
{
    return reading_time(
        p_work, std::min(p_missing, chunk_tokens * chunks_between_events),
        p_speed);
}

engine_model::engine_model(std::uint64_t p_memory_tokens)
    : memory_tokens_(static_cast<std::uint64_t>(
          static_cast<double>(p_memory_tokens) * cache_share))
{
}

std::uint32_t engine_model::kept_tokens(const work& p_work) const
{
    std::uint32_t kept = 0;
    for (const auto& part : p_work.parts_)
    {
        if (!kept_.contains(part.id_))
        {
            break;
        }
        kept += part.tokens_;
    }
    return std::min(kept, p_work.prompt_tokens_);
}

std::uint32_t engine_model::ready_tokens(const work& p_work,
                                         time_point p_now) const
{
    std::uint32_t ready = 0;
    for (const auto& part : p_work.parts_)
    {
        const auto known = kept_.find(part.id_);
        if (known == kept_.end() || known->second->ready_at_ > p_now)
        {
            break;
        }
        ready += part.tokens_;
    }
    return std::min(ready, p_work.prompt_tokens_);
}

double engine_model::slowness(time_point p_now) const
{
    const double age = to_seconds(p_now - learnt_at_);
    return std::pow(slowness_, std::exp(-age / to_seconds(slowness_passes)));
}

void engine_model::note_sent(const std::vector<routing::prompt_part>& p_parts,
                             time_point p_read_at)
{
    for (const auto& part : p_parts)
    {
        keep(part, p_read_at + ready_margin);
    }
}

void engine_model::keep(const routing::prompt_part& p_part,
                        time_point p_ready_at)
{
    if (const auto known = kept_.find(p_part.id_); known != kept_.end())
    {
        recent_.splice(recent_.begin(), recent_, known->second);
        return;
    }
    recent_.push_front({p_part.id_, p_part.tokens_, p_ready_at});
    kept_[p_part.id_] = recent_.begin();
    kept_tokens_ += p_part.tokens_;
    while (kept_tokens_ > memory_tokens_ && !recent_.empty())
    {
        kept_tokens_ -= recent_.back().tokens_;
        kept_.erase(recent_.back().hash_);
        recent_.pop_back();
    }
}

void engine_model::note_read(const std::vector<routing::prompt_part>& p_parts,
                             time_point p_sent, time_point p_expected,
                             time_point p_now)
{
    for (const auto& part : p_parts)
    {
        if (const auto known = kept_.find(part.id_); known != kept_.end())
        {
            known->second->ready_at_ =
                std::min(known->second->ready_at_, p_now);
        }
    }
    const double expected = to_ms(p_expected - p_sent);
    if (expected > 0)
    {
        const double ratio = to_ms(p_now - p_sent) / expected;
        slowness_ = std::clamp(slowness(p_now) * std::pow(ratio, learning_rate),
                               least_slowness, most_slowness);
        learnt_at_ = p_now;
    }
}

} // namespace peridotspar::dispatch
