#include "policy/cap_allocator.hpp"
#include "policy/cap_limiter.hpp"

#include <numeric>

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace peridotspar;
using namespace peridotspar::policy;
using namespace std::chrono_literals;

namespace
{

catalogue one_account(double p_rate, std::uint32_t p_concurrent)
{
    catalogue made;
    made.accounts_ = {{"a", p_rate, p_concurrent, 1}};
    return made;
}

std::vector<node_id> nodes(std::size_t p_count)
{
    std::vector<node_id> list;
    for (std::size_t i = 0; i < p_count; ++i)
    {
        list.emplace_back("n" + std::to_string(i));
    }
    return list;
}

const time_point start{1h};
const account_index account(0);

} // namespace

TEST_CASE("static shares of a concurrent cap add up to the cap")
{
    CHECK(rc::check(
        [](const std::uint8_t p_nodes, const std::uint8_t p_cap)
        {
            RC_PRE(p_nodes > 0);
            const auto listed = nodes(p_nodes);
            const tuning settings;
            int started = 0;
            for (const auto& self : listed)
            {
                cap_limiter limiter(settings);
                limiter.configure(one_account(1e9, p_cap));
                limiter.set_nodes(self, listed, {self});
                while (limiter.has_credit(account, start))
                {
                    limiter.adjust_running(account, 1);
                    ++started;
                }
            }
            RC_ASSERT(started == p_cap);
        }));
}

TEST_CASE("an account keeps to its rate and saves only the burst when idle")
{
    const tuning settings;
    cap_limiter limiter(settings);
    limiter.configure(one_account(100, 1000));
    time_point now = start;
    CHECK(limiter.has_credit(account, now));
    now += 60s;
    double used = 0;
    for (int i = 0; i < 1000; ++i)
    {
        while (limiter.has_credit(account, now))
        {
            limiter.charge(account, 5, now);
            used += 5;
        }
        now += 10ms;
    }
    CHECK(used >= 1000);
    CHECK(used <= 1000 + 100 * to_seconds(settings.cap_burst_) + 5);
}

TEST_CASE("unexpired grants never exceed the cap, for any sequence of claims")
{
    CHECK(rc::check(
        [](const std::vector<std::pair<std::uint8_t, std::uint16_t>>& p_claims)
        {
            const tuning settings;
            cap_allocator allocator(settings);
            const auto known = one_account(600, 40);
            struct active_grant
            {
                double rate_ = 0;
                std::uint32_t concurrent_ = 0;
                time_point expires_at_{};
            };
            std::map<std::uint8_t, active_grant> grants;
            time_point now = start;
            for (const auto& [claimant, wanted] : p_claims)
            {
                const std::uint8_t node = claimant % 9;
                now += std::chrono::milliseconds(claimant);
                const auto answer = allocator.allocate(
                    node_id(std::to_string(node)),
                    {{account, static_cast<double>(wanted), wanted % 64U}},
                    known, 1, now);
                grants[node] = {answer[0].tokens_per_s_, answer[0].concurrent_,
                                now + settings.cap_grant_lifetime_};
                double rate = 0;
                std::uint32_t concurrent = 0;
                for (const auto& [other, grant] : grants)
                {
                    rate += now < grant.expires_at_ ? grant.rate_ : 0;
                    concurrent +=
                        now < grant.expires_at_ ? grant.concurrent_ : 0;
                }
                RC_ASSERT(rate <= 600 + 1e-6);
                RC_ASSERT(concurrent <= 40U);
            }
        }));
}

TEST_CASE("a grant replaces the static share until it expires")
{
    const tuning settings;
    cap_limiter limiter(settings);
    limiter.configure(one_account(900, 9));
    limiter.set_nodes(node_id("n0"), nodes(9), nodes(9));
    limiter.apply_grants({{account, 600, 6}}, start);
    for (int i = 0; i < 6; ++i)
    {
        CHECK(limiter.has_credit(account, start + 100ms));
        limiter.adjust_running(account, 1);
    }
    CHECK_FALSE(limiter.has_credit(account, start + 100ms));
    limiter.adjust_running(account, -5);
    CHECK_FALSE(limiter.has_credit(account, start + 2s));
    limiter.adjust_running(account, -1);
    CHECK(limiter.has_credit(account, start + 2s));
}
