#include "tests/ingress/router_rig.hpp"

using namespace peridotspar;
using namespace peridotspar::ingress;
using namespace std::chrono_literals;

TEST_CASE("a caller that leaves has its work ended at the server")
{
    for (const std::string target : {"/once/", "/stream/", "/safe/"})
    {
        router_rig r([](const auto&, auto&) {});
        test_caller caller(r.context_, r.port_);
        caller.send(router_rig::request(target));
        REQUIRE(r.until([&] { return r.runs() == 1; }));
        caller.close();
        CHECK(r.until([&] { return r.one_.closed_ + r.two_.closed_ == 1; }));
        CHECK(r.router_.open() == 0);
    }
}

TEST_CASE("callers that send slowly or nothing are let go in time")
{
    router_rig r([](const auto&, auto&) {});
    routing::caller_limits limits;
    limits.header_timeout_ = 100ms;
    limits.idle_timeout_ = 200ms;
    r.table_->set_limits(limits);
    test_caller half(r.context_, r.port_);
    half.send("POST /once/ HTTP/1.1\r\nHo");
    test_caller idle(r.context_, r.port_);
    CHECK(r.until([&] { return half.ended_ && idle.ended_; }));
    CHECK(has(half.received_, " 408 "));
    CHECK(idle.received_.empty());
}

TEST_CASE("an answer that ended counts as unsent until its caller has it")
{
    router_rig r(
        [](const auto&, auto& r_session)
        { r_session.write(answer("a1", 200, "x", WIRE_SEAL ": s\r\n")); });
    test_caller caller(r.context_, r.port_);
    caller.send(router_rig::request("/once/"));
    const auto end = std::chrono::steady_clock::now() + 3s;
    while ((r.runs() == 0 || r.router_.open() > 0) &&
           std::chrono::steady_clock::now() < end)
    {
        r.context_.restart();
        r.context_.poll_one();
    }
    REQUIRE(r.router_.open() == 0);
    // A node that stops now would cut the answer.
    CHECK(r.listener_.has_unsent());
    CHECK(r.until([&] { return has(caller.received_, "\r\n\r\nx"); }));
    CHECK_FALSE(r.listener_.has_unsent());
}

TEST_CASE("beyond its connections a node lets the longest idle caller go")
{
    router_rig r([](const auto&, auto&) {});
    r.listener_.set_most(2);
    test_caller busy(r.context_, r.port_);
    busy.send(router_rig::request("/once/"));
    REQUIRE(r.until([&] { return r.runs() == 1; }));
    test_caller idle(r.context_, r.port_);
    REQUIRE(r.until([&] { return r.listener_.size() == 2; }));
    test_caller late(r.context_, r.port_);
    CHECK(r.until([&] { return idle.ended_; }));
    CHECK_FALSE(busy.ended_);
    CHECK_FALSE(late.ended_);
    // With none idle, the new one goes.
    late.send("POST");
    test_caller last(r.context_, r.port_);
    CHECK(r.until([&] { return last.ended_; }));
}
