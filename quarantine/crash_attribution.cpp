#include "quarantine/crash_attribution.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

#include <xxhash.h>

namespace peridotspar::quarantine
{

namespace
{

using namespace std::chrono_literals;

/// Lost connections to one server within this time are due to one crash.
constexpr duration same_crash_window = 500ms;
/// Times in reports shift by up to this much as they are handed on.
constexpr duration report_tolerance = 500ms;
/// Times of crashes come from other nodes and shift a little on the way.
constexpr duration life_margin = 150ms;
/// A key is quarantined this long after its first crash at the earliest, so
/// that answers can clear what sound requests have in common.
constexpr duration observation_time = 500ms;
/// The first trial comes this long after the quarantine.
constexpr duration first_trial_delay = 5s;
/// Each crash of a trial multiplies the delay of the next one.
constexpr unsigned trial_delay_factor = 4;
constexpr std::uint32_t max_delay_steps = 4;
/// A trial that has neither an answer nor a crash by then is repeated.
constexpr duration trial_timeout = 10s;
/// The shortest time that a refused caller is told to wait.
constexpr duration min_retry_delay = 500ms;
/// Suspects without a new crash for longer are dropped.
constexpr duration suspect_lifetime = 60s;
/// Quarantines that no request was refused for are dropped.
constexpr duration unused_quarantine_lifetime = 10min;
/// Peers are told for this long of a key that has crashes or was cleared.
constexpr duration change_report_time = 5s;
/// Bounds of the memory. Further suspects aren't tracked.
constexpr std::size_t max_entries = 2048;
constexpr std::size_t max_crashes_per_entry = 8;
constexpr std::size_t max_explained = 64;
constexpr std::size_t max_answered = 8192;
/// A part with fewer crashes is in regular reports only.
constexpr std::size_t fresh_crashes = 2;
/// Bounds the size of a message.
constexpr std::size_t max_reports = 6;
constexpr std::size_t max_reported_crashes = 3;
/// The highest weight of a report: a quarantine with all crashes kept.
constexpr std::size_t max_weight = 2 * max_crashes_per_entry;

/// Distributes keys evenly over nodes.
std::uint64_t mix(std::uint64_t p_key, std::uint64_t p_node)
{
    constexpr std::uint64_t multiplier = 0x9E3779B97F4A7C15U;
    std::uint64_t value = (p_key ^ p_node) * multiplier;
    value ^= value >> 29U;
    return value * multiplier;
}

} // namespace

server_key key_of(std::string_view p_run)
{
    return server_key(XXH64(p_run.data(), p_run.size(), 0));
}

void crash_attribution::set_nodes(std::uint64_t p_self,
                                  std::vector<std::uint64_t> p_others)
{
    self_ = p_self;
    others_ = std::move(p_others);
}

bool crash_attribution::is_same(const crash& p_left, const crash& p_right)
{
    const auto gap = p_left.at_ > p_right.at_ ? p_left.at_ - p_right.at_
                                              : p_right.at_ - p_left.at_;
    return p_left.server_ == p_right.server_ && gap < same_crash_window;
}

bool crash_attribution::contains(const std::vector<crash>& p_list,
                                 const crash& p_crash)
{
    return std::any_of(p_list.begin(), p_list.end(),
                       [&](const crash& p_known)
                       { return is_same(p_known, p_crash); });
}

bool crash_attribution::explains(const entry& p_entry, const entry& p_other)
{
    const bool may_explain =
        p_entry.quarantined_at_ && p_entry.rank_ != whole_request &&
        (p_other.rank_ == whole_request || p_entry.rank_ > p_other.rank_);
    return may_explain && !p_other.crashes_.empty() &&
           std::all_of(p_other.crashes_.begin(), p_other.crashes_.end(),
                       [&](const crash& p_crash)
                       { return contains(p_entry.crashes_, p_crash); });
}

bool crash_attribution::is_due(const entry& p_entry, time_point p_now)
{
    const auto& crashes = p_entry.crashes_;
    if (p_entry.quarantined_at_ || crashes.size() < crashes_to_quarantine)
    {
        return false;
    }
    const auto first =
        std::min_element(crashes.begin(), crashes.end(),
                         [](const crash& p_left, const crash& p_right)
                         { return p_left.at_ < p_right.at_; });
    const bool is_one_request =
        std::all_of(crashes.begin(), crashes.end(),
                    [&](const crash& p_crash)
                    { return p_crash.request_ == crashes.front().request_; });
    return (p_entry.rank_ == whole_request || !is_one_request) &&
           p_now - first->at_ >= observation_time;
}

time_point crash_attribution::next_trial_at(const entry& p_entry)
{
    duration delay = first_trial_delay;
    for (std::uint32_t i = 0; i < std::min(p_entry.trials_, max_delay_steps);
         ++i)
    {
        delay *= trial_delay_factor;
    }
    const time_point due = *p_entry.quarantined_at_ + delay;
    return p_entry.trial_sent_at_
               ? std::max(due, *p_entry.trial_sent_at_ + trial_timeout)
               : due;
}

bool crash_attribution::makes_trial(suspect_key p_key) const
{
    const std::uint64_t own = mix(p_key.value(), self_);
    return std::none_of(others_.begin(), others_.end(),
                        [&](std::uint64_t p_other)
                        { return mix(p_key.value(), p_other) > own; });
}

crash_attribution::entry* crash_attribution::find_quarantined(suspect_key p_key)
{
    const auto found = entries_.find(p_key);
    const bool quarantined =
        found != entries_.end() && found->second.quarantined_at_;
    return quarantined ? &found->second : nullptr;
}

crash_attribution::entry*
crash_attribution::find_or_add(const suspect& p_suspect, time_point p_last_used)
{
    const auto found = entries_.find(p_suspect.key_);
    if (found == entries_.end() && entries_.size() >= max_entries)
    {
        return nullptr;
    }
    entry& known = entries_[p_suspect.key_];
    known.rank_ = std::max(known.rank_, p_suspect.rank_);
    known.last_used_ = std::max(known.last_used_, p_last_used);
    return &known;
}

bool crash_attribution::add_crash(entry& r_entry, const crash& p_crash)
{
    const bool is_old =
        r_entry.cleared_at_ && p_crash.at_ <= *r_entry.cleared_at_;
    const bool is_explained =
        !r_entry.quarantined_at_ && contains(explained_, p_crash);
    if (is_old || is_explained || is_refuted(p_crash) ||
        contains(r_entry.crashes_, p_crash))
    {
        return false;
    }
    if (r_entry.crashes_.size() >= max_crashes_per_entry)
    {
        r_entry.crashes_.erase(r_entry.crashes_.begin());
    }
    r_entry.crashes_.push_back(p_crash);
    return true;
}

void crash_attribution::record_crash(server_key p_server,
                                     const std::vector<suspect>& p_suspects,
                                     time_point p_now)
{
    if (p_suspects.empty())
    {
        return;
    }
    const crash seen{p_server, p_suspects.back().key_, p_now};
    bool is_explained = false;
    for (const suspect& candidate : p_suspects)
    {
        if (entry* known = find_quarantined(candidate.key_))
        {
            is_explained = true;
            const bool was_trial = known->trial_sent_at_.has_value();
            begin_quarantine(candidate.key_, p_now,
                             known->trials_ + (was_trial ? 1 : 0), {seen},
                             p_now);
        }
    }
    if (is_explained)
    {
        return;
    }
    for (const suspect& candidate : p_suspects)
    {
        entry* known = find_or_add(candidate, p_now);
        if (known != nullptr && add_crash(*known, seen))
        {
            known->own_crash_ = true;
            known->changed_at_ = p_now;
            has_fresh_suspect_ =
                has_fresh_suspect_ || (known->rank_ != whole_request &&
                                       known->crashes_.size() >= fresh_crashes);
        }
    }
    tick(p_now);
}

void crash_attribution::remember_answer(suspect_key p_key, time_point p_begun)
{
    if (answered_.size() >= max_answered)
    {
        answered_before_ = std::exchange(answered_, {});
    }
    auto& last = answered_[p_key];
    last = std::max(last, p_begun);
}

std::optional<time_point>
crash_attribution::last_answer(suspect_key p_key) const
{
    for (const auto* answers : {&answered_, &answered_before_})
    {
        if (const auto found = answers->find(p_key); found != answers->end())
        {
            return found->second;
        }
    }
    return std::nullopt;
}

void crash_attribution::record_answer(const std::vector<suspect>& p_suspects,
                                      time_point p_begun, time_point p_now)
{
    for (const suspect& sound : p_suspects)
    {
        remember_answer(sound.key_, p_begun);
        if (entries_.contains(sound.key_))
        {
            clear(sound.key_, p_begun, p_now);
            end_if_answered(sound.key_, p_begun, p_now);
        }
    }
}

void crash_attribution::clear(suspect_key p_key, time_point p_at,
                              time_point p_now)
{
    entry& known = entries_.at(p_key);
    if (known.cleared_at_ && *known.cleared_at_ >= p_at)
    {
        return;
    }
    known.cleared_at_ = p_at;
    const auto removed = std::erase_if(known.crashes_, [&](const crash& p_crash)
                                       { return p_crash.at_ <= p_at; });
    if (removed > 0)
    {
        known.changed_at_ = p_now;
    }
}

void crash_attribution::end_if_answered(suspect_key p_key,
                                        time_point p_answered, time_point p_now)
{
    const entry& known = entries_.at(p_key);
    if (known.quarantined_at_ && *known.quarantined_at_ <= p_answered)
    {
        end_quarantine(p_key, p_now);
    }
}

void crash_attribution::begin_quarantine(suspect_key p_key, time_point p_at,
                                         std::uint32_t p_trials,
                                         const std::vector<crash>& p_crashes,
                                         time_point p_now)
{
    entry& known = entries_.at(p_key);
    const bool is_new = !known.quarantined_at_;
    known.episode_ += is_new ? 1 : 0;
    known.quarantined_at_ = p_at;
    known.trials_ = p_trials;
    known.trial_sent_at_.reset();
    known.last_used_ = std::max(known.last_used_, p_at);
    known.changed_at_ = p_now;
    has_news_ = true;
    for (const crash& added : p_crashes)
    {
        add_crash(known, added);
    }
    if (is_new)
    {
        changes_.push_back({{p_key, known.rank_}, true, known.crashes_.size()});
    }
    if (known.rank_ != whole_request)
    {
        explain_crashes(known);
    }
    end_explained_quarantines(p_now);
}

void crash_attribution::end_quarantine(suspect_key p_key, time_point p_now)
{
    entry& known = entries_.at(p_key);
    changes_.push_back({{p_key, known.rank_}, false, known.crashes_.size()});
    known.quarantined_at_.reset();
    ++known.episode_;
    known.trial_sent_at_.reset();
    known.trials_ = 0;
    known.crashes_.clear();
    known.changed_at_ = p_now;
    has_news_ = true;
}

void crash_attribution::explain_crashes(const entry& p_entry)
{
    for (const crash& known : p_entry.crashes_)
    {
        if (!contains(explained_, known))
        {
            explained_.push_back(known);
        }
    }
    if (explained_.size() > max_explained)
    {
        explained_.erase(explained_.begin(),
                         explained_.end() -
                             static_cast<std::ptrdiff_t>(max_explained));
    }
    for (auto& [key, other] : entries_)
    {
        if (!other.quarantined_at_)
        {
            std::erase_if(other.crashes_, [this](const crash& p_crash)
                          { return contains(explained_, p_crash); });
        }
    }
}

void crash_attribution::end_explained_quarantines(time_point p_now)
{
    for (const auto& [key, known] : entries_)
    {
        const bool is_explained =
            known.quarantined_at_ &&
            std::any_of(entries_.begin(), entries_.end(),
                        [&, &other = known](const auto& p_item)
                        { return explains(p_item.second, other); });
        if (is_explained)
        {
            end_quarantine(key, p_now);
        }
    }
}

bool crash_attribution::is_quarantined(
    const std::vector<suspect>& p_suspects) const
{
    return std::any_of(p_suspects.begin(), p_suspects.end(),
                       [this](const suspect& p_suspect)
                       {
                           const auto found = entries_.find(p_suspect.key_);
                           return found != entries_.end() &&
                                  found->second.quarantined_at_;
                       });
}

std::optional<duration>
crash_attribution::find_refusal(const std::vector<suspect>& p_suspects,
                                time_point p_now)
{
    std::optional<duration> wait;
    std::vector<entry*> trials;
    for (const suspect& candidate : p_suspects)
    {
        entry* known = find_quarantined(candidate.key_);
        if (known == nullptr)
        {
            continue;
        }
        known->last_used_ = p_now;
        const time_point due = next_trial_at(*known);
        if (p_now >= due && makes_trial(candidate.key_))
        {
            trials.push_back(known);
            continue;
        }
        wait = std::max(wait.value_or(min_retry_delay), due - p_now);
    }
    if (wait)
    {
        return wait;
    }
    for (entry* known : trials)
    {
        known->trial_sent_at_ = p_now;
    }
    return std::nullopt;
}

void crash_attribution::merge(const suspect_report& p_report, time_point p_now)
{
    const suspect_key key = p_report.suspect_.key_;
    entry* known = find_or_add(p_report.suspect_, p_report.last_used_);
    if (known == nullptr)
    {
        return;
    }
    const bool is_outdated = p_report.episode_ < known->episode_;
    if (is_outdated)
    {
        known->changed_at_ = p_now; // So that the peer is told.
    }
    if (p_report.cleared_at_ &&
        *p_report.cleared_at_ >
            known->cleared_at_.value_or(time_point{}) + report_tolerance)
    {
        clear(key, *p_report.cleared_at_, p_now);
    }
    // The peer reports it to the others itself.
    const bool had_news = has_news_;
    if (!is_outdated)
    {
        merge_quarantine(p_report, p_now);
    }
    has_news_ = had_news;
    if (const auto answered = last_answer(key))
    {
        clear(key, *answered, p_now);
        end_if_answered(key, *answered, p_now);
    }
    const duration tolerance = is_outdated ? report_tolerance : duration{};
    for (const crash& reported : p_report.crashes_)
    {
        const bool is_cleared = known->cleared_at_ &&
                                reported.at_ <= *known->cleared_at_ + tolerance;
        if (!is_cleared)
        {
            add_crash(*known, reported);
        }
    }
}

void crash_attribution::merge_quarantine(const suspect_report& p_report,
                                         time_point p_now)
{
    const suspect_key key = p_report.suspect_.key_;
    entry& known = entries_.at(key);
    const auto since = p_report.quarantined_at_;
    const bool is_newer = p_report.episode_ > known.episode_;
    if (is_newer && !since && known.quarantined_at_)
    {
        end_quarantine(key, p_now);
    }
    const bool is_prolonged =
        since && known.quarantined_at_ &&
        *since > *known.quarantined_at_ + same_crash_window;
    if (since && (is_newer || is_prolonged))
    {
        begin_quarantine(key, *since, std::max(known.trials_, p_report.trials_),
                         p_report.crashes_, p_now);
    }
    known.episode_ = std::max(known.episode_, p_report.episode_);
}

bool crash_attribution::needs_report(const entry& p_entry, time_point p_now)
{
    const bool is_recent = p_now - p_entry.changed_at_ < change_report_time;
    const bool was_seen_here =
        p_entry.cleared_at_ || p_entry.episode_ > 0 ||
        p_entry.crashes_.size() > 1 ||
        (p_entry.own_crash_ && !p_entry.crashes_.empty());
    return p_entry.quarantined_at_ || (is_recent && was_seen_here);
}

std::vector<crash> crash_attribution::latest_crashes(const entry& p_entry)
{
    const auto& crashes = p_entry.crashes_;
    const std::size_t count = std::min(crashes.size(), max_reported_crashes);
    return {crashes.end() - static_cast<std::ptrdiff_t>(count), crashes.end()};
}

crash_attribution::report_order
crash_attribution::order_of(const entry& p_entry)
{
    const bool is_told =
        p_entry.reported_at_ && *p_entry.reported_at_ > p_entry.changed_at_;
    const std::size_t weight =
        p_entry.crashes_.size() +
        (p_entry.quarantined_at_ ? max_crashes_per_entry : 0);
    return {is_told, is_told ? *p_entry.reported_at_ : time_point{},
            max_weight - std::min(weight, max_weight)};
}

std::vector<suspect_report> crash_attribution::reports(time_point p_now)
{
    std::vector<std::pair<report_order, entries::iterator>> due;
    for (auto it = entries_.begin(); it != entries_.end(); ++it)
    {
        if (needs_report(it->second, p_now))
        {
            due.emplace_back(order_of(it->second), it);
        }
    }
    std::stable_sort(due.begin(), due.end(),
                     [](const auto& p_left, const auto& p_right)
                     { return p_left.first < p_right.first; });
    due.resize(std::min(due.size(), max_reports));
    std::vector<suspect_report> list;
    for (auto& [order, it] : due)
    {
        auto& [key, known] = *it;
        known.reported_at_ = p_now;
        list.push_back({{key, known.rank_},
                        latest_crashes(known),
                        known.cleared_at_,
                        known.quarantined_at_,
                        known.episode_,
                        known.trials_,
                        known.last_used_});
    }
    return list;
}

std::optional<suspect_key> crash_attribution::worst_due(time_point p_now) const
{
    const auto weight = [](const entry& p_entry)
    {
        return std::tuple(p_entry.rank_ != whole_request,
                          p_entry.crashes_.size(), p_entry.rank_);
    };
    auto worst = entries_.end();
    for (auto i = entries_.begin(); i != entries_.end(); ++i)
    {
        if (is_due(i->second, p_now) &&
            (worst == entries_.end() ||
             weight(i->second) > weight(worst->second)))
        {
            worst = i;
        }
    }
    return worst == entries_.end() ? std::nullopt : std::optional(worst->first);
}

void crash_attribution::tick(time_point p_now)
{
    drop_refuted(p_now);
    // Each quarantine takes its crashes from the remaining keys.
    while (const auto worst = worst_due(p_now))
    {
        time_point last{};
        for (const crash& known : entries_.at(*worst).crashes_)
        {
            last = std::max(last, known.at_);
        }
        begin_quarantine(*worst, last, 0, {}, p_now);
    }
    expire(p_now);
}

void crash_attribution::record_alive(server_key p_server, time_point p_opened,
                                     time_point p_now)
{
    const auto [found, is_new] = lives_.try_emplace(p_server);
    life& known = found->second;
    const bool goes_on = !is_new && p_opened <= known.until_;
    known.since_ = goes_on ? std::min(known.since_, p_opened) : p_opened;
    known.until_ = p_now;
}

bool crash_attribution::is_refuted(const crash& p_crash) const
{
    const auto found = lives_.find(p_crash.server_);
    return found != lives_.end() &&
           found->second.since_ + life_margin < p_crash.at_ &&
           p_crash.at_ + life_margin < found->second.until_;
}

void crash_attribution::drop_refuted(time_point p_now)
{
    for (auto& [key, known] : entries_)
    {
        const std::size_t dropped =
            std::erase_if(known.crashes_, [this](const crash& p_crash)
                          { return is_refuted(p_crash); });
        if (dropped == 0)
        {
            continue;
        }
        known.changed_at_ = p_now;
        const bool is_unfounded =
            known.quarantined_at_ && dropped >= known.crashes_.size();
        if (is_unfounded)
        {
            auto left = std::move(known.crashes_);
            end_quarantine(key, p_now);
            known.crashes_ = std::move(left);
        }
    }
    std::erase_if(explained_,
                  [this](const crash& p_crash) { return is_refuted(p_crash); });
}

void crash_attribution::expire(time_point p_now)
{
    std::erase_if(lives_, [p_now](const auto& p_item)
                  { return p_now - p_item.second.until_ > suspect_lifetime; });
    std::erase_if(entries_,
                  [&](const auto& p_item)
                  {
                      const entry& known = p_item.second;
                      const duration lifetime = known.quarantined_at_
                                                    ? unused_quarantine_lifetime
                                                    : suspect_lifetime;
                      return p_now - known.last_used_ > lifetime;
                  });
    std::erase_if(explained_, [&](const crash& p_crash)
                  { return p_now - p_crash.at_ > suspect_lifetime; });
}

bool crash_attribution::take_news()
{
    return std::exchange(has_news_, false);
}

bool crash_attribution::take_fresh_suspect()
{
    return std::exchange(has_fresh_suspect_, false);
}

std::vector<quarantine_change> crash_attribution::take_changes()
{
    return std::exchange(changes_, {});
}

std::size_t crash_attribution::quarantined_count() const
{
    return static_cast<std::size_t>(
        std::count_if(entries_.begin(), entries_.end(),
                      [](const auto& p_item)
                      { return p_item.second.quarantined_at_.has_value(); }));
}

} // namespace peridotspar::quarantine
