#include "membership/store_outage.hpp"

#include <doctest/doctest.h>

using namespace peridotspar;
using namespace std::chrono_literals;

namespace
{

const time_point start = time_point{} + 100s;
constexpr duration min_outage = 2400ms;

} // namespace

TEST_CASE("an outage is a long time without a response and with a failure")
{
    store_outage_detector detector(min_outage);
    CHECK_FALSE(detector.record_contact(start));
    detector.record_failure(start + 1s);
    detector.record_failure(start + 500ms);
    const auto outage = detector.record_contact(start + min_outage);
    REQUIRE(outage);
    CHECK(outage->since_contact_ == min_outage);
    CHECK(outage->since_failure_ == min_outage - 1s);
    // It has ended.
    CHECK_FALSE(detector.record_contact(start + 2 * min_outage));
}

// Guards against requests to a removed server (DRAIN): the nodes that followed
// the store had died, and it was taken for away.
TEST_CASE("a time in which nobody asked the store isn't an outage")
{
    store_outage_detector detector(min_outage);
    detector.record_failure(start - 1s);
    CHECK_FALSE(detector.record_contact(start));
    CHECK_FALSE(detector.record_contact(start + 60s));
}

TEST_CASE("an outage that is too short to lapse an entry doesn't count")
{
    store_outage_detector detector(min_outage);
    CHECK_FALSE(detector.record_contact(start));
    detector.record_failure(start + 1s);
    CHECK_FALSE(detector.record_contact(start + min_outage - 1ms));
}

TEST_CASE("a node that the store turns away sees others' contact")
{
    store_outage_detector detector(min_outage);
    for (int i = 0; i < 10; ++i)
    {
        // Others report late, and not in order.
        CHECK_FALSE(detector.record_contact(start + i * 1200ms));
        CHECK_FALSE(detector.record_contact(start + i * 1200ms - 800ms));
        detector.record_failure(start + i * 1200ms + 600ms);
    }
}
