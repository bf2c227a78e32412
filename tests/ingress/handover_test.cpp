#include "tests/ingress/router_fixture.hpp"

using namespace peridotspar;
using namespace peridotspar::ingress;
using namespace std::chrono_literals;

namespace
{

const std::string not_run_header(handover_headers::not_run);

/// A node whose servers refuse connections, and two scripted peers.
struct cut_node : public router_fixture
{
    explicit cut_node(const scripted_server::script& p_peer,
                      double p_link_bytes_per_s = 0)
        : router_fixture([](const auto&, auto&) {}, {}, p_link_bytes_per_s),
          first_peer_(context_, p_peer),
          second_peer_(context_, p_peer)
    {
        first_server_.stop_listening();
        second_server_.stop_listening();
        set_peers({});
    }
    void set_peers(std::set<routing::service_name> p_lost)
    {
        router_.handovers().set_peers(
            {{first_peer_.address(), failure_domain_id("d"), true, p_lost},
             {second_peer_.address(), failure_domain_id("d"), true, p_lost}});
    }
    [[nodiscard]] std::vector<http::request> peer_requests() const
    {
        auto requests = first_peer_.requests_;
        requests.insert(requests.end(), second_peer_.requests_.begin(),
                        second_peer_.requests_.end());
        return requests;
    }

    scripted_server first_peer_;
    scripted_server second_peer_;
};

std::string refusal(std::string_view p_why)
{
    return make_response("a1", 503, "no",
                         not_run_header + ": " + std::string(p_why) +
                             "\r\nRetry-After: 0.750\r\n");
}

/// Serves requests as if a peer had handed them over.
class peer_port : public request_handler
{
public:
    explicit peer_port(router& p_router) : router_(p_router) {}
    std::shared_ptr<active_request>
    start(http::request p_request,
          std::shared_ptr<response_writer> p_writer) override
    {
        return router_.start_from_peer(std::move(p_request), p_writer);
    }
    [[nodiscard]] http::response
    refuse_malformed(int p_status, const std::string& p_message) override
    {
        return router_.refuse_malformed(p_status, p_message);
    }
    [[nodiscard]] bool is_leaving() const override { return false; }

private:
    router& router_;
};

/// Sends a request to a router's port for peers, and returns the response.
std::string fetch_as_peer(router_fixture& r_fixture,
                          const std::string& p_request)
{
    peer_port handler(r_fixture.router_);
    const std::uint16_t port = free_port(r_fixture.context_);
    listener peers(
        r_fixture.context_, "127.0.0.1:" + std::to_string(port),
        handler, [&]() -> const auto& { return r_fixture.router_.limits(); });
    test_caller caller(r_fixture.context_, port);
    caller.send(p_request);
    r_fixture.until(
        [&]
        { return contains(caller.received_, "\r\n\r\n") || caller.ended_; });
    return caller.received_;
}

std::string runs_left(int p_runs)
{
    return std::string(handover_headers::runs) + ": " + std::to_string(p_runs) +
           "\r\n";
}

} // namespace

TEST_CASE("a request that was lost at a peer is sent nowhere again")
{
    for (const std::string target : {"/once/", "/safe/", "/resume/"})
    {
        cut_node node([](const auto&, auto& r_session) { r_session.close(); });
        const std::string response =
            node.fetch(router_fixture::request(target), "\r\n\r\n");
        CHECK(contains(response, " 502 "));
        CHECK(node.peer_requests().size() == 1);
    }
}

TEST_CASE("a peer's refusal that nothing was sent is passed on as one")
{
    cut_node node(
        [](const auto&, auto& r_session)
        { r_session.write(refusal(handover_headers::not_run_refused)); });
    const std::string response =
        node.fetch(router_fixture::request("/once/"), "\r\n\r\n");
    CHECK(contains(response, " 503 "));
    CHECK(contains(response, "Retry-After: 0.750"));
    CHECK_FALSE(contains(response, not_run_header));
    CHECK(node.peer_requests().size() == 1);
}

TEST_CASE("a failure of a peer that may have sent the request is no promise")
{
    cut_node node([](const auto&, auto& r_session)
                  { r_session.write(make_response("a1", 502, "lost")); });
    const std::string response =
        node.fetch(router_fixture::request("/once/"), "lost");
    CHECK(contains(response, " 502 "));
    CHECK(node.peer_requests().size() == 1);
}

TEST_CASE("a request goes on from a peer that reaches no server to another one")
{
    int refusals = 0;
    cut_node node(
        [&](const auto&, auto& r_session)
        {
            if (++refusals == 1)
            {
                r_session.write(refusal(handover_headers::not_run_unreachable));
                return;
            }
            r_session.write(
                make_response("a1", 200, "whole", WIRE_SEAL ": s\r\n"));
        });
    CHECK(contains(node.fetch(router_fixture::request("/once/"), "whole"),
                   " 200 "));
    CHECK(node.first_peer_.requests_.size() == 1);
    CHECK(node.second_peer_.requests_.size() == 1);
}

TEST_CASE(
    "a peer gets the caller's request with the time and runs that are left")
{
    cut_node node(
        [](const auto&, auto& r_session) {
            r_session.write(
                make_response("a1", 200, "whole", WIRE_SEAL ": s\r\n"));
        });
    node.fetch(router_fixture::request(
                   "/safe/x?q=1", WIRE_ACCOUNT ": forged\r\n" + runs_left(9)),
               "whole");
    REQUIRE(node.peer_requests().size() == 1);
    const auto sent = node.peer_requests().front();
    const auto& headers = sent.head_.headers_;
    CHECK(sent.head_.target_ == "/safe/x?q=1");
    CHECK(sent.body_ == "hi");
    CHECK(*http::find_header(headers, "Authorization") == "Bearer key");
    CHECK(*http::find_header(headers, handover_headers::runs) == "2");
    CHECK(http::count_headers(headers, handover_headers::runs) == 1);
    CHECK(http::count_headers(headers, WIRE_TIME_LEFT) == 1);
    CHECK(std::stoi(*http::find_header(headers, WIRE_TIME_LEFT)) <= 1500);
}

TEST_CASE("a stream passes through a peer as it arrives and breaks off with it")
{
    for (const std::string target : {"/stream/", "/resume/"})
    {
        scripted_server::session* open = nullptr;
        cut_node node(
            [&](const auto&, auto& r_session)
            {
                open = &r_session;
                r_session.write(stream_response_head +
                                make_chunk(make_event(1)));
            });
        test_caller caller(node.context_, node.port_);
        caller.send(router_fixture::request(target));
        REQUIRE(
            node.until([&] { return contains(caller.received_, "data: 1"); }));
        CHECK_FALSE(caller.ended_);
        open->close(true);
        REQUIRE(node.until([&] { return caller.ended_; }));
        CHECK_FALSE(contains(caller.received_, "\r\n0\r\n\r\n"));
        CHECK(node.peer_requests().size() == 1);
    }
}

TEST_CASE("a caller's close passes a node and its peer")
{
    cut_node node([](const auto&, auto&) {});
    test_caller caller(node.context_, node.port_);
    caller.send(router_fixture::request("/safe/"));
    REQUIRE(node.until([&] { return node.peer_requests().size() == 1; }));
    caller.close();
    const time_point closed_at = boot_clock().now();
    REQUIRE(node.until(
        [&]
        {
            return node.first_peer_.peer_disconnects_ +
                       node.second_peer_.peer_disconnects_ >
                   0;
        }));
    CHECK(boot_clock().now() - closed_at < 250ms);
}

TEST_CASE("no request goes to peers that reach no server of its service either")
{
    cut_node node([](const auto&, auto&) {});
    node.set_peers({routing::service_name("s")});
    const std::string response =
        node.fetch(router_fixture::request("/once/"), "\r\n\r\n");
    CHECK(contains(response, " 503 "));
    CHECK(node.peer_requests().empty());
}

TEST_CASE("a request that a peer handed over isn't handed over again")
{
    cut_node node([](const auto&, auto&) {});
    const std::string response =
        fetch_as_peer(node, router_fixture::request("/once/", runs_left(1)));
    CHECK(contains(response, " 503 "));
    CHECK(contains(response,
                   not_run_header + ": " +
                       std::string(handover_headers::not_run_unreachable)));
    CHECK(node.peer_requests().empty());
}

TEST_CASE("a request that a peer handed over runs no more often than it may")
{
    router_fixture fixture(
        [](const auto&, auto& r_session) {
            r_session.write(
                make_response("a1", 500, "bad", WIRE_SEAL ": s\r\n"));
        });
    CHECK(contains(
        fetch_as_peer(fixture, router_fixture::request("/safe/", runs_left(1))),
        " 500 "));
    CHECK(fixture.request_count() == 1);
    CHECK(contains(
        fetch_as_peer(fixture, router_fixture::request("/safe/", runs_left(2))),
        " 500 "));
    CHECK(fixture.request_count() == 3);
}

TEST_CASE(
    "a request with an unknown key that a peer handed over proves nothing")
{
    router_fixture fixture([](const auto&, auto&) {});
    const std::string response = fetch_as_peer(
        fixture, router_fixture::request("/once/", runs_left(1), "unknown"));
    CHECK(contains(response, " 503 "));
    CHECK(contains(response, not_run_header));
    CHECK(contains(response, WIRE_ATTEMPT ": a1"));
}

TEST_CASE("a node serves by itself soon after its servers are back")
{
    cut_node node(
        [](const auto&, auto& r_session) {
            r_session.write(
                make_response("a1", 200, "peer", WIRE_SEAL ": s\r\n"));
        });
    CHECK(contains(node.fetch(router_fixture::request("/once/"), "peer"),
                   " 200 "));
    REQUIRE(node.router_.reach().is_lost(routing::service_name("s")));
    scripted_server back(node.context_,
                         [](const auto&, auto& r_session) {
                             r_session.write(make_response(
                                 "a1", 200, "own", WIRE_SEAL ": s\r\n"));
                         });
    for (auto& [id, entry] : node.servers_)
    {
        entry.address_ = back.address();
    }
    node.apply();
    const time_point back_at = boot_clock().now();
    REQUIRE(node.until(
        [&]
        { return !node.router_.reach().is_lost(routing::service_name("s")); }));
    CHECK(boot_clock().now() - back_at < 1s);
    CHECK(
        contains(node.fetch(router_fixture::request("/once/"), "own"), "own"));
}

TEST_CASE("a node's link isn't filled with requests that it hands over")
{
    constexpr double link_bytes_per_s = 1'250'000; // 10 Mbit/s.
    constexpr std::size_t body_bytes = 17000;
    constexpr std::size_t requests = 60;
    cut_node node(
        [](const auto&, auto& r_session) {
            r_session.write(
                make_response("a1", 200, "whole", WIRE_SEAL ": s\r\n"));
        },
        link_bytes_per_s);
    node.fetch(router_fixture::request("/once/"), "whole");
    REQUIRE(node.router_.reach().is_lost(routing::service_name("s")));
    const std::size_t before = node.peer_requests().size();
    std::list<test_caller> callers;
    const time_point start = boot_clock().now();
    for (std::size_t i = 0; i < requests; ++i)
    {
        callers.emplace_back(node.context_, node.port_)
            .send(router_fixture::long_request("/once/", body_bytes));
        node.context_.poll();
    }
    node.until([&] { return boot_clock().now() - start > 200ms; });
    const double elapsed_s = to_seconds(boot_clock().now() - start);
    const std::size_t sent = node.peer_requests().size() - before;
    // A packet may wait half a second behind what was sent.
    constexpr double limit_s = 0.5;
    CHECK(static_cast<double>(sent * body_bytes) <
          link_bytes_per_s * (elapsed_s + limit_s));
    CHECK(sent > 3);
    // All that fits into their time is served.
    node.until(
        [&]
        {
            return std::all_of(callers.begin(), callers.end(),
                               [](const test_caller& p_caller) {
                                   return contains(p_caller.received_, "HTTP");
                               });
        });
    const auto served =
        std::count_if(callers.begin(), callers.end(),
                      [](const test_caller& p_caller)
                      { return contains(p_caller.received_, "whole"); });
    CHECK(served > 40);
}

TEST_CASE(
    "a request that a peer handed over isn't ended by this node's shorter "
    "timeout")
{
    router_fixture node([](const auto&, auto&) {});
    const auto shorter = std::make_shared<routing::route_table>(*node.table_);
    routing::route route = *shorter->find_route("h", "/once/");
    route.prefix_ = "/once/short/";
    route.timeout_ = 100ms;
    shorter->add(route);
    node.table_ = shorter;
    node.apply();
    const time_point begin = boot_clock().now();
    // The peer's route and the caller allow 1,500 ms.
    const std::string received = fetch_as_peer(
        node, router_fixture::request("/once/short/", runs_left(1)));
    CHECK(contains(received, " 504 "));
    CHECK(boot_clock().now() - begin >= 1400ms);
}
