// How fast backend servers are, and which are too slow to be trusted.

#include "policy/backend_table.hpp"

#include <algorithm>

namespace peridotspar::policy
{

namespace
{

constexpr unsigned samples_to_judge = 3;
/// Each step makes the pause four times as long.
constexpr unsigned most_probe_steps = 2;
/// A difference below this is noise, whatever the ratio.
constexpr double least_token_gap_s = 0.005;
double median_of(std::vector<double> p_values)
{
    if (p_values.empty())
    {
        return 0;
    }
    // The lower middle: of two backend servers the faster one is the norm.
    const auto middle = p_values.begin() +
                        static_cast<std::ptrdiff_t>((p_values.size() - 1) / 2);
    std::nth_element(p_values.begin(), middle, p_values.end());
    return *middle;
}

/// Ratio of a value to the norm; 1 where the difference is only noise.
double ratio_to(double p_value, double p_norm, double p_noise)
{
    if (p_norm <= 0 || p_value - p_norm < p_noise)
    {
        return 1;
    }
    return p_value / p_norm;
}

} // namespace

void backend_table::note_first_token(backend_index p_backend, duration p_time,
                                     time_point p_now)
{
    entry& known = entries_[p_backend.value()];
    known.first_token_s_.note(to_seconds(p_time));
    known.last_output_ = p_now;
}

void backend_table::note_token_gap(backend_index p_backend, double p_seconds,
                                   time_point p_now)
{
    entry& known = entries_[p_backend.value()];
    known.token_gap_s_.note(p_seconds);
    known.last_output_ = p_now;
}

void backend_table::note_silence(backend_index p_backend, duration p_time)
{
    entries_[p_backend.value()].token_gap_s_.note(to_seconds(p_time));
}

void backend_table::judge_speeds(const catalogue& p_catalogue, time_point p_now)
{
    std::vector<std::vector<backend_index>> members(p_catalogue.pools_.size());
    for (std::uint32_t i = 0; i < p_catalogue.backends_.size(); ++i)
    {
        for (const pool_index pool : p_catalogue.backends_[i].pools_)
        {
            members[pool.value()].push_back(backend_index(i));
        }
    }
    for (std::uint32_t i = 0; i < members.size(); ++i)
    {
        if (p_catalogue.pools_[i].serves_model_)
        {
            judge_pool(p_catalogue, pool_index(i), members[i], p_now);
        }
    }
}

void backend_table::judge_pool(const catalogue&, pool_index p_pool,
                               const std::vector<backend_index>& p_members,
                               time_point p_now)
{
    std::vector<double> first_tokens;
    std::vector<double> gaps;
    for (const backend_index member : p_members)
    {
        const entry& known = entries_[member.value()];
        if (known.first_token_s_.count() >= samples_to_judge)
        {
            first_tokens.push_back(known.first_token_s_.value());
        }
        if (known.token_gap_s_.count() >= samples_to_judge)
        {
            gaps.push_back(known.token_gap_s_.value());
        }
    }
    pool_speed& norm = pools_[p_pool.value()];
    norm.first_token_s_ = median_of(first_tokens);
    norm.token_gap_s_ = median_of(gaps);
    std::vector<backend_index> by_slowness = p_members;
    for (const backend_index member : p_members)
    {
        // First tokens also wait in the engine's queue, so only the time
        // between tokens tells a slow engine from a busy one.
        entry& known = entries_[member.value()];
        known.slowness_ = known.token_gap_s_.count() < samples_to_judge
                              ? 1
                              : ratio_to(known.token_gap_s_.value(),
                                         norm.token_gap_s_, least_token_gap_s);
    }
    std::sort(by_slowness.begin(), by_slowness.end(),
              [this](backend_index p_left, backend_index p_right)
              {
                  return entries_[p_left.value()].slowness_ >
                         entries_[p_right.value()].slowness_;
              });
    // Putting too many on probation would overload the rest.
    const auto most = static_cast<std::size_t>(
        static_cast<double>(p_members.size()) * tuning_.max_slow_fraction_);
    for (std::size_t i = 0; i < by_slowness.size(); ++i)
    {
        entry& known = entries_[by_slowness[i].value()];
        const bool slow = i < most && known.slowness_ > tuning_.slow_ratio_;
        if (slow && !known.slow_)
        {
            known.probes_ = 0;
            known.next_probe_ = p_now + tuning_.probe_interval_;
        }
        known.slow_ = slow;
    }
}

std::vector<backend_index> backend_table::slow_ones() const
{
    std::vector<backend_index> list;
    for (std::uint32_t i = 0; i < entries_.size(); ++i)
    {
        if (entries_[i].slow_)
        {
            list.push_back(backend_index(i));
        }
    }
    return list;
}

bool backend_table::is_slow(backend_index p_backend) const
{
    return entries_[p_backend.value()].slow_;
}

void backend_table::note_probe(backend_index p_backend, time_point p_now)
{
    // Each probe costs a caller a slow answer, so they get rarer.
    entry& known = entries_[p_backend.value()];
    const unsigned steps = std::min(known.probes_, most_probe_steps);
    known.next_probe_ = p_now + tuning_.probe_interval_ * (1U << (2 * steps));
    ++known.probes_;
}

duration backend_table::probe_overdue(backend_index p_backend,
                                      time_point p_now) const
{
    return p_now - entries_[p_backend.value()].next_probe_;
}

double backend_table::slowness(backend_index p_backend, time_point p_now) const
{
    const entry& known = entries_[p_backend.value()];
    const bool slow_at_peer = p_now < known.slow_at_peer_until_;
    return slow_at_peer ? std::max(known.slowness_, tuning_.slow_ratio_)
                        : known.slowness_;
}

double backend_table::usual_first_token(pool_index p_pool) const
{
    return pools_[p_pool.value()].first_token_s_;
}

double backend_table::usual_token_gap(pool_index p_pool) const
{
    return pools_[p_pool.value()].token_gap_s_;
}

} // namespace peridotspar::policy
