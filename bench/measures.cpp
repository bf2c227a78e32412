#include "bench/measures.hpp"

#include <algorithm>
#include <cmath>
#include <vector>

namespace peridotspar::bench
{

namespace
{

using policy::refusal;

bool met_latency_targets(const scenario& p_scenario,
                         const request_history& p_request)
{
    if (!p_request.completed_)
    {
        return false;
    }
    const auto& request_class =
        p_scenario.catalogue_.classes_[p_request.plan_.class_];
    const duration first_token_delay =
        p_request.first_token_ - p_request.plan_.arrival_time_;
    const auto gap_count =
        std::max<std::uint32_t>(1, p_request.delivered_tokens_ - 1);
    const double gap_s =
        to_seconds(p_request.last_token_ - p_request.first_token_) / gap_count;
    return first_token_delay <= request_class.first_token_target_ &&
           gap_s <= to_seconds(request_class.inter_token_target_);
}

double quantile(std::vector<double> p_values, double p_fraction)
{
    if (p_values.empty())
    {
        return 0;
    }
    std::sort(p_values.begin(), p_values.end());
    const auto index = static_cast<std::size_t>(
        std::ceil(p_fraction * static_cast<double>(p_values.size())) - 1);
    return p_values[std::min(index, p_values.size() - 1)];
}

void measure_attainment(const scenario& p_scenario, const history& p_history,
                        std::map<std::string, double>& r_measures)
{
    std::map<unsigned, std::pair<double, double>> by_tier;
    for (const auto& request : p_history.requests_)
    {
        // An account agreed to wait for its own cap, and poison requests
        // are meant to be refused, so that neither counts.
        if (request.hit_cap_ || (request.refused_ && request.plan_.poison_))
        {
            continue;
        }
        auto& [met, total] = by_tier[request.tier_.value()];
        total += 1;
        met += met_latency_targets(p_scenario, request) ? 1 : 0;
    }
    for (const auto& [level, counts] : by_tier)
    {
        r_measures["attainment_" + std::to_string(level)] =
            counts.first / counts.second;
    }
}

void measure_tokens(const scenario& p_scenario, const history& p_history,
                    std::map<std::string, double>& r_measures)
{
    double met = 0;
    double whole = 0;
    for (const auto& request : p_history.requests_)
    {
        if (!request.completed_)
        {
            continue;
        }
        whole += request.delivered_tokens_;
        if (met_latency_targets(p_scenario, request))
        {
            met += request.delivered_tokens_;
        }
    }
    const auto generated = static_cast<double>(p_history.generated_tokens_);
    r_measures["goodput"] = met / to_seconds(p_scenario.load_time_);
    r_measures["wasted"] = generated <= 0 ? 0 : 1 - whole / generated;
}

void measure_first_tokens(const scenario& p_scenario, const history& p_history,
                          std::map<std::string, double>& r_measures)
{
    std::vector<double> first_token_delay;
    for (const auto& request : p_history.requests_)
    {
        const auto& request_class =
            p_scenario.catalogue_.classes_[request.plan_.class_];
        if (request.completed_ &&
            (p_scenario.short_class_.empty() ||
             request_class.name_ == p_scenario.short_class_))
        {
            first_token_delay.push_back(
                to_ms(request.first_token_ - request.plan_.arrival_time_));
        }
    }
    r_measures["p99_first_token_short"] = quantile(first_token_delay, 0.99);
    r_measures["p50_first_token_short"] = quantile(first_token_delay, 0.5);
}

/// Measures the longest time that a class with demand was not served: between
/// two consecutive first dispatches of the class, or from the arrival of a
/// request that was never refused to its first dispatch.
void measure_waits(const scenario& p_scenario, const history& p_history,
                   std::map<std::string, double>& r_measures)
{
    double longest = 0;
    const std::size_t classes = p_scenario.catalogue_.classes_.size();
    for (std::uint32_t i = 0; i < classes; ++i)
    {
        std::vector<time_point> dispatch_times;
        time_point first_arrival = time_point::max();
        time_point last_arrival{};
        for (const auto& request : p_history.requests_)
        {
            if (request.plan_.class_ != i)
            {
                continue;
            }
            first_arrival =
                std::min(first_arrival, request.plan_.arrival_time_);
            last_arrival = std::max(last_arrival, request.plan_.arrival_time_);
            if (request.dispatched_)
            {
                dispatch_times.push_back(request.first_dispatch_);
                longest = std::max(
                    longest, request.refusals_ > 0
                                 ? 0
                                 : to_seconds(request.first_dispatch_ -
                                              request.plan_.arrival_time_));
            }
        }
        if (first_arrival == time_point::max())
        {
            continue;
        }
        std::sort(dispatch_times.begin(), dispatch_times.end());
        dispatch_times.push_back(std::max(last_arrival, first_arrival));
        time_point previous = first_arrival;
        for (const time_point dispatch_time : dispatch_times)
        {
            // The wait starts with the first request that arrived in the gap.
            time_point first_demand = time_point::max();
            for (const auto& request : p_history.requests_)
            {
                if (request.plan_.class_ == i &&
                    request.plan_.arrival_time_ >= previous &&
                    request.plan_.arrival_time_ < dispatch_time)
                {
                    first_demand = request.plan_.arrival_time_;
                    break;
                }
            }
            if (first_demand < dispatch_time)
            {
                longest =
                    std::max(longest, to_seconds(dispatch_time - first_demand));
            }
            previous = std::max(previous, dispatch_time);
        }
    }
    r_measures["longest_wait"] = longest;
}

/// Measures the highest use above a cap in any window of 10 s throughout which
/// other accounts had waiting requests; use of idle capacity is allowed.
/// Accounts without a cap are left out in effect, as theirs defaults to 1e9.
void measure_cap_excess(const scenario& p_scenario, const history& p_history,
                        std::map<std::string, double>& r_measures)
{
    constexpr std::size_t window_samples = 100;
    double worst_excess = -1;
    for (std::size_t i = 0; i < p_history.account_tokens_.size(); ++i)
    {
        const double cap =
            p_scenario.catalogue_.accounts_[i].cap_tokens_per_s_ *
            static_cast<double>(window_samples) * to_seconds(sample_interval);
        const auto& tokens = p_history.account_tokens_[i];
        for (std::size_t start = 0; start + window_samples <= tokens.size();
             ++start)
        {
            double used = 0;
            bool always_contended = true;
            for (std::size_t j = start; j < start + window_samples; ++j)
            {
                used += tokens[j];
                always_contended =
                    always_contended && p_history.others_waiting_[i][j];
            }
            if (always_contended)
            {
                worst_excess = std::max(worst_excess, used / cap - 1);
            }
        }
    }
    r_measures["over_cap"] = worst_excess;
}

} // namespace

std::map<std::string, double> measure(const scenario& p_scenario,
                                      const history& p_history)
{
    std::map<std::string, double> measures;
    measure_attainment(p_scenario, p_history, measures);
    measure_tokens(p_scenario, p_history, measures);
    measure_first_tokens(p_scenario, p_history, measures);
    measure_waits(p_scenario, p_history, measures);
    measure_cap_excess(p_scenario, p_history, measures);
    double preemptions = 0;
    double refusals = 0;
    double over_cap = 0;
    double second_runs = 0;
    for (const auto& request : p_history.requests_)
    {
        preemptions += request.preemptions_;
        refusals += request.refused_ ? 1 : 0;
        over_cap +=
            request.refused_ && request.refusal_reason_ == refusal::over_cap
                ? 1
                : 0;
        second_runs +=
            !request.plan_.idempotent_ && request.executions_ > 1 ? 1 : 0;
    }
    measures["requests"] = static_cast<double>(p_history.requests_.size());
    measures["refused"] = refusals;
    measures["refused_over_cap"] = over_cap;
    measures["preemptions"] = preemptions;
    measures["second_runs"] = second_runs;
    measures["crashes"] = static_cast<double>(p_history.crashes_);
    measures["violations"] = static_cast<double>(p_history.violations_.size());
    return measures;
}

} // namespace peridotspar::bench
