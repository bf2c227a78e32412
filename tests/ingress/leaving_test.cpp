#include "tests/ingress/router_fixture.hpp"

#include <list>

// Guards against requests that a node which shuts down passes on and then cuts
// off without an answer (LOST).

using namespace peridotspar;
using namespace peridotspar::ingress;

namespace
{

const auto silent = [](const auto&, auto&) {};

/// Callers, each with one request.
struct leaving_fixture : router_fixture
{
    leaving_fixture() : router_fixture(silent) {}
    test_caller& send(const std::string& p_request)
    {
        auto& caller = callers_.emplace_back(context_, port_);
        caller.send(p_request);
        return caller;
    }
    /// The node takes all requests until now, and answers them until then.
    void leave(duration p_answers_in)
    {
        const time_point now = boot_clock().now();
        router_.set_leaving({now, now + p_answers_in});
    }
    /// Whether the caller gets a whole refusal, with when to come back, before
    /// anything else happens to its request.
    bool is_refused(test_caller& r_caller,
                    const std::string& p_reason = "this node is leaving")
    {
        until([&] { return r_caller.ended_; });
        return contains(r_caller.received_, " 503 ") &&
               contains(r_caller.received_, p_reason) &&
               contains(r_caller.received_, WIRE_RETRY_AFTER ": ") &&
               contains(r_caller.received_, "Connection: close");
    }

    std::list<test_caller> callers_;
};

} // namespace

TEST_CASE("a leaving node sends no request that it may not finish")
{
    leaving_fixture r;
    r.leave(1400ms); // The route and the callers allow 1,500 ms.
    for (const std::string target :
         {"/once/", "/safe/", "/stream/", "/resume/"})
    {
        CAPTURE(target);
        CHECK(r.is_refused(r.send(router_fixture::request(target))));
    }
    CHECK(r.request_count() == 0);
}

TEST_CASE("a leaving node serves a request with time enough")
{
    leaving_fixture r;
    r.leave(1700ms);
    r.send(router_fixture::request("/once/"));
    CHECK(r.until([&] { return r.request_count() == 1; }));
}

TEST_CASE("a request that waits in the queue of a leaving node is refused")
{
    leaving_fixture r;
    // Both servers are full then.
    std::size_t sent = 0;
    while (r.router_.waiting_requests() == 0 && ++sent < 40)
    {
        r.send(router_fixture::request("/once/"));
        r.until([&] { return r.router_.open_requests() >= sent; });
    }
    REQUIRE(r.router_.waiting_requests() > 0);
    const std::size_t passed_on = r.request_count();
    r.leave(100ms);
    CHECK(r.is_refused(r.callers_.back()));
    CHECK(r.request_count() == passed_on);
}

TEST_CASE("a stream that waits for its origin on a leaving node is refused")
{
    leaving_fixture r;
    r.store_answers_ = false;
    auto& caller = r.send(router_fixture::request(
        "/resume/", WIRE_LAST_EVENT ": 3\r\n" WIRE_RESUMES ": a0\r\n"));
    REQUIRE(r.until([&] { return r.router_.open_requests() == 1; }));
    r.leave(100ms);
    CHECK(r.is_refused(caller));
    CHECK(r.request_count() == 0);
}

TEST_CASE("a leaving node sends a rejected request to no other server")
{
    leaving_fixture r;
    auto& caller = r.send(router_fixture::request("/once/"));
    REQUIRE(r.until([&] { return r.request_count() == 1; }));
    r.leave(100ms);
    auto& server =
        r.first_server_.requests_.empty() ? r.second_server_ : r.first_server_;
    server.sessions_.front()->write(
        make_response("a1", 503, "", WIRE_NOT_RUN ": 1\r\n"));
    CHECK(r.is_refused(caller, "the server turned the request away"));
    CHECK(r.request_count() == 1);
}

TEST_CASE("a node answers all open requests at its end")
{
    leaving_fixture r;
    auto& unanswered = r.send(router_fixture::request("/once/"));
    REQUIRE(r.until([&] { return r.request_count() == 1; }));
    auto& stream = r.send(router_fixture::request("/stream/"));
    REQUIRE(r.until([&] { return r.request_count() == 2; }));
    r.leave(100ms);
    r.router_.end_all();
    CHECK(r.router_.open_requests() == 0);
    // They may have run.
    for (auto* caller : {&unanswered, &stream})
    {
        REQUIRE(r.until([&] { return caller->ended_; }));
        CHECK(contains(caller->received_, " 504 "));
        CHECK(contains(caller->received_, "\r\n\r\n"));
    }
}
