#include "dispatch/handover_policy.hpp"

#include <doctest/doctest.h>

using namespace peridotspar;
using namespace peridotspar::dispatch;
using namespace std::chrono_literals;

namespace
{

const time_point start{1h};
const routing::service_name service("s");
const routing::service_name other("t");
const failure_domain_id own("d");

handover_peer peer(const std::string& p_address,
                   const failure_domain_id& p_domain = own)
{
    return {p_address, p_domain, true, {}};
}

} // namespace

TEST_CASE(
    "requests are handed over to peers that take them and reach the service")
{
    handover_policy policy(own, 1);
    CHECK_FALSE(policy.choose(service, {}, start));
    auto lost = peer("a");
    lost.lost_services_.insert(service);
    auto leaving = peer("b");
    leaving.takes_requests_ = false;
    policy.set_peers({lost, leaving});
    CHECK_FALSE(policy.choose(service, {}, start));
    CHECK(policy.choose(other, {}, start) == "a");
    CHECK(policy.count_lost(service) == 1);
    policy.set_peers({lost, leaving, peer("c")});
    CHECK(policy.choose(service, {}, start) == "c");
    CHECK_FALSE(policy.choose(service, {"c"}, start));
}

TEST_CASE(
    "handed-over requests are spread, the own failure domain's peers first")
{
    handover_policy policy(own, 1);
    const failure_domain_id far("e");
    policy.set_peers({peer("a"), peer("b"), peer("x", far), peer("y", far)});
    std::map<std::string, int> sent;
    for (int i = 0; i < 6; ++i)
    {
        const auto chosen = policy.choose(service, {}, start);
        REQUIRE(chosen);
        policy.record_sent(*chosen);
        ++sent[*chosen];
    }
    CHECK(sent["a"] == 3);
    CHECK(sent["b"] == 3);
    for (int i = 0; i < 40; ++i)
    {
        const auto chosen = policy.choose(service, {}, start);
        policy.record_sent(*chosen);
        ++sent[*chosen];
    }
    for (const auto& [address, count] : sent)
    {
        CHECK(count >= 9);
        CHECK(count <= 14);
    }
}

TEST_CASE("a peer that failed or reached nothing is left alone for a moment")
{
    handover_policy policy(own, 1);
    policy.set_peers({peer("a")});
    policy.record_sent("a");
    policy.record_end("a", service, handover_result::unreachable, start);
    CHECK_FALSE(policy.choose(service, {}, start + 100ms));
    CHECK(policy.choose(other, {}, start + 100ms));
    CHECK(policy.choose(service, {}, start + 600ms));
    policy.record_sent("a");
    policy.record_end("a", service, handover_result::failed, start + 600ms);
    CHECK_FALSE(policy.choose(other, {}, start + 700ms));
    CHECK(policy.choose(other, {}, start + 2s));
    CHECK(policy.in_flight() == 0);
}
