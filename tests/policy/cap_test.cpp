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
            const auto all = nodes(p_nodes);
            const tuning settings;
            int started = 0;
            for (const auto& self : all)
            {
                cap_limiter ledger(settings);
                ledger.configure(one_account(1e9, p_cap));
                ledger.set_nodes(self, all, {self});
                while (ledger.has_credit(account, start))
                {
                    ledger.note_running(account, 1);
                    ++started;
                }
            }
            RC_ASSERT(started == p_cap);
        }));
}

TEST_CASE("an account is held to its rate, and saves little when idle")
{
    const tuning settings;
    cap_limiter ledger(settings);
    ledger.configure(one_account(100, 1000));
    time_point now = start;
    CHECK(ledger.has_credit(account, now));
    now += 60s;
    double used = 0;
    for (int i = 0; i < 1000; ++i)
    {
        while (ledger.has_credit(account, now))
        {
            ledger.charge(account, 5, now);
            used += 5;
        }
        now += 10ms;
    }
    CHECK(used >= 1000);
    CHECK(used <= 1000 + 100 * to_seconds(settings.cap_burst_) + 5);
}

TEST_CASE("a home never grants more than its pool, whatever is asked when")
{
    CHECK(rc::check(
        [](const std::vector<std::pair<std::uint8_t, std::uint16_t>>& p_asks)
        {
            const tuning settings;
            cap_allocator home(settings);
            const auto known = one_account(600, 40);
            struct held
            {
                double rate_ = 0;
                std::uint32_t concurrent_ = 0;
                time_point until_{};
            };
            std::map<std::uint8_t, held> grants;
            time_point now = start;
            for (const auto& [who, wanted] : p_asks)
            {
                const std::uint8_t node = who % 9;
                now += std::chrono::milliseconds(who);
                const auto answer = home.allocate(
                    node_id(std::to_string(node)),
                    {{account, static_cast<double>(wanted), wanted % 64U}},
                    known, 1, now);
                grants[node] = {answer[0].tokens_per_s_, answer[0].concurrent_,
                                now + settings.cap_grant_lifetime_};
                double rate = 0;
                std::uint32_t concurrent = 0;
                for (const auto& [other, grant] : grants)
                {
                    rate += now < grant.until_ ? grant.rate_ : 0;
                    concurrent += now < grant.until_ ? grant.concurrent_ : 0;
                }
                RC_ASSERT(rate <= 600 + 1e-6);
                RC_ASSERT(concurrent <= 40U);
            }
        }));
}

TEST_CASE("a grant replaces the static share until it lapses")
{
    const tuning settings;
    cap_limiter ledger(settings);
    ledger.configure(one_account(900, 9));
    ledger.set_nodes(node_id("n0"), nodes(9), nodes(9));
    ledger.apply({{account, 600, 6}}, start);
    for (int i = 0; i < 6; ++i)
    {
        CHECK(ledger.has_credit(account, start + 100ms));
        ledger.note_running(account, 1);
    }
    CHECK_FALSE(ledger.has_credit(account, start + 100ms));
    ledger.note_running(account, -5);
    CHECK_FALSE(ledger.has_credit(account, start + 2s));
    ledger.note_running(account, -1);
    CHECK(ledger.has_credit(account, start + 2s));
}
