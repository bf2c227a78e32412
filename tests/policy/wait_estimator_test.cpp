#include "policy/wait_estimator.hpp"

#include <doctest/doctest.h>

using namespace peridotspar;
using namespace peridotspar::policy;
using namespace std::chrono_literals;

namespace
{

wait_estimator busy_estimator()
{
    wait_estimator made;
    for (int i = 0; i < 100; ++i)
    {
        made.record_service_time(class_index(0), 2);
    }
    return made;
}

wait_estimator::queue_snapshot snapshot_of(std::uint8_t p_tier,
                                           double p_ahead_s)
{
    wait_estimator::queue_snapshot made;
    made.tier_ = tier(p_tier);
    made.slots_ = 9;
    made.long_slots_ = 5;
    made.minimum_share_ = 1.0 / 9;
    made.minimum_share_slots_ = 1;
    made.work_ahead_s_ = p_ahead_s;
    made.own_tier_work_s_ = p_ahead_s;
    return made;
}

} // namespace

TEST_CASE("the wait is the work ahead divided by the available slots")
{
    const auto estimator = busy_estimator();
    CHECK(estimator.estimate(snapshot_of(0, 16)) == 2s);
    CHECK(estimator.estimate(snapshot_of(0, 0)) == 0s);
    CHECK(wait_estimator().estimate(snapshot_of(0, 16)) == 0s);
}

TEST_CASE("long requests use only the slots for long requests")
{
    const auto estimator = busy_estimator();
    auto snapshot = snapshot_of(0, 16);
    snapshot.lane_ = lane::long_work;
    snapshot.minimum_share_ = 0.2;
    CHECK(estimator.estimate(snapshot) == 4s);
}

TEST_CASE("only running requests of higher tiers change the estimate")
{
    auto estimator = busy_estimator();
    by_lane<unsigned> running{};
    running[4][0] = 8;
    for (int i = 0; i < 2000; ++i)
    {
        estimator.record_running(running);
    }
    CHECK(estimator.estimate(snapshot_of(2, 16)) == 2s);
    running[4][0] = 0;
    running[0][0] = 4;
    for (int i = 0; i < 2000; ++i)
    {
        estimator.record_running(running);
    }
    CHECK(estimator.estimate(snapshot_of(2, 16)) > 3900ms);
}

TEST_CASE("a lower tier waits no longer than for the minimum share")
{
    auto estimator = busy_estimator();
    by_lane<unsigned> running{};
    running[0][0] = 9;
    for (int i = 0; i < 2000; ++i)
    {
        estimator.record_running(running);
    }
    CHECK(estimator.estimate(snapshot_of(3, 4)) == 4s);
    CHECK(estimator.estimate(snapshot_of(0, 4)) < 1s);
}
