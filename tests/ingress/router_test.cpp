#include "tests/ingress/router_rig.hpp"

using namespace peridotspar;
using namespace peridotspar::ingress;
using namespace std::chrono_literals;

TEST_CASE("an answer reaches its caller unchanged, with its seal")
{
    router_rig r(
        [](const auto&, auto& r_session)
        { r_session.write(answer("a1", 200, "whole", WIRE_SEAL ": s\r\n")); });
    const std::string got = r.ask(router_rig::request("/once/x?q=1"), "whole");
    CHECK(has(got, "HTTP/1.1 200"));
    CHECK(has(got, WIRE_SEAL ": s"));
    REQUIRE(r.runs() == 1);
    const auto& sent =
        r.one_.requests_.empty() ? r.two_.requests_[0] : r.one_.requests_[0];
    CHECK(sent.head_.target_ == "/once/x?q=1");
    CHECK(sent.body_ == "hi");
    CHECK(*http::find(sent.head_.headers_, WIRE_ACCOUNT) == "acc");
    CHECK(http::find(sent.head_.headers_, "Authorization") == nullptr);
}

TEST_CASE("what the configuration doesn't allow is refused before any server")
{
    router_rig r([](const auto&, auto&) {});
    CHECK(has(r.ask(router_rig::request("/none/"), "\r\n\r\n"), " 404 "));
    CHECK(has(r.ask(router_rig::request("/once/", "", "bad"), "\r\n\r\n"),
              " 401 "));
    CHECK(has(r.ask("GET / HTTP/1.1\r\n\r\n", "\r\n\r\n"), " 400 "));
    CHECK(r.runs() == 0);
}

TEST_CASE("a node without configuration or servers says when to come back")
{
    router_rig r([](const auto&, auto&) {});
    r.servers_.clear();
    r.apply();
    const std::string got = r.ask(router_rig::request("/once/"), "\r\n\r\n");
    CHECK(has(got, " 503 "));
    CHECK(has(got, "Retry-After: "));
}

TEST_CASE("a failure of work that must not repeat reaches its caller as it is")
{
    router_rig r(
        [](const auto&, auto& r_session)
        { r_session.write(answer("a1", 500, "bad", WIRE_SEAL ": s\r\n")); });
    const std::string got = r.ask(router_rig::request("/once/"), "bad");
    CHECK(has(got, " 500 "));
    CHECK(has(got, WIRE_SEAL ": s"));
    CHECK(r.runs() == 1);
}

TEST_CASE("an answer that is cut short never looks complete")
{
    router_rig r(
        [](const auto&, auto& r_session)
        {
            r_session.write("HTTP/1.1 200 OK\r\n" WIRE_ATTEMPT
                            ": a1\r\n" WIRE_SEAL
                            ": s\r\nContent-Length: 9\r\n\r\nabc");
            r_session.close();
        });
    const std::string got = r.ask(router_rig::request("/once/"), "\r\n\r\n");
    CHECK(has(got, " 502 "));
    CHECK_FALSE(has(got, WIRE_SEAL));
}

TEST_CASE("a stream is passed on as it comes, and ends only with its end")
{
    scripted_server::session* live = nullptr;
    router_rig r(
        [&](const auto&, auto& r_session)
        {
            live = &r_session;
            r_session.write(stream_head + chunk(event(1)));
        });
    test_caller caller(r.context_, r.port_);
    caller.send(router_rig::request("/stream/"));
    REQUIRE(r.until([&] { return has(caller.received_, "data: 1"); }));
    live->write(chunk(event(2)) + "0\r\n\r\n");
    REQUIRE(r.until([&] { return has(caller.received_, "0\r\n\r\n"); }));
    CHECK(has(caller.received_, "data: 2"));
    CHECK_FALSE(caller.ended_);
}

TEST_CASE("a stream that breaks and can't go on is cut, without its end")
{
    router_rig r(
        [](const auto&, auto& r_session)
        {
            r_session.write(stream_head + chunk(event(1)));
            r_session.close(true);
        });
    const std::string got = r.ask(router_rig::request("/stream/"), "never");
    CHECK_FALSE(has(got, "0\r\n\r\n"));
    CHECK(r.runs() == 1);
}

TEST_CASE("a request whose time is over gets its final answer then")
{
    router_rig r([](const auto&, auto&) {});
    const auto start = boot_clock().now();
    const std::string got = r.ask(router_rig::request("/once/"), "\r\n\r\n");
    CHECK(has(got, " 504 "));
    CHECK(boot_clock().now() - start < 1900ms);
    CHECK(r.runs() == 1);
    CHECK(r.until([&] { return r.one_.closed_ + r.two_.closed_ == 1; }));
}

TEST_CASE("an answer to an abandoned request reaches nobody")
{
    router_rig r(
        [](const auto&, auto& r_session)
        {
            r_session.write(
                answer("gone", 200, "foreign", WIRE_SEAL ": f\r\n"));
            r_session.write(answer("a1", 200, "own", WIRE_SEAL ": s\r\n"));
        });
    const std::string got = r.ask(router_rig::request("/once/"), "own");
    CHECK_FALSE(has(got, "foreign"));
}

TEST_CASE(
    "a leaving node answers and closes, and begins no long work at its end")
{
    router_rig r(
        [](const auto&, auto& r_session)
        { r_session.write(answer("a1", 200, "good", WIRE_SEAL ": s\r\n")); });
    r.router_.set_leaving();
    CHECK(
        has(r.ask(router_rig::request("/once/"), "good"), "Connection: close"));
    r.router_.set_closing();
    CHECK(has(r.ask(router_rig::request("/stream/"), "\r\n\r\n"), " 503 "));
    CHECK(has(r.ask(router_rig::request("/once/"), "good"), " 200 "));
}

TEST_CASE("a success that doesn't bear its server's mark reaches nobody")
{
    router_rig r([](const auto&, auto& r_session)
                 { r_session.write(answer("a1", 200, "unproven")); });
    const std::string got = r.ask(router_rig::request("/once/"), "\r\n\r\n");
    CHECK(has(got, " 502 "));
    CHECK_FALSE(has(got, "unproven"));
    r.two_.script_ = [](const auto&, auto& r_session)
    { r_session.write(answer("a1", 200, "good", WIRE_SEAL ": s\r\n")); };
    for (int i = 0; i < 3; ++i)
    {
        CHECK(has(r.ask(router_rig::request("/safe/"), "good"), " 200 "));
    }
}
