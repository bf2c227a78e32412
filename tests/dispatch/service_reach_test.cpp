#include "dispatch/service_reach.hpp"

#include <doctest/doctest.h>

using namespace peridotspar;
using namespace peridotspar::dispatch;
using namespace std::chrono_literals;

namespace
{

const time_point start{1h};
const routing::service_name service("s");
const routing::service_name other("t");

service_reach reach_of(std::size_t p_servers)
{
    service_reach reach;
    reach.set_server_count(service, p_servers);
    reach.set_server_count(other, 2);
    return reach;
}

} // namespace

TEST_CASE("a service is lost after failures of two servers in a row")
{
    auto reach = reach_of(3);
    reach.record_failed(service, "a", start);
    reach.record_failed(service, "a", start + 1ms);
    CHECK_FALSE(reach.is_lost(service));
    reach.record_failed(service, "b", start + 2ms);
    CHECK(reach.is_lost(service));
    CHECK_FALSE(reach.is_lost(other));
    reach.record_contact(service, "c", start + 3ms);
    CHECK_FALSE(reach.is_lost(service));
    CHECK(reach.take_changes().size() == 2);
}

TEST_CASE("a service stays reached while any of its servers responds")
{
    auto reach = reach_of(3);
    for (int i = 0; i < 10; ++i)
    {
        reach.record_failed(service, i % 2 == 0 ? "a" : "b", start + i * 10ms);
        reach.record_contact(service, "c", start + i * 10ms + 5ms);
    }
    CHECK_FALSE(reach.is_lost(service));
    reach.record_failed(service, "a", start + 10s);
    reach.record_failed(service, "b", start + 20s);
    CHECK_FALSE(reach.is_lost(service));
}

TEST_CASE("a service's only server is lost with its first failure")
{
    auto reach = reach_of(1);
    reach.record_failed(service, "a", start);
    CHECK(reach.is_lost(service));
}

TEST_CASE("servers of another service say nothing of this one's")
{
    auto reach = reach_of(3);
    reach.record_contact(other, "x", start + 1ms);
    reach.record_contact(other, "y", start + 1ms);
    CHECK_FALSE(reach.other_contact_since(service, "a", start));
    reach.record_contact(service, "a", start + 1ms);
    CHECK_FALSE(reach.other_contact_since(service, "a", start));
    CHECK(reach.other_contact_since(service, "b", start));
    reach.record_contact(service, "b", start + 2ms);
    CHECK(reach.other_contact_since(service, "a", start));
    CHECK(reach.other_contact_since(service, "b", start));
    CHECK_FALSE(reach.other_contact_since(service, "b", start + 1ms));
}
