// Measures the time of one dispatch decision for several numbers of engines and
// client accounts.

#include "policy/decider.hpp"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <random>

namespace
{

using namespace peridotspar;
using namespace peridotspar::policy;
using steady = std::chrono::steady_clock;

constexpr std::uint32_t pool_count = 21;
constexpr int warm_up_requests = 2000;
constexpr int measured_requests = 20000;

std::shared_ptr<catalogue> make_catalogue(std::uint32_t p_engines,
                                          std::uint32_t p_accounts)
{
    auto created = std::make_shared<catalogue>();
    for (std::uint8_t i = 0; i < tier_count; ++i)
    {
        created->classes_.push_back(
            {"c" + std::to_string(i), tier(i),
             std::chrono::milliseconds(1800 * (i + 1)),
             std::chrono::milliseconds(34),
             std::chrono::milliseconds(1500 * (i + 1))});
    }
    for (std::uint32_t i = 0; i < p_accounts; ++i)
    {
        created->accounts_.push_back(
            {"a" + std::to_string(i), 1e9, 1000000, 1});
    }
    const std::uint32_t pools = std::min(pool_count, p_engines);
    for (std::uint32_t i = 0; i < pools; ++i)
    {
        created->pools_.push_back({"p" + std::to_string(i), true});
    }
    for (std::uint32_t i = 0; i < p_engines; ++i)
    {
        created->backends_.push_back({"e" + std::to_string(i),
                                      128,
                                      failure_domain_id("fd"),
                                      true,
                                      {pool_index(i % pools)},
                                      ""});
    }
    return created;
}

struct timing
{
    double median_us_ = 0; ///< Of the decisions.
    double p99_us_ = 0;
    double tick_us_ = 0; ///< Mean time of a clock tick.
};

/// Keeps `open_requests` requests running and measures the decision on each
/// arriving one.
timing measure(std::uint32_t p_engines, std::uint32_t p_accounts)
{
    constexpr std::size_t open_requests = 250;
    decider policy_under_test(node_id("n0"), failure_domain_id("fd"), 1);
    std::vector<action> actions;
    time_point now{std::chrono::hours(1)};
    policy_under_test.handle(
        catalogue_changed{make_catalogue(p_engines, p_accounts)}, now, actions);
    std::mt19937 random(1);
    std::deque<attempt_id> running;
    std::vector<double> decision_us;
    std::vector<double> tick_us;
    const std::uint32_t pools = std::min(pool_count, p_engines);
    for (int i = 0; i < warm_up_requests + measured_requests; ++i)
    {
        now += std::chrono::milliseconds(1);
        actions.clear();
        request arriving;
        arriving.id_ = request_id(static_cast<std::uint64_t>(i + 1));
        arriving.account_ =
            account_index(static_cast<std::uint32_t>(random() % p_accounts));
        arriving.class_ =
            class_index(static_cast<std::uint32_t>(random() % tier_count));
        arriving.pool_ =
            pool_index(static_cast<std::uint32_t>(random() % pools));
        arriving.prompt_tokens_ = 200;
        arriving.fingerprint_ = fingerprint(random());
        const auto started = steady::now();
        policy_under_test.handle(request_arrived{arriving}, now, actions);
        const double elapsed_us =
            std::chrono::duration<double, std::micro>(steady::now() - started)
                .count();
        if (i >= warm_up_requests)
        {
            decision_us.push_back(elapsed_us);
        }
        for (const auto& next_action : actions)
        {
            if (const auto* sent = std::get_if<dispatch>(&next_action))
            {
                running.push_back(sent->attempt_);
            }
        }
        while (running.size() > open_requests)
        {
            policy_under_test.handle(output_received{running.front(), 20}, now,
                                     actions);
            policy_under_test.handle(
                attempt_ended{running.front(), attempt_result::completed}, now,
                actions);
            running.pop_front();
        }
        if (i % 20 == 0)
        {
            const auto tick_started = steady::now();
            policy_under_test.handle(clock_ticked{}, now, actions);
            tick_us.push_back(std::chrono::duration<double, std::micro>(
                                  steady::now() - tick_started)
                                  .count());
        }
    }
    std::sort(decision_us.begin(), decision_us.end());
    double tick_sum = 0;
    for (const double tick_time : tick_us)
    {
        tick_sum += tick_time;
    }
    return {decision_us[decision_us.size() / 2],
            decision_us[decision_us.size() * 99 / 100],
            tick_sum / static_cast<double>(tick_us.size())};
}

} // namespace

int main()
{
    for (const std::uint32_t accounts : {10U, 1000U})
    {
        for (const std::uint32_t engines : {10U, 100U, 710U})
        {
            const timing result = measure(engines, accounts);
            std::printf("bench=decision engines=%u accounts=%u "
                        "median_us=%.2f p99_us=%.2f mean_tick_us=%.1f\n",
                        engines, accounts, result.median_us_, result.p99_us_,
                        result.tick_us_);
        }
    }
    return 0;
}
