#include "dispatch/wait_queue.hpp"

#include <algorithm>
#include <vector>

namespace peridotspar::dispatch
{

namespace
{

/// A request waits for one before it that is at most so many times its size.
constexpr int much_larger = 2;

bool waits_for(duration p_reading, duration p_earlier)
{
    return p_earlier <= p_reading * much_larger;
}

} // namespace

waiting_line::key waiting_line::key_of(const work& p_work, waiter_id p_id)
{
    return {p_work.priority_, p_work.target_, p_work.arrived_, p_id};
}

void waiting_line::add(const work& p_work, waiter_id p_id, duration p_reading)
{
    const bool added = lines_[p_work.service_]
                           .emplace(key_of(p_work, p_id), waiter{p_reading})
                           .second;
    size_ += added ? 1 : 0;
}

void waiting_line::remove(const work& p_work, waiter_id p_id)
{
    const auto found = lines_.find(p_work.service_);
    if (found != lines_.end())
    {
        size_ -= found->second.erase(key_of(p_work, p_id));
    }
}

duration waiting_line::ahead_of(const work& p_work) const
{
    const auto found = lines_.find(p_work.service_);
    duration total{};
    if (found == lines_.end())
    {
        return total;
    }
    const auto end = found->second.lower_bound(key_of(p_work, 0));
    for (auto each = found->second.begin(); each != end; ++each)
    {
        total += each->second.reading_;
    }
    return total;
}

bool waiting_line::holds_back(const work& p_work, duration p_reading) const
{
    const auto found = lines_.find(p_work.service_);
    if (found == lines_.end())
    {
        return false;
    }
    const auto end = found->second.lower_bound(key_of(p_work, 0));
    return std::any_of(found->second.begin(), end,
                       [p_reading](const auto& p_item) {
                           return waits_for(p_reading, p_item.second.reading_);
                       });
}

std::vector<waiting_sum> waiting_line::sums() const
{
    std::vector<waiting_sum> sums;
    for (const auto& [service, waiting] : lines_)
    {
        for (const auto& [place, waits] : waiting)
        {
            const bool same = !sums.empty() &&
                              sums.back().service_ == service &&
                              sums.back().priority_ == place.priority_ &&
                              sums.back().target_ == place.target_;
            if (!same)
            {
                sums.push_back({service, place.priority_, place.target_, {}});
            }
            sums.back().reading_ += waits.reading_;
        }
    }
    return sums;
}

void waiting_line::offer(const std::function<bool(waiter_id)>& p_place)
{
    for (auto& [service, waiting] : lines_)
    {
        offer_line(waiting, p_place);
    }
}

void waiting_line::offer_line(line& r_line,
                              const std::function<bool(waiter_id)>& p_place)
{
    // Placing one may end others and take them out of the line.
    const std::vector<std::pair<key, waiter>> waiting(r_line.begin(),
                                                      r_line.end());
    duration smallest_unplaced = duration::max();
    for (const auto& [place, waits] : waiting)
    {
        if (!r_line.contains(place) ||
            waits_for(waits.reading_, smallest_unplaced))
        {
            continue;
        }
        if (p_place(place.id_))
        {
            size_ -= r_line.erase(place);
            continue;
        }
        smallest_unplaced = std::min(smallest_unplaced, waits.reading_);
    }
}

} // namespace peridotspar::dispatch
