#include "tests/ingress/router_fixture.hpp"

#include <algorithm>
#include <list>
#include <thread>

// Guards against answers that end without their last part because the node left
// a silent server before another one was secured.

using namespace peridotspar;
using namespace peridotspar::ingress;

namespace
{

/// Longer than the node leaves a silent server if it can: three quarters of a
/// caller's patience of 2 s.
constexpr duration pause_time = 1700ms;
/// The same for a request without an answer.
constexpr duration short_pause_time = 800ms;

/// Servers that begin a stream and end it when told. If the stream goes on
/// elsewhere, that server sends the rest at once.
struct pausing_fixture : router_fixture
{
    explicit pausing_fixture(dispatch::resend_limits p_resends = {})
        : router_fixture([](const auto& p_request, auto& r_session)
                         { begin(p_request, r_session); },
                         p_resends)
    {
        routing::route route;
        route.name_ = long_route;
        route.host_ = "h";
        route.prefix_ = long_route;
        route.resend_mode_ = routing::resend_mode::resume;
        route.stream_ = true;
        route.services_ = {{routing::service_name("s"), 1}};
        route.timeout_ = 8s;
        route.answer_target_ = 150ms;
        route.pause_target_ = 100ms;
        route.max_attempts_ = 2;
        table_->add(route);
        apply();
    }
    static std::string patient_request()
    {
        std::string text = request(long_route);
        const std::string limit = ": 1500\r\n";
        return text.replace(text.find(limit), limit.size(), ": 8000\r\n");
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
    static constexpr const char* long_route = "/long/";
    test_caller& begin_stream()
    {
        auto& caller = callers_.emplace_back(context_, port_);
        caller.send(patient_request());
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

TEST_CASE("a safe request stays while the retry budget is used up")
{
    router_fixture r([](const auto&, auto&) {}, no_resends);
    test_caller caller(r.context_, r.port_);
    caller.send(router_fixture::request("/safe/"));
    r.until([end = boot_clock().now() + short_pause_time]
            { return boot_clock().now() >= end; });
    for (auto* server : {&r.first_server_, &r.second_server_})
    {
        for (const auto& session : server->sessions_)
        {
            session->write(
                make_response("a1", 200, "whole", WIRE_SEAL ": s\r\n"));
        }
    }
    r.until([&] { return !caller.received_.empty(); });
    CHECK(contains(caller.received_, "whole"));
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

TEST_CASE("a server isn't left for a silence in which the node was suspended")
{
    router_fixture r([](const auto&, auto&) {});
    test_caller caller(r.context_, r.port_);
    caller.send(router_fixture::request("/safe/"));
    REQUIRE(r.until([&] { return r.request_count() == 1; }));
    std::this_thread::sleep_for(short_pause_time);
    r.router_.tick();
    auto& server =
        r.first_server_.requests_.empty() ? r.second_server_ : r.first_server_;
    server.sessions_.front()->write(
        make_response("a1", 200, "whole", WIRE_SEAL ": s\r\n"));
    CHECK(r.until([&] { return contains(caller.received_, "whole"); }));
    CHECK(r.request_count() == 1);
}

TEST_CASE("a begun stream is resumed once a server has room for it")
{
    pausing_fixture r;
    int rejections = 12;
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
    // One stream of each server goes on. A session that comes later is that of
    // a stream that has moved, and has its own response.
    std::vector<std::shared_ptr<scripted_server::session>> going_on;
    for (const auto* sessions : {&first, &second})
    {
        if (!sessions->empty())
        {
            going_on.push_back(sessions->front());
        }
    }
    const auto stalled = static_cast<std::ptrdiff_t>(3 - going_on.size());
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
        for (const auto& session : going_on)
        {
            session->write(make_chunk(make_event(id)));
        }
        r.wait(20ms);
    }
    CHECK(whole() == stalled);
    CHECK(boot_clock().now() - begun < 900ms);
}
