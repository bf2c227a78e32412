#include "dispatch/resend_budget.hpp"

#include <doctest/doctest.h>

using namespace peridotspar;
using namespace peridotspar::dispatch;
using namespace std::chrono_literals;

TEST_CASE("all nodes together stay within the resend budget")
{
    const routing::service_name service("s");
    const time_point start{1h};
    const resend_limits limits{0.2, 50, 10s};
    constexpr int nodes = 7;
    constexpr int requests = 100;
    int taken = 0;
    for (int node = 0; node < nodes; ++node)
    {
        resend_budget budget(limits);
        budget.set_node_count(nodes);
        for (int i = 0; i < requests; ++i)
        {
            budget.record_request(service, start);
            taken += budget.try_consume(service, start) ? 1 : 0;
        }
    }
    CHECK(taken > 0);
    CHECK(taken <= 0.2 * nodes * requests + 50);
}

TEST_CASE("a service's resend budget renews after its window")
{
    const routing::service_name service("s");
    const time_point start{1h};
    resend_budget budget({0, 2, 10s});
    CHECK(budget.try_consume(service, start));
    CHECK_FALSE(budget.try_consume(service, start));
    CHECK(budget.try_consume(routing::service_name("other"), start));
    CHECK(budget.try_consume(service, start + 11s));
}

// Guards against resends that requests of an earlier window allow: they are
// also counted in the window that begins with them, where those are too old.
TEST_CASE("a burst of resends after a crest stays within the bound")
{
    const routing::service_name service("s");
    const time_point start{1h};
    const resend_limits limits{0.2, 50, 10s};
    resend_budget budget(limits);
    constexpr int requests = 1000;
    for (int i = 0; i < requests; ++i)
    {
        budget.record_request(service, start + i * 10ms);
    }
    int taken = 0;
    while (budget.try_consume(service, start + 19900ms))
    {
        ++taken;
    }
    // Ten requests are left in the window before the one that begins here.
    CHECK(taken > 0);
    CHECK(taken <= 0.2 * 10 + 50);
}
