#include "dispatch/server_load.hpp"

#include <algorithm>

namespace peridotspar::dispatch
{

namespace
{

/// How much slower an engine is at such moments, and how often that is.
constexpr double slowed_by = 2.5;
constexpr double slowed_chance = 0.2;

} // namespace

void running_count::add(bool p_stream, duration p_pause, std::uint64_t p_tokens)
{
    tokens_ += p_tokens;
    ++all_;
    if (p_stream)
    {
        ++streams_[p_pause];
    }
}

void running_count::remove(bool p_stream, duration p_pause,
                           std::uint64_t p_tokens)
{
    tokens_ -= std::min(tokens_, p_tokens);
    all_ -= std::min(all_, 1U);
    const auto found = streams_.find(p_pause);
    if (p_stream && found != streams_.end() && --found->second == 0)
    {
        streams_.erase(found);
    }
}

double chance_of_lateness(duration p_pause, duration p_longest)
{
    if (p_pause > p_longest)
    {
        return 1;
    }
    const bool late_when_slowed = to_ms(p_pause) * slowed_by > to_ms(p_longest);
    return late_when_slowed ? slowed_chance : 0;
}

void running_count::note_read(duration p_reading)
{
    unread_ -= std::min(unread_, p_reading);
}

running_count& running_count::operator+=(const running_count& p_more)
{
    all_ += p_more.all_;
    tokens_ += p_more.tokens_;
    unread_ += p_more.unread_;
    for (const auto& [pause, count] : p_more.streams_)
    {
        streams_[pause] += count;
    }
    return *this;
}

running_count& running_count::operator-=(const running_count& p_less)
{
    all_ -= std::min(all_, p_less.all_);
    tokens_ -= std::min(tokens_, p_less.tokens_);
    note_read(p_less.unread_);
    for (const auto& [pause, count] : p_less.streams_)
    {
        auto& known = streams_[pause];
        known -= std::min(known, count);
    }
    return *this;
}

double running_count::disturbed_by(duration p_pause) const
{
    double disturbed = 0;
    for (const auto& [longest, count] : streams_)
    {
        disturbed += count * chance_of_lateness(p_pause, longest);
    }
    return disturbed;
}

} // namespace peridotspar::dispatch
