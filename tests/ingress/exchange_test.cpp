#include "tests/ingress/router_fixture.hpp"

#include <thread>

using namespace peridotspar;
using namespace peridotspar::ingress;
using namespace std::chrono_literals;

TEST_CASE("a failed answer to a safe request is fetched from another server")
{
    router_fixture fixture(
        [](const auto&, auto& r_session) {
            r_session.write(
                make_response("a1", 500, "bad", WIRE_SEAL ": s\r\n"));
        });
    fixture.second_server_.script_ = [](const auto&, auto& r_session)
    { r_session.write(make_response("a1", 200, "good", WIRE_SEAL ": s\r\n")); };
    for (int i = 0; i < 5; ++i)
    {
        CHECK(contains(fixture.fetch(router_fixture::request("/safe/"), "good"),
                       " 200 "));
    }
}

TEST_CASE("work that must not repeat isn't sent again after a cut")
{
    for (const bool reset : {false, true})
    {
        router_fixture fixture([reset](const auto&, auto& r_session)
                               { r_session.close(reset); });
        const std::string response =
            fixture.fetch(router_fixture::request("/once/"), "\r\n\r\n");
        CHECK(contains(response, " 502 "));
        CHECK_FALSE(contains(response, WIRE_SEAL));
        CHECK(fixture.request_count() == 1);
    }
}

TEST_CASE("a server that turned a request away passes it to another, any kind")
{
    for (const std::string target : {"/once/", "/safe/", "/stream/"})
    {
        router_fixture fixture(
            [](const auto&, auto& r_session) {
                r_session.write(
                    make_response("a1", 503, "", WIRE_NOT_RUN ": 1\r\n"));
            });
        fixture.second_server_.script_ = [](const auto&, auto& r_session) {
            r_session.write(
                make_response("a1", 200, "good", WIRE_SEAL ": s\r\n"));
        };
        CHECK(contains(fixture.fetch(router_fixture::request(target), "good"),
                       " 200 "));
    }
}

TEST_CASE("turned away everywhere, it is refused as not run")
{
    router_fixture fixture(
        [](const auto&, auto& r_session) {
            r_session.write(
                make_response("a1", 503, "", WIRE_NOT_RUN ": 1\r\n"));
        });
    const std::string response =
        fixture.fetch(router_fixture::request("/once/"), "\r\n\r\n");
    CHECK(contains(response, " 503 "));
    CHECK(contains(response, "Retry-After"));
}

TEST_CASE("a stream that may be resumed goes on elsewhere, event by event")
{
    router_fixture fixture(
        [](const http::request& p_request, auto& r_session)
        {
            const auto* last =
                http::find_header(p_request.head_.headers_, WIRE_LAST_EVENT);
            if (last == nullptr)
            {
                // It stops in the middle of the third event.
                r_session.write(stream_response_head +
                                make_chunk(make_event(1) + make_event(2)) +
                                make_chunk("id: 3\nda"));
                r_session.close(true);
                return;
            }
            CHECK(*last == "2");
            r_session.write(stream_response_head + make_chunk(make_event(3)) +
                            "0\r\n\r\n");
        });
    const std::string response =
        fixture.fetch(router_fixture::request("/resume/"), "0\r\n\r\n");
    CHECK(contains(response, "data: 1"));
    CHECK(contains(response, make_event(2)));
    CHECK(contains(response, make_event(3)));
    CHECK_FALSE(contains(response, "id: 3\ndaid"));
    CHECK(response.find("HTTP/1.1") == response.rfind("HTTP/1.1"));
    CHECK(fixture.request_count() == 2);
}

TEST_CASE("a silent server loses a request that may run again")
{
    router_fixture fixture([](const auto&, auto&) {});
    fixture.second_server_.script_ = [](const auto&, auto& r_session)
    { r_session.write(make_response("a1", 200, "good", WIRE_SEAL ": s\r\n")); };
    for (int i = 0; i < 4; ++i)
    {
        CHECK(contains(fixture.fetch(router_fixture::request("/safe/"), "good"),
                       " 200 "));
    }
}

TEST_CASE("a server that answers each request with a failure is left alone")
{
    router_fixture fixture(
        [](const auto&, auto& r_session) {
            r_session.write(
                make_response("a1", 200, "whole", WIRE_SEAL ": s\r\n"));
        });
    fixture.first_server_.script_ = [](const auto&, auto& r_session)
    { r_session.write(make_response("a1", 500, "bad", WIRE_SEAL ": s\r\n")); };
    constexpr int requests = 40;
    for (int i = 0; i < requests; ++i)
    {
        fixture.fetch(router_fixture::request("/once/x"), "\r\n\r\n");
    }
    CHECK(fixture.first_server_.requests_.size() <= requests / 5);
    CHECK(fixture.request_count() == requests);
}

TEST_CASE("a server that isn't at its address any more gets no second request")
{
    router_fixture fixture(
        [](const auto&, auto& r_session) {
            r_session.write(
                make_response("a1", 200, "whole", WIRE_SEAL ": s\r\n"));
        });
    // Another server answers there, at once and idle; the right one is slow.
    fixture.first_server_.script_ = [](const auto&, auto& r_session)
    { r_session.write(make_response("a1", 421, "", WIRE_NOT_RUN ": 1\r\n")); };
    fixture.second_server_.script_ = [](const auto&, auto& r_session)
    {
        std::this_thread::sleep_for(60ms);
        r_session.write(make_response("a1", 200, "whole", WIRE_SEAL ": s\r\n"));
    };
    constexpr int requests = 12;
    for (int i = 0; i < requests; ++i)
    {
        CHECK(
            contains(fixture.fetch(router_fixture::request("/safe/x"), "whole"),
                     "whole"));
    }
    CHECK(fixture.first_server_.requests_.size() <= 3);
}

TEST_CASE("a request that never left costs nothing of the budget")
{
    router_fixture fixture(
        [](const auto&, auto& r_session) {
            r_session.write(
                make_response("a1", 200, "whole", WIRE_SEAL ": s\r\n"));
        },
        {0, 0, 10s});
    fixture.first_server_.stop_listening();
    constexpr int requests = 10;
    for (int i = 0; i < requests; ++i)
    {
        CHECK(
            contains(fixture.fetch(router_fixture::request("/once/x"), "whole"),
                     "whole"));
    }
    CHECK(fixture.second_server_.requests_.size() == requests);
}
