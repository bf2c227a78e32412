#include "dispatch/server_health.hpp"

#include <doctest/doctest.h>

using namespace peridotspar;
using namespace peridotspar::dispatch;
using namespace std::chrono_literals;

namespace
{

const time_point start{1h};

}

TEST_CASE("the failure share is an average that decays over time")
{
    server_health health;
    CHECK(health.failure_share(start) == 0);
    health.record_failure(start);
    const double once = health.failure_share(start);
    CHECK(once > 0.2);
    health.record_success(start);
    CHECK(health.failure_share(start) < once);
    CHECK(health.failure_share(start) > 0);
    health.record_failure(start);
    CHECK(health.failure_share(start) > once);
    CHECK(health.failure_share(start + 30s) < 0.05);
}
