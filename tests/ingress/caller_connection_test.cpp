#include "tests/ingress/router_fixture.hpp"

using namespace peridotspar;
using namespace peridotspar::ingress;
using namespace std::chrono_literals;

TEST_CASE("closing the caller's connection closes the one to the server")
{
    for (const std::string target : {"/once/", "/stream/", "/safe/"})
    {
        router_fixture fixture([](const auto&, auto&) {});
        test_caller caller(fixture.context_, fixture.port_);
        caller.send(router_fixture::request(target));
        REQUIRE(fixture.until([&] { return fixture.request_count() == 1; }));
        caller.close();
        CHECK(fixture.until(
            [&]
            {
                return fixture.first_server_.peer_disconnects_ +
                           fixture.second_server_.peer_disconnects_ ==
                       1;
            }));
        CHECK(fixture.router_.open_requests() == 0);
    }
}

TEST_CASE("slow and idle callers are disconnected after their timeouts")
{
    router_fixture fixture([](const auto&, auto&) {});
    routing::caller_limits limits;
    limits.header_timeout_ = 100ms;
    limits.idle_timeout_ = 200ms;
    fixture.table_->set_limits(limits);
    test_caller slow(fixture.context_, fixture.port_);
    slow.send("POST /once/ HTTP/1.1\r\nHo");
    test_caller idle(fixture.context_, fixture.port_);
    CHECK(fixture.until([&] { return slow.ended_ && idle.ended_; }));
    CHECK(contains(slow.received_, " 408 "));
    CHECK(idle.received_.empty());
}

TEST_CASE(
    "a finished response counts as unsent until it is written to the caller")
{
    router_fixture fixture(
        [](const auto&, auto& r_session) {
            r_session.write(make_response("a1", 200, "x", WIRE_SEAL ": s\r\n"));
        });
    test_caller caller(fixture.context_, fixture.port_);
    caller.send(router_fixture::request("/once/"));
    const auto end = std::chrono::steady_clock::now() + 3s;
    while (
        (fixture.request_count() == 0 || fixture.router_.open_requests() > 0) &&
        std::chrono::steady_clock::now() < end)
    {
        fixture.context_.restart();
        fixture.context_.poll_one();
    }
    REQUIRE(fixture.router_.open_requests() == 0);
    // A node that stopped now would truncate the response.
    CHECK(fixture.listener_.has_unsent_data());
    CHECK(
        fixture.until([&] { return contains(caller.received_, "\r\n\r\nx"); }));
    CHECK_FALSE(fixture.listener_.has_unsent_data());
}

TEST_CASE("at the connection limit the longest idle connection is closed")
{
    router_fixture fixture([](const auto&, auto&) {});
    fixture.listener_.set_max_connections(2);
    test_caller busy(fixture.context_, fixture.port_);
    busy.send(router_fixture::request("/once/"));
    REQUIRE(fixture.until([&] { return fixture.request_count() == 1; }));
    test_caller idle(fixture.context_, fixture.port_);
    REQUIRE(fixture.until([&] { return fixture.listener_.size() == 2; }));
    test_caller late(fixture.context_, fixture.port_);
    CHECK(fixture.until([&] { return idle.ended_; }));
    CHECK_FALSE(busy.ended_);
    CHECK_FALSE(late.ended_);
    // If no connection is idle, the new one is closed.
    late.send("POST");
    test_caller last(fixture.context_, fixture.port_);
    CHECK(fixture.until([&] { return last.ended_; }));
}
