// Latency measurements of backend servers and detection of slow ones.

#include "policy/backend_table.hpp"

#include <algorithm>

namespace peridotspar::policy
{

namespace
{

/// Samples of a backend server before it is compared with its pool.
constexpr unsigned min_samples = 3;
/// Each step multiplies the interval between probes by four.
constexpr unsigned max_backoff_steps = 2;
/// Smaller differences are noise, whatever the ratio.
constexpr double min_token_gap_difference_s = 0.005;
/// A backend server that was left silent may be tried again after this time.
constexpr duration left_silent_lifetime = std::chrono::seconds(5);

/// Lower median; 0 for an empty list.
double median_of(std::vector<double> p_values)
{
    if (p_values.empty())
    {
        return 0;
    }
    // Of two backend servers, the slower one is compared with the faster one.
    const auto middle = p_values.begin() +
                        static_cast<std::ptrdiff_t>((p_values.size() - 1) / 2);
    std::nth_element(p_values.begin(), middle, p_values.end());
    return *middle;
}

/// Ratio of a value to the median; 1 if the median is unknown or the value
/// exceeds it by less than `p_min_difference`.
double ratio_to_median(double p_value, double p_median, double p_min_difference)
{
    if (p_median <= 0 || p_value - p_median < p_min_difference)
    {
        return 1;
    }
    return p_value / p_median;
}

} // namespace

void backend_table::record_first_token(backend_index p_backend, duration p_time,
                                       time_point p_now)
{
    backend_state& state = backends_[p_backend.value()];
    state.first_token_s_.add(to_seconds(p_time));
    state.last_output_ = p_now;
}

void backend_table::record_token_gap(backend_index p_backend, double p_seconds,
                                     time_point p_now)
{
    backend_state& state = backends_[p_backend.value()];
    state.token_gap_s_.add(p_seconds);
    state.last_output_ = p_now;
}

void backend_table::record_silence(backend_index p_backend, duration p_time)
{
    backends_[p_backend.value()].token_gap_s_.add(to_seconds(p_time));
}

void backend_table::record_left_silent(backend_index p_backend,
                                       time_point p_now)
{
    backends_[p_backend.value()].left_silent_at_ = p_now;
}

bool backend_table::was_left_silent(backend_index p_backend,
                                    time_point p_now) const
{
    const auto& left_at = backends_[p_backend.value()].left_silent_at_;
    return left_at && p_now - *left_at < left_silent_lifetime &&
           !had_output_since(p_backend, *left_at);
}

void backend_table::detect_slow_backends(const catalogue& p_catalogue,
                                         time_point p_now)
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
            detect_slow_in_pool(p_catalogue, pool_index(i), members[i], p_now);
        }
    }
}

void backend_table::detect_slow_in_pool(
    const catalogue&, pool_index p_pool,
    const std::vector<backend_index>& p_members, time_point p_now)
{
    std::vector<double> first_tokens;
    std::vector<double> gaps;
    for (const backend_index member : p_members)
    {
        const backend_state& state = backends_[member.value()];
        if (state.first_token_s_.count() >= min_samples)
        {
            first_tokens.push_back(state.first_token_s_.value());
        }
        if (state.token_gap_s_.count() >= min_samples)
        {
            gaps.push_back(state.token_gap_s_.value());
        }
    }
    pool_medians& medians = pools_[p_pool.value()];
    medians.first_token_s_ = median_of(first_tokens);
    medians.token_gap_s_ = median_of(gaps);
    std::vector<backend_index> slowest_first = p_members;
    for (const backend_index member : p_members)
    {
        // The time to first token includes the engine's queue. Only the time
        // between tokens tells a slow engine from a busy one.
        backend_state& state = backends_[member.value()];
        state.slowdown_ = state.token_gap_s_.count() < min_samples
                              ? 1
                              : ratio_to_median(state.token_gap_s_.value(),
                                                medians.token_gap_s_,
                                                min_token_gap_difference_s);
    }
    std::sort(slowest_first.begin(), slowest_first.end(),
              [this](backend_index p_left, backend_index p_right)
              {
                  return backends_[p_left.value()].slowdown_ >
                         backends_[p_right.value()].slowdown_;
              });
    // With too many backend servers on probation, the others would be
    // overloaded.
    const auto max_slow = static_cast<std::size_t>(
        static_cast<double>(p_members.size()) * tuning_.max_slow_fraction_);
    for (std::size_t i = 0; i < slowest_first.size(); ++i)
    {
        backend_state& state = backends_[slowest_first[i].value()];
        const bool slow = i < max_slow && state.slowdown_ > tuning_.slow_ratio_;
        if (slow && !state.slow_)
        {
            state.probe_count_ = 0;
            state.next_probe_ = p_now + tuning_.probe_interval_;
        }
        state.slow_ = slow;
    }
}

std::vector<backend_index> backend_table::slow_backends() const
{
    std::vector<backend_index> list;
    for (std::uint32_t i = 0; i < backends_.size(); ++i)
    {
        if (backends_[i].slow_)
        {
            list.push_back(backend_index(i));
        }
    }
    return list;
}

bool backend_table::is_slow(backend_index p_backend) const
{
    return backends_[p_backend.value()].slow_;
}

void backend_table::record_probe(backend_index p_backend, time_point p_now)
{
    // Each probe gives a caller a slow answer, so the interval grows.
    backend_state& state = backends_[p_backend.value()];
    const unsigned steps = std::min(state.probe_count_, max_backoff_steps);
    state.next_probe_ = p_now + tuning_.probe_interval_ * (1U << (2 * steps));
    ++state.probe_count_;
}

duration backend_table::time_since_probe_due(backend_index p_backend,
                                             time_point p_now) const
{
    return p_now - backends_[p_backend.value()].next_probe_;
}

double backend_table::slowdown(backend_index p_backend, time_point p_now) const
{
    const backend_state& state = backends_[p_backend.value()];
    const bool slow_at_peer = p_now < state.slow_at_peer_until_;
    return slow_at_peer ? std::max(state.slowdown_, tuning_.slow_ratio_)
                        : state.slowdown_;
}

double backend_table::median_first_token_s(pool_index p_pool) const
{
    return pools_[p_pool.value()].first_token_s_;
}

double backend_table::median_token_gap_s(pool_index p_pool) const
{
    return pools_[p_pool.value()].token_gap_s_;
}

} // namespace peridotspar::policy
