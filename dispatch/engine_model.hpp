#pragma once

#include "core/clock.hpp"
#include "dispatch/request_profile.hpp"

#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

namespace peridotspar::dispatch
{

/// How fast the engines of a service read prompts: at first as those of the
/// two sites that we know.
struct prefill_speed
{
    double base_ms_ = 100;              ///< A first answer without any prompt.
    double ms_per_token_ = 1.0 / 60;    ///< For each token that isn't cached.
    double ms_per_million_pairs_ = 0.4; ///< New tokens times the whole prompt.
};

/// Time to read `p_missing` tokens of a prompt, without the wait for others.
[[nodiscard]] duration prefill_time(const request_profile& p_request,
                                    std::uint32_t p_uncached_tokens,
                                    const prefill_speed& p_speed);
/// Longest pause that reading them makes in the streams beside it.
[[nodiscard]] duration prefill_pause(const request_profile& p_request,
                                     std::uint32_t p_uncached_tokens,
                                     const prefill_speed& p_speed);

/// What one engine is believed to keep of earlier prompts, and how fast it
/// reads.
class engine_model
{
public:
    explicit engine_model(std::uint64_t p_memory_tokens);

    /// Tokens of the prompt's begin that the engine will have read before it
    /// comes to the work.
    [[nodiscard]] std::uint32_t
    cached_tokens(const request_profile& p_request) const;
    /// Tokens of the prompt's begin that another engine can fetch now.
    [[nodiscard]] std::uint32_t
    fetchable_tokens(const request_profile& p_request, time_point p_now) const;
    /// Takes note of a request that was sent there, by any node, and of when
    /// its prompt should be read.
    void note_sent(const std::vector<routing::prompt_part>& p_parts,
                   time_point p_prefill_end);
    /// The engine says that it keeps a part.
    void note_cached(const routing::prompt_part& p_part, time_point p_now)
    {
        add_cached(p_part, p_now);
    }
    /// How much longer reading takes here than expected; 1 as expected.
    [[nodiscard]] double slowdown(time_point p_now) const;
    /// A prompt turned out to be read at `p_now`, expected at `p_expected`.
    void note_prefill_done(const std::vector<routing::prompt_part>& p_parts,
                           time_point p_sent, time_point p_expected,
                           time_point p_now);

private:
    struct cache_entry
    {
        std::uint64_t key_ = 0;
        std::uint32_t tokens_ = 0;
        time_point fetchable_at_{}; ///< When it is expected to be read.
    };
    void add_cached(const routing::prompt_part& p_part,
                    time_point p_fetchable_at);

    std::uint64_t capacity_tokens_;
    std::uint64_t cached_tokens_ = 0;
    std::list<cache_entry> lru_parts_; ///< The latest used first.
    std::unordered_map<std::uint64_t, std::list<cache_entry>::iterator> cached_;
    double slowdown_ = 1; ///< As of `learnt_at_`; it passes with time.
    time_point slowdown_updated_at_{};
};

} // namespace peridotspar::dispatch
