#pragma once

#include "core/clock.hpp"
#include "dispatch/request_profile.hpp"

#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

namespace peridotspar::dispatch
{

/// How fast the engines of a service prefill prompts. The defaults are those of
/// the engines at the two known sites.
struct prefill_speed
{
    double base_ms_ = 100; ///< Time to the first answer with an empty prompt.
    double ms_per_token_ = 1.0 / 60; ///< Per token that isn't cached.
    /// Attention cost per million pairs of an uncached token and a token of the
    /// whole prompt.
    double ms_per_million_pairs_ = 0.4;
};

/// Time to prefill `p_uncached_tokens` tokens of a prompt on an idle engine.
[[nodiscard]] duration prefill_time(const request_profile& p_request,
                                    std::uint32_t p_uncached_tokens,
                                    const prefill_speed& p_speed);
/// Longest pause that this prefill causes between the events of the other
/// streams on the engine.
[[nodiscard]] duration prefill_pause(const request_profile& p_request,
                                     std::uint32_t p_uncached_tokens,
                                     const prefill_speed& p_speed);

/// Estimates which prompt parts one engine has cached and how much slower than
/// expected it is. Not thread-safe.
class engine_model
{
public:
    /// `p_memory_tokens` is the engine's whole memory for prompts and outputs.
    explicit engine_model(std::uint64_t p_memory_tokens);

    /// Tokens of the prompt's prefix that the engine has cached, or will have
    /// cached by the time it starts the request.
    [[nodiscard]] std::uint32_t
    cached_tokens(const request_profile& p_request) const;
    /// Tokens of the prompt's prefix that another engine can fetch now.
    [[nodiscard]] std::uint32_t
    fetchable_tokens(const request_profile& p_request, time_point p_now) const;
    /// Records the prompt parts of a request that any node sent to this engine.
    /// `p_prefill_end` is the expected end of its prefill.
    void record_sent(const std::vector<routing::prompt_part>& p_parts,
                     time_point p_prefill_end);
    /// Records a part that the engine itself reported as cached.
    void record_cached(const routing::prompt_part& p_part, time_point p_now)
    {
        add_cached(p_part, p_now);
    }
    /// Ratio of the time that this engine needs to the expected time; 1 if it
    /// is as fast as expected.
    [[nodiscard]] double slowdown(time_point p_now) const;
    /// Records that a prefill whose end was expected at `p_expected` ended at
    /// `p_now`.
    void record_prefill_done(const std::vector<routing::prompt_part>& p_parts,
                             time_point p_sent, time_point p_expected,
                             time_point p_now);

private:
    struct cache_entry
    {
        std::uint64_t key_ = 0;
        std::uint32_t tokens_ = 0;
        /// When its prefill is expected to be done, with a margin.
        time_point fetchable_at_{};
    };
    void add_cached(const routing::prompt_part& p_part,
                    time_point p_fetchable_at);

    std::uint64_t capacity_tokens_;
    std::uint64_t cached_tokens_ = 0;
    std::list<cache_entry> lru_parts_; ///< Most recently used first.
    std::unordered_map<std::uint64_t, std::list<cache_entry>::iterator> cached_;
    double slowdown_ = 1; ///< As of `slowdown_updated_at_`; decays towards 1.
    time_point slowdown_updated_at_{};
};

} // namespace peridotspar::dispatch
