#include "tests/ingress/router_fixture.hpp"

#include <optional>
#include <thread>

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

namespace
{

/// A caller that has got an answer and whose connection is idle.
struct idle_fixture : router_fixture
{
    explicit idle_fixture(duration p_idle_timeout)
        : router_fixture(
              [](const auto&, auto& r_session) {
                  r_session.write(
                      make_response("a1", 200, "x", WIRE_SEAL ": s\r\n"));
              })
    {
        set_timeouts(2000ms, p_idle_timeout);
        caller_.emplace(context_, port_);
        REQUIRE(is_answered());
    }
    void set_timeouts(duration p_header, duration p_idle)
    {
        routing::caller_limits limits;
        limits.header_timeout_ = p_header;
        limits.idle_timeout_ = p_idle;
        table_->set_limits(limits);
    }
    void run_for(duration p_time)
    {
        const time_point end = boot_clock().now() + p_time;
        until([&] { return caller_->ended_ || boot_clock().now() >= end; });
    }
    bool is_answered(const std::string& p_request = request("/once/"))
    {
        caller_->received_.clear();
        caller_->send(p_request);
        until(
            [&] {
                return caller_->ended_ ||
                       contains(caller_->received_, "\r\n\r\nx");
            });
        return contains(caller_->received_, "\r\n\r\nx");
    }

    std::optional<test_caller> caller_;
};

} // namespace

TEST_CASE("a shortened idle limit doesn't close connections that became idle "
          "before")
{
    idle_fixture r(2000ms);
    r.set_timeouts(2000ms, 50ms);
    r.run_for(150ms);
    CHECK_FALSE(r.caller_->ended_);
    REQUIRE(r.is_answered());
    // From now on the caller is bound by the new limit.
    CHECK(r.until([&] { return r.caller_->ended_; }));
}

TEST_CASE("shortened limits don't end a request that is being received")
{
    idle_fixture r(2000ms);
    const std::string request = router_fixture::request("/once/");
    for (const std::size_t split : {std::size_t(10), request.size() - 1})
    {
        CAPTURE(split);
        r.set_timeouts(2000ms, 2000ms);
        r.run_for(20ms);
        r.caller_->send(request.substr(0, split));
        r.run_for(50ms);
        r.set_timeouts(50ms, 50ms);
        r.run_for(150ms);
        REQUIRE_FALSE(r.caller_->ended_);
        REQUIRE(r.is_answered(request.substr(split)));
    }
}

TEST_CASE("a request that arrived while the node stood still is served")
{
    idle_fixture r(50ms);
    for (const std::string first : {"", "POST /once/ HT"})
    {
        CAPTURE(first);
        r.caller_->send(first);
        r.run_for(20ms);
        const std::string request = router_fixture::request("/once/");
        r.caller_->send(request.substr(first.size()));
        // The next tick is late and comes before the bytes are read.
        std::this_thread::sleep_for(100ms);
        r.listener_.tick(boot_clock().now());
        r.caller_->received_.clear();
        r.until(
            [&] {
                return r.caller_->ended_ ||
                       contains(r.caller_->received_, "\r\n\r\nx");
            });
        REQUIRE(contains(r.caller_->received_, "\r\n\r\nx"));
    }
}
