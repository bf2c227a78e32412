#include "dispatch/server_load.hpp"

#include <algorithm>

namespace peridotspar::dispatch
{

namespace
{

/// How much slower an engine is at such moments, and how often that is.
constexpr double slowdown_factor = 2.5;
constexpr double slowdown_probability = 0.2;

} // namespace

void server_load::add(bool p_stream, duration p_pause, std::uint64_t p_tokens)
{
    tokens_ += p_tokens;
    ++requests_;
    if (p_stream)
    {
        ++stream_counts_[p_pause];
    }
}

void server_load::remove(bool p_stream, duration p_pause,
                         std::uint64_t p_tokens)
{
    tokens_ -= std::min(tokens_, p_tokens);
    requests_ -= std::min(requests_, 1U);
    const auto found = stream_counts_.find(p_pause);
    if (p_stream && found != stream_counts_.end() && --found->second == 0)
    {
        stream_counts_.erase(found);
    }
}

double lateness_probability(duration p_pause, duration p_max_pause)
{
    if (p_pause > p_max_pause)
    {
        return 1;
    }
    const bool late_when_slowed =
        to_ms(p_pause) * slowdown_factor > to_ms(p_max_pause);
    return late_when_slowed ? slowdown_probability : 0;
}

void server_load::remove_pending_prefill(duration p_prefill_time)
{
    pending_prefill_ -= std::min(pending_prefill_, p_prefill_time);
}

server_load& server_load::operator+=(const server_load& p_added)
{
    requests_ += p_added.requests_;
    tokens_ += p_added.tokens_;
    pending_prefill_ += p_added.pending_prefill_;
    for (const auto& [pause, count] : p_added.stream_counts_)
    {
        stream_counts_[pause] += count;
    }
    return *this;
}

server_load& server_load::operator-=(const server_load& p_removed)
{
    requests_ -= std::min(requests_, p_removed.requests_);
    tokens_ -= std::min(tokens_, p_removed.tokens_);
    remove_pending_prefill(p_removed.pending_prefill_);
    for (const auto& [pause, count] : p_removed.stream_counts_)
    {
        auto& known = stream_counts_[pause];
        known -= std::min(known, count);
    }
    return *this;
}

double server_load::expected_late_streams(duration p_pause) const
{
    double late_streams = 0;
    for (const auto& [max_pause, count] : stream_counts_)
    {
        late_streams += count * lateness_probability(p_pause, max_pause);
    }
    return late_streams;
}

} // namespace peridotspar::dispatch
