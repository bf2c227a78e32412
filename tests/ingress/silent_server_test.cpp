#include "tests/ingress/router_fixture.hpp"

#include <algorithm>
#include <list>

// Guards against answers that end without their last part because the node left
// a silent server before another one was secured (LOST).

using namespace peridotspar;
using namespace peridotspar::ingress;

namespace
{

/// Longer than a stream of the fixture's routes is silent before its server
/// counts as stalled, and shorter than sound servers pause for.
constexpr duration pause_time = 800ms;

/// Servers that begin a stream and end it when told. If the stream goes on
/// elsewhere, that server sends the rest at once.
struct pausing_fixture : router_fixture
{
    explicit pausing_fixture(dispatch::resend_limits p_resends = {})
        : router_fixture([](const auto& p_request, auto& r_session)
                         { begin(p_request, r_session); },
                         p_resends)
    {
    }
    static bool is_resumed(const http::request& p_request)
    {
        return http::find_header(p_request.head_.headers_, WIRE_LAST_EVENT) !=
               nullptr;
    }
    static void begin(const http::request& p_request,
                      scripted_server::session& r_session)
    {
        if (p_request.head_.target_ == "/safe/")
        {
            r_session.write(
                make_response("a1", 200, "whole", WIRE_SEAL ": s\r\n"));
            return;
        }
        r_session.write(is_resumed(p_request)
                            ? rest_of_stream()
                            : stream_response_head + make_chunk(make_event(1)));
    }
    static std::string rest_of_stream()
    {
        return stream_response_head + make_chunk(make_event(2)) + "0\r\n\r\n";
    }
    test_caller& begin_stream()
    {
        auto& caller = callers_.emplace_back(context_, port_);
        caller.send(request("/resume/"));
        REQUIRE(until([&] { return contains(caller.received_, "data: 1"); }));
        return caller;
    }
    void wait(duration p_time)
    {
        const time_point end = boot_clock().now() + p_time;
        until([end] { return boot_clock().now() >= end; });
    }
    /// All servers go on with what they began.
    void end_pause()
    {
        for (auto* server : {&first_server_, &second_server_})
        {
            for (const auto& session : server->sessions_)
            {
                session->write(make_chunk(make_event(2)) + "0\r\n\r\n");
            }
        }
    }
    bool is_whole(const test_caller& p_caller)
    {
        return until(
                   [&] {
                       return contains(p_caller.received_, "0\r\n\r\n") ||
                              p_caller.ended_;
                   }) &&
               contains(p_caller.received_, make_event(2)) &&
               contains(p_caller.received_, "0\r\n\r\n");
    }

    std::list<test_caller> callers_;
};

const dispatch::resend_limits no_resends{0, 0, 10s};

} // namespace

TEST_CASE("a silent server isn't left while the retry budget is used up")
{
    pausing_fixture r(no_resends);
    const auto& caller = r.begin_stream();
    r.wait(pause_time);
    r.end_pause();
    CHECK(r.is_whole(caller));
    CHECK(r.request_count() == 1);
}

TEST_CASE("a silent server isn't left while no other can take the request")
{
    pausing_fixture r;
    r.servers_.erase("i-2");
    r.apply();
    const auto& caller = r.begin_stream();
    r.wait(pause_time);
    r.end_pause();
    CHECK(r.is_whole(caller));
    CHECK(r.request_count() == 1);
}

TEST_CASE("a silent server isn't left for another silent one")
{
    pausing_fixture r;
    std::vector<const test_caller*> callers;
    for (int i = 0; i < 8; ++i)
    {
        callers.push_back(&r.begin_stream());
    }
    REQUIRE(!r.first_server_.requests_.empty());
    REQUIRE(!r.second_server_.requests_.empty());
    r.wait(pause_time);
    r.end_pause();
    for (const auto* caller : callers)
    {
        CHECK(r.is_whole(*caller));
    }
    CHECK(r.request_count() == callers.size());
}

TEST_CASE("a begun stream is resumed once a server has room for it")
{
    pausing_fixture r;
    int rejections = 3;
    const auto script = [&](const http::request& p_request, auto& r_session)
    {
        if (pausing_fixture::is_resumed(p_request) && rejections-- > 0)
        {
            r_session.write(
                make_response("a1", 503, "", WIRE_NOT_RUN ": 1\r\n"));
            return;
        }
        pausing_fixture::begin(p_request, r_session);
    };
    r.first_server_.script_ = script;
    r.second_server_.script_ = script;
    const auto& caller = r.begin_stream();
    auto& server =
        r.first_server_.requests_.empty() ? r.second_server_ : r.first_server_;
    server.sessions_.front()->close(true);
    CHECK(r.is_whole(caller));
}

TEST_CASE("a begun stream is resumed once the retry budget allows it")
{
    pausing_fixture r({0, 2.9, 600ms});
    auto& first = r.begin_stream();
    auto& second = r.begin_stream();
    auto& third = r.begin_stream();
    for (auto* server : {&r.first_server_, &r.second_server_})
    {
        for (const auto& session : server->sessions_)
        {
            session->close(true);
        }
    }
    for (const auto* caller : {&first, &second, &third})
    {
        CHECK(r.is_whole(*caller));
    }
}

TEST_CASE("a server's failure reaches the caller if no other server takes over")
{
    int arrivals = 0;
    router_fixture r(
        [&arrivals](const auto&, auto& r_session)
        {
            r_session.write(
                ++arrivals == 1
                    ? make_response("a1", 500, "its own failure",
                                    WIRE_SEAL ": s\r\n")
                    : make_response("a1", 503, "", WIRE_NOT_RUN ": 1\r\n"));
        },
        {1, 10, 10s});
    const auto response =
        r.fetch(router_fixture::request("/safe/"), "\r\n\r\n");
    CAPTURE(response);
    CHECK(contains(response, WIRE_SEAL));
    CHECK(contains(response, " 500 "));
    CHECK(arrivals == 2);
}

TEST_CASE("a stream moves off a server that answers others, but not it")
{
    pausing_fixture r;
    for (int i = 0; i < 3; ++i)
    {
        r.begin_stream();
    }
    auto& first = r.first_server_.sessions_;
    auto& second = r.second_server_.sessions_;
    REQUIRE(first.size() + second.size() == 3);
    // One stream of each server goes on.
    const auto stalled = first.empty() || second.empty() ? 2 : 1;
    const time_point begun = boot_clock().now();
    const auto whole = [&]
    {
        return std::count_if(
            r.callers_.begin(), r.callers_.end(),
            [](const auto& p_caller)
            { return contains(p_caller.received_, "0\r\n\r\n"); });
    };
    for (int id = 2; whole() < stalled && boot_clock().now() < begun + 1s; ++id)
    {
        for (const auto* sessions : {&first, &second})
        {
            if (!sessions->empty())
            {
                sessions->front()->write(make_chunk(make_event(id)));
            }
        }
        r.wait(20ms);
    }
    CHECK(whole() == stalled);
    CHECK(boot_clock().now() - begun < 900ms);
}
