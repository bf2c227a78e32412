#include "tests/ingress/router_rig.hpp"

#include <thread>

using namespace peridotspar;
using namespace peridotspar::ingress;
using namespace std::chrono_literals;

TEST_CASE("a failed answer to a safe request is fetched from another server")
{
    router_rig r(
        [](const auto&, auto& r_session)
        { r_session.write(answer("a1", 500, "bad", WIRE_SEAL ": s\r\n")); });
    r.two_.script_ = [](const auto&, auto& r_session)
    { r_session.write(answer("a1", 200, "good", WIRE_SEAL ": s\r\n")); };
    for (int i = 0; i < 5; ++i)
    {
        CHECK(has(r.ask(router_rig::request("/safe/"), "good"), " 200 "));
    }
}

TEST_CASE("work that must not repeat isn't sent again after a cut")
{
    for (const bool reset : {false, true})
    {
        router_rig r([reset](const auto&, auto& r_session)
                     { r_session.close(reset); });
        const std::string got =
            r.ask(router_rig::request("/once/"), "\r\n\r\n");
        CHECK(has(got, " 502 "));
        CHECK_FALSE(has(got, WIRE_SEAL));
        CHECK(r.runs() == 1);
    }
}

TEST_CASE("a server that turned a request away passes it to another, any kind")
{
    for (const std::string target : {"/once/", "/safe/", "/stream/"})
    {
        router_rig r(
            [](const auto&, auto& r_session) {
                r_session.write(answer("a1", 503, "", WIRE_NOT_RUN ": 1\r\n"));
            });
        r.two_.script_ = [](const auto&, auto& r_session)
        { r_session.write(answer("a1", 200, "good", WIRE_SEAL ": s\r\n")); };
        CHECK(has(r.ask(router_rig::request(target), "good"), " 200 "));
    }
}

TEST_CASE("turned away everywhere, it is refused as not run")
{
    router_rig r(
        [](const auto&, auto& r_session)
        { r_session.write(answer("a1", 503, "", WIRE_NOT_RUN ": 1\r\n")); });
    const std::string got = r.ask(router_rig::request("/once/"), "\r\n\r\n");
    CHECK(has(got, " 503 "));
    CHECK(has(got, "Retry-After"));
}

TEST_CASE("a stream that may be resumed goes on elsewhere, event by event")
{
    router_rig r(
        [](const http::request& p_request, auto& r_session)
        {
            const auto* last =
                http::find(p_request.head_.headers_, WIRE_LAST_EVENT);
            if (last == nullptr)
            {
                // It stops in the middle of the third event.
                r_session.write(stream_head + chunk(event(1) + event(2)) +
                                chunk("id: 3\nda"));
                r_session.close(true);
                return;
            }
            CHECK(*last == "2");
            r_session.write(stream_head + chunk(event(3)) + "0\r\n\r\n");
        });
    const std::string got = r.ask(router_rig::request("/resume/"), "0\r\n\r\n");
    CHECK(has(got, "data: 1"));
    CHECK(has(got, event(2)));
    CHECK(has(got, event(3)));
    CHECK_FALSE(has(got, "id: 3\ndaid"));
    CHECK(got.find("HTTP/1.1") == got.rfind("HTTP/1.1"));
    CHECK(r.runs() == 2);
}

TEST_CASE("a silent server loses a request that may run again")
{
    router_rig r([](const auto&, auto&) {});
    r.two_.script_ = [](const auto&, auto& r_session)
    { r_session.write(answer("a1", 200, "good", WIRE_SEAL ": s\r\n")); };
    for (int i = 0; i < 4; ++i)
    {
        CHECK(has(r.ask(router_rig::request("/safe/"), "good"), " 200 "));
    }
}

TEST_CASE("a server that answers each request with a failure is left alone")
{
    router_rig r(
        [](const auto&, auto& r_session)
        { r_session.write(answer("a1", 200, "whole", WIRE_SEAL ": s\r\n")); });
    r.one_.script_ = [](const auto&, auto& r_session)
    { r_session.write(answer("a1", 500, "bad", WIRE_SEAL ": s\r\n")); };
    constexpr int requests = 40;
    for (int i = 0; i < requests; ++i)
    {
        r.ask(router_rig::request("/once/x"), "\r\n\r\n");
    }
    CHECK(r.one_.requests_.size() <= requests / 5);
    CHECK(r.runs() == requests);
}

TEST_CASE("a server that isn't at its address any more gets no second request")
{
    router_rig r(
        [](const auto&, auto& r_session)
        { r_session.write(answer("a1", 200, "whole", WIRE_SEAL ": s\r\n")); });
    // Another server answers there, at once and idle; the right one is slow.
    r.one_.script_ = [](const auto&, auto& r_session)
    { r_session.write(answer("a1", 421, "", WIRE_NOT_RUN ": 1\r\n")); };
    r.two_.script_ = [](const auto&, auto& r_session)
    {
        std::this_thread::sleep_for(60ms);
        r_session.write(answer("a1", 200, "whole", WIRE_SEAL ": s\r\n"));
    };
    constexpr int requests = 12;
    for (int i = 0; i < requests; ++i)
    {
        CHECK(has(r.ask(router_rig::request("/safe/x"), "whole"), "whole"));
    }
    CHECK(r.one_.requests_.size() <= 3);
}

TEST_CASE("a request that never left costs nothing of the budget")
{
    router_rig r(
        [](const auto&, auto& r_session)
        { r_session.write(answer("a1", 200, "whole", WIRE_SEAL ": s\r\n")); },
        {0, 0, 10s});
    r.one_.stop_listening();
    constexpr int requests = 10;
    for (int i = 0; i < requests; ++i)
    {
        CHECK(has(r.ask(router_rig::request("/once/x"), "whole"), "whole"));
    }
    CHECK(r.two_.requests_.size() == requests);
}
