#include "dispatch/poison_detector.hpp"

namespace peridotspar::dispatch
{

namespace
{

using namespace std::chrono_literals;

constexpr unsigned crashes_of_poison = 3;
constexpr duration remembered = 60s;
constexpr std::size_t most_entries = 4096;

} // namespace

void poison_ledger::note_crash(std::uint64_t p_fingerprint, time_point p_now)
{
    if (entries_.size() >= most_entries && !entries_.contains(p_fingerprint))
    {
        return;
    }
    auto& known = entries_[p_fingerprint];
    ++known.own_;
    known.last_ = p_now;
}

void poison_ledger::note_good_end(std::uint64_t p_fingerprint)
{
    entries_.erase(p_fingerprint);
}

void poison_ledger::note_peer(std::uint64_t p_peer, const crash_note& p_note,
                              time_point p_now)
{
    if (entries_.size() >= most_entries &&
        !entries_.contains(p_note.fingerprint_))
    {
        return;
    }
    auto& known = entries_[p_note.fingerprint_];
    auto& told = known.peers_[p_peer];
    if (told != p_note.crashes_)
    {
        told = p_note.crashes_;
        known.last_ = p_now;
    }
}

bool poison_ledger::is_poison(std::uint64_t p_fingerprint) const
{
    const auto found = entries_.find(p_fingerprint);
    if (found == entries_.end())
    {
        return false;
    }
    unsigned crashes = found->second.own_;
    for (const auto& [peer, told] : found->second.peers_)
    {
        crashes += told;
    }
    return crashes >= crashes_of_poison;
}

std::vector<crash_note> poison_ledger::own() const
{
    std::vector<crash_note> notes;
    for (const auto& [fingerprint, known] : entries_)
    {
        if (known.own_ > 0)
        {
            notes.push_back({fingerprint, known.own_});
        }
    }
    return notes;
}

void poison_ledger::forget_old(time_point p_now)
{
    std::erase_if(entries_, [&](const auto& p_item)
                  { return p_now - p_item.second.last_ > remembered; });
}

} // namespace peridotspar::dispatch
