#include "capacity/demand_tracker.hpp"

#include <doctest/doctest.h>

using namespace peridotspar;
using namespace peridotspar::capacity;
using namespace std::chrono_literals;

namespace
{

/// Reports of nodes that each ask for 200 ms of prefill a second.
void report_second(demand_tracker& r_tracker, int p_second, int p_nodes)
{
    for (int node = 0; node < p_nodes; ++node)
    {
        r_tracker.record("n" + std::to_string(node), "1",
                         {{"s", {p_second * 200ms, 3}}},
                         time_point{std::chrono::seconds(p_second)});
    }
}

} // namespace

TEST_CASE("the demand of all nodes is added up as a rate")
{
    demand_tracker tracker;
    for (int second = 1; second <= 10; ++second)
    {
        report_second(tracker, second, 85);
    }
    const auto total = tracker.total("s", time_point{10s});
    CHECK(total.prefill_ms_per_s_ == doctest::Approx(85 * 200));
    CHECK(total.streams_ == 85 * 3);
    CHECK(total.reporting_nodes_ == 85);
    CHECK(tracker.total("other", time_point{10s}).prefill_ms_per_s_ == 0);
}

// Guards against engines that are ordered away because dead nodes' demand, or
// the absence of reports, is taken for what callers want.
TEST_CASE("a node that falls silent counts until it is taken for gone")
{
    demand_tracker tracker;
    report_second(tracker, 1, 4);
    report_second(tracker, 2, 4);
    report_second(tracker, 3, 4);
    const auto silent = tracker.total("s", time_point{6s});
    CHECK(silent.reporting_nodes_ == 4);
    CHECK(silent.oldest_report_age_ == 3s);
    tracker.expire(time_point{9s});
    CHECK(tracker.total("s", time_point{9s}).reporting_nodes_ == 0);
}

TEST_CASE("a restarted node begins anew and late reports change nothing")
{
    demand_tracker tracker;
    tracker.record("n", "1", {{"s", {100s, 1}}}, time_point{1s});
    tracker.record("n", "1", {{"s", {101s, 1}}}, time_point{2s});
    tracker.record("n", "1", {{"s", {100s, 1}}}, time_point{2500ms});
    CHECK(tracker.total("s", time_point{3s}).prefill_ms_per_s_ ==
          doctest::Approx(500));
    tracker.record("n", "2", {{"s", {1s, 1}}}, time_point{3s});
    CHECK(tracker.total("s", time_point{3s}).prefill_ms_per_s_ == 0);
}

TEST_CASE("only prompt parts in repeated use count as shared")
{
    working_set parts;
    parts.record(1, 13'300, time_point{1s});
    CHECK(parts.tokens() == 0);
    parts.record(1, 13'300, time_point{2s});
    parts.record(1, 13'300, time_point{3s});
    parts.record(2, 6'300, time_point{3s});
    CHECK(parts.tokens() == 13'300);
    parts.expire(time_point{22s});
    CHECK(parts.tokens() == 13'300);
    parts.expire(time_point{24s});
    CHECK(parts.tokens() == 0);
}
