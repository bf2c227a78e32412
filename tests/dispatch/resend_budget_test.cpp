#include "dispatch/poison_detector.hpp"
#include "dispatch/resend_budget.hpp"

#include <doctest/doctest.h>

using namespace peridotspar;
using namespace peridotspar::dispatch;
using namespace std::chrono_literals;

TEST_CASE("nodes together keep to the budget for sending again")
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
            budget.note_request(service, start);
            taken += budget.try_consume(service, start) ? 1 : 0;
        }
    }
    CHECK(taken > 0);
    CHECK(taken <= 0.2 * nodes * requests + 50);
}

TEST_CASE("the budget of a service comes back with its window")
{
    const routing::service_name service("s");
    const time_point start{1h};
    resend_budget budget({0, 2, 10s});
    CHECK(budget.try_consume(service, start));
    CHECK_FALSE(budget.try_consume(service, start));
    CHECK(budget.try_consume(routing::service_name("other"), start));
    CHECK(budget.try_consume(service, start + 11s));
}

TEST_CASE("a request that ended three servers is known to all nodes")
{
    const time_point start{1h};
    poison_detector detector;
    detector.note_crash(7, start);
    detector.note_crash(7, start);
    CHECK_FALSE(detector.is_poison(7));
    detector.note_peer_crashes(1, {7, 1}, start);
    detector.note_peer_crashes(1, {7, 1}, start);
    CHECK(detector.is_poison(7));
    CHECK_FALSE(detector.is_poison(8));
    REQUIRE(detector.own_crashes().size() == 1);
    CHECK(detector.own_crashes()[0].crashes_ == 2);
}

TEST_CASE("what ran beside it is acquitted by a good end, and time")
{
    const time_point start{1h};
    poison_detector detector;
    for (int i = 0; i < 3; ++i)
    {
        detector.note_crash(7, start);
        detector.note_crash(8, start);
    }
    detector.note_good_end(7);
    CHECK_FALSE(detector.is_poison(7));
    detector.expire_entries(start + 2min);
    CHECK_FALSE(detector.is_poison(8));
}
