#include "dispatch/engine_model.hpp"

#include <algorithm>
#include <cmath>

namespace peridotspar::dispatch
{

namespace
{

/// Share of an engine's memory that is assumed to hold cached prompt parts; the
/// running requests use the rest.
constexpr double cache_memory_share = 0.7;
/// Weight of the latest answer in the moving mean of the slowdown. The mean is
/// geometric to limit the effect of a single late answer, which is often caused
/// by another node's requests.
constexpr double slowdown_learning_rate = 0.1;
/// Time constant of the decay of the slowdown towards 1: engines are slowed for
/// a few seconds at a time. After this time an observation has about a third of
/// its weight.
constexpr duration slowdown_decay_time = std::chrono::seconds(5);
constexpr double min_slowdown = 0.5;
constexpr double max_slowdown = 6;
/// Added to the expected end of a prefill before its parts count as fetchable
/// by other engines.
constexpr duration fetchable_margin = std::chrono::milliseconds(50);

/// Engines prefill a prompt in chunks of this many tokens, interleaved with the
/// decode steps of the other streams in the batch.
constexpr std::uint32_t prefill_chunk_tokens = 4096;
/// Decode steps, and therefore prefill chunks, that may fall between two events
/// of a stream.
constexpr std::uint32_t prefill_chunks_between_events = 2;
constexpr double million = 1e6;

double prefill_ms(double p_tokens, double p_prompt,
                  const prefill_speed& p_speed)
{
    return p_tokens * p_speed.ms_per_token_ +
           p_tokens * p_prompt / million * p_speed.ms_per_million_pairs_;
}

} // namespace

duration prefill_time(const request_profile& p_request,
                      std::uint32_t p_uncached_tokens,
                      const prefill_speed& p_speed)
{
    return from_seconds(
        prefill_ms(p_uncached_tokens, p_request.prompt_tokens_, p_speed) /
        1000);
}

duration prefill_pause(const request_profile& p_request,
                       std::uint32_t p_uncached_tokens,
                       const prefill_speed& p_speed)
{
    return prefill_time(
        p_request,
        std::min(p_uncached_tokens,
                 prefill_chunk_tokens * prefill_chunks_between_events),
        p_speed);
}

engine_model::engine_model(std::uint64_t p_memory_tokens)
    : capacity_tokens_(static_cast<std::uint64_t>(
          static_cast<double>(p_memory_tokens) * cache_memory_share))
{
}

std::uint32_t
engine_model::cached_tokens(const request_profile& p_request) const
{
    std::uint32_t cached = 0;
    for (const auto& part : p_request.parts_)
    {
        if (!cached_.contains(part.id_))
        {
            break;
        }
        cached += part.tokens_;
    }
    return std::min(cached, p_request.prompt_tokens_);
}

std::uint32_t engine_model::fetchable_tokens(const request_profile& p_request,
                                             time_point p_now) const
{
    std::uint32_t fetchable = 0;
    for (const auto& part : p_request.parts_)
    {
        const auto known = cached_.find(part.id_);
        if (known == cached_.end() || known->second->fetchable_at_ > p_now)
        {
            break;
        }
        fetchable += part.tokens_;
    }
    return std::min(fetchable, p_request.prompt_tokens_);
}

double engine_model::slowdown(time_point p_now) const
{
    const double age = to_seconds(p_now - slowdown_updated_at_);
    return std::pow(slowdown_,
                    std::exp(-age / to_seconds(slowdown_decay_time)));
}

void engine_model::record_sent(const std::vector<routing::prompt_part>& p_parts,
                               time_point p_prefill_end)
{
    for (const auto& part : p_parts)
    {
        add_cached(part, p_prefill_end + fetchable_margin);
    }
}

void engine_model::add_cached(const routing::prompt_part& p_part,
                              time_point p_fetchable_at)
{
    if (const auto known = cached_.find(p_part.id_); known != cached_.end())
    {
        lru_parts_.splice(lru_parts_.begin(), lru_parts_, known->second);
        return;
    }
    lru_parts_.push_front({p_part.id_, p_part.tokens_, p_fetchable_at});
    cached_[p_part.id_] = lru_parts_.begin();
    cached_tokens_ += p_part.tokens_;
    while (cached_tokens_ > capacity_tokens_ && !lru_parts_.empty())
    {
        cached_tokens_ -= lru_parts_.back().tokens_;
        cached_.erase(lru_parts_.back().key_);
        lru_parts_.pop_back();
    }
}

void engine_model::record_prefill_done(
    const std::vector<routing::prompt_part>& p_parts, time_point p_sent,
    time_point p_expected, time_point p_now)
{
    for (const auto& part : p_parts)
    {
        if (const auto known = cached_.find(part.id_); known != cached_.end())
        {
            known->second->fetchable_at_ =
                std::min(known->second->fetchable_at_, p_now);
        }
    }
    const double expected = to_ms(p_expected - p_sent);
    if (expected > 0)
    {
        const double ratio = to_ms(p_now - p_sent) / expected;
        slowdown_ = std::clamp(slowdown(p_now) *
                                   std::pow(ratio, slowdown_learning_rate),
                               min_slowdown, max_slowdown);
        slowdown_updated_at_ = p_now;
    }
}

} // namespace peridotspar::dispatch
