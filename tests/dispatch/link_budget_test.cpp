#include "dispatch/link_budget.hpp"

#include <doctest/doctest.h>

using namespace peridotspar;
using namespace peridotspar::dispatch;
using namespace std::chrono_literals;

namespace
{

const time_point start = time_point{} + 100s;
constexpr double link_bytes_per_s = 1'250'000;
constexpr std::size_t long_bytes = 17000;

/// Offers more than the link carries for a second; returns the bytes sent.
std::size_t offer_for_a_second(link_budget& r_budget)
{
    std::size_t sent = 0;
    for (time_point now = start; now < start + 1s; now += 1ms)
    {
        while (r_budget.may_send(long_bytes, now) && sent < 100 * long_bytes)
        {
            r_budget.record_sent(long_bytes, now);
            sent += long_bytes;
        }
    }
    return sent;
}

} // namespace

TEST_CASE("long messages get a part of the link and no more")
{
    link_budget budget(link_bytes_per_s);
    const auto sent = static_cast<double>(offer_for_a_second(budget));
    CHECK(sent < 0.8 * link_bytes_per_s);
    CHECK(sent > 0.6 * link_bytes_per_s);
}

TEST_CASE("short messages aren't held behind long ones")
{
    link_budget budget(link_bytes_per_s);
    budget.record_sent(1'000'000, start);
    CHECK_FALSE(budget.may_send(long_bytes, start));
    CHECK(budget.may_send(600, start));
}

TEST_CASE("the wait for the link counts what is sent and what is ahead")
{
    link_budget budget(link_bytes_per_s);
    CHECK(budget.wait(0, start) == 0ms);
    const duration behind_a_second = budget.wait(875'000, start);
    CHECK(behind_a_second > 900ms);
    CHECK(behind_a_second < 1s);
    budget.record_sent(875'000, start);
    CHECK(budget.wait(0, start) == behind_a_second);
    CHECK(budget.wait(0, start + 1s) == 0ms);
}

TEST_CASE("a link of unknown rate limits nothing")
{
    link_budget budget(0);
    budget.record_sent(1U << 30U, start);
    CHECK(budget.may_send(long_bytes, start));
    CHECK(budget.wait(1U << 30U, start) == 0ms);
}
