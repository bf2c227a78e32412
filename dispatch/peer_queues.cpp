#include "dispatch/peer_queues.hpp"

namespace peridotspar::dispatch
{

namespace
{

/// A line that was told of longer ago counts as empty.
constexpr duration word_of_line = std::chrono::seconds(2);

bool goes_before(const waiting_sum& p_waiting, const work& p_work)
{
    return p_waiting.service_ == p_work.service_ &&
           (p_waiting.priority_ < p_work.priority_ ||
            (p_waiting.priority_ == p_work.priority_ &&
             p_waiting.target_ <= p_work.target_));
}

} // namespace

void peer_lines::note(const node_id& p_peer, std::vector<waiting_sum> p_waiting,
                      time_point p_now)
{
    if (p_waiting.empty())
    {
        peers_.erase(p_peer);
        return;
    }
    peers_[p_peer] = {std::move(p_waiting), p_now};
}

duration peer_lines::ahead_of(const work& p_work, time_point p_now) const
{
    duration total{};
    for (const auto& [peer, word] : peers_)
    {
        if (p_now - word.heard_ > word_of_line)
        {
            continue;
        }
        for (const auto& waiting : word.waiting_)
        {
            total += goes_before(waiting, p_work) ? waiting.reading_
                                                  : duration::zero();
        }
    }
    return total;
}

} // namespace peridotspar::dispatch
