#include "tests/ingress/router_fixture.hpp"

using namespace peridotspar;
using namespace peridotspar::ingress;
using namespace std::chrono_literals;

TEST_CASE(
    "request and response are forwarded unchanged, with the response's seal")
{
    router_fixture fixture(
        [](const auto&, auto& r_session) {
            r_session.write(
                make_response("a1", 200, "whole", WIRE_SEAL ": s\r\n"));
        });
    const std::string response =
        fixture.fetch(router_fixture::request("/once/x?q=1"), "whole");
    CHECK(contains(response, "HTTP/1.1 200"));
    CHECK(contains(response, WIRE_SEAL ": s"));
    REQUIRE(fixture.request_count() == 1);
    const auto& sent = fixture.first_server_.requests_.empty()
                           ? fixture.second_server_.requests_[0]
                           : fixture.first_server_.requests_[0];
    CHECK(sent.head_.target_ == "/once/x?q=1");
    CHECK(sent.body_ == "hi");
    CHECK(*http::find_header(sent.head_.headers_, WIRE_ACCOUNT) == "acc");
    CHECK(http::find_header(sent.head_.headers_, "Authorization") == nullptr);
}

TEST_CASE("unknown routes, unknown keys and malformed requests reach no server")
{
    router_fixture fixture([](const auto&, auto&) {});
    CHECK(contains(fixture.fetch(router_fixture::request("/none/"), "\r\n\r\n"),
                   " 404 "));
    CHECK(contains(
        fixture.fetch(router_fixture::request("/once/", "", "bad"), "\r\n\r\n"),
        " 401 "));
    CHECK(
        contains(fixture.fetch("GET / HTTP/1.1\r\n\r\n", "\r\n\r\n"), " 400 "));
    CHECK(fixture.request_count() == 0);
}

TEST_CASE("a request is refused with Retry-After if its service has no server")
{
    router_fixture fixture([](const auto&, auto&) {});
    fixture.servers_.clear();
    fixture.apply();
    const std::string response =
        fixture.fetch(router_fixture::request("/once/"), "\r\n\r\n");
    CHECK(contains(response, " 503 "));
    CHECK(contains(response, "Retry-After: "));
}

TEST_CASE("a failure response to a non-repeatable request is forwarded")
{
    router_fixture fixture(
        [](const auto&, auto& r_session) {
            r_session.write(
                make_response("a1", 500, "bad", WIRE_SEAL ": s\r\n"));
        });
    const std::string response =
        fixture.fetch(router_fixture::request("/once/"), "bad");
    CHECK(contains(response, " 500 "));
    CHECK(contains(response, WIRE_SEAL ": s"));
    CHECK(fixture.request_count() == 1);
}

TEST_CASE("a truncated response becomes a 502 without a seal")
{
    router_fixture fixture(
        [](const auto&, auto& r_session)
        {
            r_session.write("HTTP/1.1 200 OK\r\n" WIRE_ATTEMPT
                            ": a1\r\n" WIRE_SEAL
                            ": s\r\nContent-Length: 9\r\n\r\nabc");
            r_session.close();
        });
    const std::string response =
        fixture.fetch(router_fixture::request("/once/"), "\r\n\r\n");
    CHECK(contains(response, " 502 "));
    CHECK_FALSE(contains(response, WIRE_SEAL));
}

TEST_CASE(
    "a stream is forwarded as it arrives and stays open until its last chunk")
{
    scripted_server::session* open_session = nullptr;
    router_fixture fixture(
        [&](const auto&, auto& r_session)
        {
            open_session = &r_session;
            r_session.write(stream_response_head + make_chunk(make_event(1)));
        });
    test_caller caller(fixture.context_, fixture.port_);
    caller.send(router_fixture::request("/stream/"));
    REQUIRE(
        fixture.until([&] { return contains(caller.received_, "data: 1"); }));
    open_session->write(make_chunk(make_event(2)) + "0\r\n\r\n");
    REQUIRE(
        fixture.until([&] { return contains(caller.received_, "0\r\n\r\n"); }));
    CHECK(contains(caller.received_, "data: 2"));
    CHECK_FALSE(caller.ended_);
}

TEST_CASE(
    "a broken stream that can't be resumed is aborted without a last chunk")
{
    router_fixture fixture(
        [](const auto&, auto& r_session)
        {
            r_session.write(stream_response_head + make_chunk(make_event(1)));
            r_session.close(true);
        });
    const std::string response =
        fixture.fetch(router_fixture::request("/stream/"), "never");
    CHECK_FALSE(contains(response, "0\r\n\r\n"));
    CHECK(fixture.request_count() == 1);
}

TEST_CASE("a request gets 504 when its deadline expires")
{
    router_fixture fixture([](const auto&, auto&) {});
    const auto start = boot_clock().now();
    const std::string response =
        fixture.fetch(router_fixture::request("/once/"), "\r\n\r\n");
    CHECK(contains(response, " 504 "));
    CHECK(boot_clock().now() - start < 1900ms);
    CHECK(fixture.request_count() == 1);
    CHECK(fixture.until(
        [&]
        {
            return fixture.first_server_.peer_disconnects_ +
                       fixture.second_server_.peer_disconnects_ ==
                   1;
        }));
}

TEST_CASE("a response with another request's attempt id is discarded")
{
    router_fixture fixture(
        [](const auto&, auto& r_session)
        {
            r_session.write(
                make_response("gone", 200, "foreign", WIRE_SEAL ": f\r\n"));
            r_session.write(
                make_response("a1", 200, "own", WIRE_SEAL ": s\r\n"));
        });
    const std::string response =
        fixture.fetch(router_fixture::request("/once/"), "own");
    CHECK_FALSE(contains(response, "foreign"));
}

TEST_CASE("a leaving node closes connections and finally refuses new streams")
{
    router_fixture fixture(
        [](const auto&, auto& r_session) {
            r_session.write(
                make_response("a1", 200, "good", WIRE_SEAL ": s\r\n"));
        });
    const time_point now = boot_clock().now();
    fixture.router_.set_leaving({now + 60s, now + 120s});
    CHECK(contains(fixture.fetch(router_fixture::request("/once/"), "good"),
                   "Connection: close"));
    fixture.router_.set_leaving({now, now + 60s});
    CHECK(
        contains(fixture.fetch(router_fixture::request("/stream/"), "\r\n\r\n"),
                 " 503 "));
    CHECK(contains(fixture.fetch(router_fixture::request("/once/"), "good"),
                   " 200 "));
}

TEST_CASE("a success without a seal is never forwarded")
{
    router_fixture fixture(
        [](const auto&, auto& r_session)
        { r_session.write(make_response("a1", 200, "unproven")); });
    const std::string response =
        fixture.fetch(router_fixture::request("/once/"), "\r\n\r\n");
    CHECK(contains(response, " 502 "));
    CHECK_FALSE(contains(response, "unproven"));
    fixture.second_server_.script_ = [](const auto&, auto& r_session)
    { r_session.write(make_response("a1", 200, "good", WIRE_SEAL ": s\r\n")); };
    for (int i = 0; i < 3; ++i)
    {
        CHECK(contains(fixture.fetch(router_fixture::request("/safe/"), "good"),
                       " 200 "));
    }
}

// Guards against requests that end after 60 s though route and caller allow
// them longer: a configuration that raises the timeout had no effect (CONFIG).
TEST_CASE("a request may last as long as its route and its caller allow")
{
    struct timeout_case
    {
        duration route_{};
        std::string caller_ms_; ///< Empty if the caller doesn't say.
        unsigned passed_on_ms_ = 0;
    };
    for (const auto& [route, caller_ms, passed_on_ms] :
         std::vector<timeout_case>{{90s, "95000", 90'000},
                                   {90s, "70000", 70'000},
                                   {90s, "", 90'000},
                                   {0s, "95000", 95'000},
                                   {0s, "", 60'000},
                                   {1500ms, "95000", 1500}})
    {
        router_fixture fixture(
            [](const auto&, auto& r_session)
            { r_session.write(make_response("a1", 200, "")); });
        routing::route changed = *fixture.table_->find_route("h", "/once/x");
        changed.timeout_ = route;
        changed.prefix_ = "/long/";
        fixture.table_->add(changed);
        fixture.apply();
        const std::string timeout =
            caller_ms.empty() ? "" : WIRE_TIME_LEFT ": " + caller_ms + "\r\n";
        fixture.fetch("POST /long/x HTTP/1.1\r\nHost: h\r\n" WIRE_ATTEMPT
                      ": a1\r\nAuthorization: Bearer key\r\n" +
                          timeout + "Content-Length: 2\r\n\r\nhi",
                      "HTTP/1.1 ");
        REQUIRE(fixture.request_count() == 1);
        const auto& sent = fixture.first_server_.requests_.empty()
                               ? fixture.second_server_.requests_[0]
                               : fixture.first_server_.requests_[0];
        const auto* left =
            http::find_header(sent.head_.headers_, WIRE_TIME_LEFT);
        REQUIRE(left != nullptr);
        const unsigned long left_ms = std::stoul(*left);
        CHECK(left_ms <= passed_on_ms);
        CHECK(left_ms + 500 > passed_on_ms);
    }
}
