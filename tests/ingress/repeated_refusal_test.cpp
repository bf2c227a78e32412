#include "tests/ingress/router_fixture.hpp"

using namespace peridotspar;
using namespace peridotspar::ingress;
using namespace std::chrono_literals;

namespace
{

const std::string refusal_without_id =
    "HTTP/1.1 503 X\r\n" WIRE_NOT_RUN ": 1\r\nContent-Length: 0\r\n\r\n";

std::string refusal_of(const std::string& p_attempt)
{
    return make_response(p_attempt, 503, "", WIRE_NOT_RUN ": 1\r\n");
}

std::string request_as(const std::string& p_attempt)
{
    std::string text = router_fixture::request("/once/");
    return text.replace(text.find(": a1"), 4, ": " + p_attempt);
}

} // namespace

TEST_CASE("a refusal that doesn't say of which request isn't believed")
{
    router_fixture fixture([](const auto&, auto& r_session)
                           { r_session.write(refusal_without_id); });
    const std::string response =
        fixture.fetch(router_fixture::request("/once/"), "\r\n\r\n");
    CHECK(contains(response, " 502 "));
    CHECK(fixture.request_count() == 1);
}

TEST_CASE("a success that doesn't say of which request isn't delivered")
{
    router_fixture fixture(
        [](const auto&, auto& r_session)
        {
            r_session.write("HTTP/1.1 200 X\r\n" WIRE_SEAL
                            ": s\r\nContent-Length: 5\r\n\r\nother");
        });
    for (const std::string target : {"/once/", "/stream/"})
    {
        CHECK(
            contains(fixture.fetch(router_fixture::request(target), "\r\n\r\n"),
                     " 502 "));
    }
}

TEST_CASE("a connection that brought another request's response isn't reused")
{
    router_fixture fixture(
        [](const http::request& p_request, auto& r_session)
        {
            const auto* attempt =
                http::find_header(p_request.head_.headers_, WIRE_ATTEMPT);
            r_session.write(
                refusal_of("a0") +
                make_response(*attempt, 200, "mine", WIRE_SEAL ": s\r\n"));
        });
    fixture.servers_.erase("i-2");
    fixture.apply();
    for (const std::string attempt : {"a1", "a2"})
    {
        CHECK(contains(fixture.fetch(request_as(attempt), "mine"), " 200 "));
    }
    CHECK(fixture.first_server_.sessions_.size() == 2);
}

TEST_CASE(
    "a refusal that comes again on a kept connection refuses nothing else")
{
    router_fixture fixture(
        [](const http::request& p_request, auto& r_session)
        {
            const auto* attempt =
                http::find_header(p_request.head_.headers_, WIRE_ATTEMPT);
            if (*attempt == "a1")
            {
                r_session.write(refusal_of("a1"));
                return;
            }
            r_session.write(refusal_of("a1"));
            r_session.write(
                make_response(*attempt, 200, "mine", WIRE_SEAL ": s\r\n"));
        });
    fixture.servers_.erase("i-2");
    fixture.apply();
    CHECK(contains(fixture.fetch(request_as("a1"), "\r\n\r\n"), " 503 "));
    CHECK(contains(fixture.fetch(request_as("a2"), "mine"), " 200 "));
    CHECK(fixture.request_count() == 2);
}
