#include "tests/ingress/router_fixture.hpp"

using namespace peridotspar;
using namespace peridotspar::ingress;
using namespace std::chrono_literals;

namespace
{

/// A stream breaks after its first event, and the server that is asked to go on
/// sends `p_continuation` and closes.
std::string fetch_broken_stream(const std::string& p_continuation)
{
    router_fixture fixture(
        [&](const http::request& p_request, auto& r_session)
        {
            if (http::find_header(p_request.head_.headers_, WIRE_LAST_EVENT) ==
                nullptr)
            {
                r_session.write(stream_response_head +
                                make_chunk(make_event(1)));
            }
            else
            {
                r_session.write(p_continuation);
            }
            r_session.close();
        },
        {0, 10, 10s});
    return fixture.fetch(router_fixture::request("/resume/"), "0\r\n\r\n");
}

} // namespace

TEST_CASE("an error in place of the rest of a stream doesn't reach its caller")
{
    const std::string error = "{\"error\":\"no\"}";
    const std::string plain = "Content-Type: application/json\r\n";
    const std::string events = "Content-Type: text/event-stream\r\n";
    const std::string chunked = "HTTP/1.1 200 OK\r\n" WIRE_ATTEMPT
                                ": a1\r\n" WIRE_SEAL ": s\r\n" +
                                events + "Transfer-Encoding: chunked\r\n\r\n";
    for (const std::string& continuation :
         {make_response("a1", 404, error, WIRE_SEAL ": s\r\n" + plain),
          make_response("a1", 400, error, WIRE_SEAL ": s\r\n"),
          make_response("a1", 302, error, WIRE_SEAL ": s\r\n"),
          make_response("a1", 500, error, WIRE_SEAL ": s\r\n"),
          make_response("a1", 200, error, WIRE_SEAL ": s\r\n" + plain),
          // A whole error response where the stream's events are due.
          chunked +
              make_chunk("HTTP/1.1 500 Bad\r\n" + plain + "\r\n" + error) +
              "0\r\n\r\n",
          chunked + make_chunk(error + "\n\n") + "0\r\n\r\n",
          // Events that the caller has, and one that it misses in between.
          chunked + make_chunk(make_event(1)) + "0\r\n\r\n"})
    {
        CAPTURE(continuation);
        const std::string response = fetch_broken_stream(continuation);
        CHECK(contains(response, make_event(1)));
        CHECK(response.find("data: 1") == response.rfind("data: 1"));
        CHECK_FALSE(contains(response, "error"));
        CHECK_FALSE(contains(response, "HTTP/1.1 500"));
        CHECK_FALSE(contains(response, "\r\n0\r\n\r\n"));
    }
}

TEST_CASE("a response whose head breaks off becomes no success")
{
    const std::string head =
        "HTTP/1.1 200 OK\r\n" WIRE_ATTEMPT ": a1\r\n" WIRE_SEAL ": s\r\n";
    for (const std::string target : {"/once/", "/stream/", "/resume/"})
    {
        for (const std::string& partial :
             {std::string("HTTP/1.1 200 OK\r\n"), head,
              head + "Content-Length: 9", head + "Content-Length: 9\r\n",
              head + "Content-Length: 9\r\n\r",
              head + "Transfer-Encoding: chunked\r\n"})
        {
            CAPTURE(partial);
            router_fixture fixture(
                [&](const auto&, auto& r_session)
                {
                    r_session.write(partial);
                    r_session.close();
                },
                {0, 0, 10s});
            const std::string response =
                fixture.fetch(router_fixture::request(target), "\r\n\r\n");
            CHECK_FALSE(contains(response, " 200 "));
        }
    }
}
