#include "daemon/entry_node.hpp"
#include "tests/fakes/loopback.hpp"
#include "tests/fakes/store_text.hpp"
#include "tests/platform/wire_headers.hpp"
#include "transport/entry_codec.hpp"

#include <csignal>
#include <thread>

#include <doctest/doctest.h>

using namespace peridotspar;
using namespace std::chrono_literals;

namespace
{

/// Two nodes, of which only the first can reach the store.
struct fixture
{
    fixture()
        : engine_(context_,
                  [this](const auto&, auto& r_session)
                  {
                      if (engine_is_silent_)
                      {
                          return;
                      }
                      r_session.write("HTTP/1.1 200 OK\r\n" WIRE_ATTEMPT
                                      ": a1\r\n" WIRE_SEAL ": s\r\n"
                                      "Content-Length: 5\r\n\r\nwhole");
                  }),
          store_(context_, [this](const auto& p_request, auto& r_session)
                 { serve(p_request.head_.target_, r_session); })
    {
        for (auto& ports : ports_)
        {
            for (auto& port : ports)
            {
                port = free_port(context_);
            }
        }
        start(0, store_.address());
        start(1, local(1));
    }
    ~fixture()
    {
        // Both nodes get the signal and shut down.
        raise(SIGTERM);
        for (auto& thread : threads_)
        {
            thread.join();
        }
    }
    void serve(const std::string& p_target, scripted_server::session& r_session)
    {
        if (contains(p_target, "watch="))
        {
            return; // The watch stays open, as nothing changes.
        }
        if (p_target.starts_with("/v1/objects/config"))
        {
            r_session.write(json_response(
                R"({"items":[{"metadata":{"name":"main","rev":1},"spec":
                {"version":3,"routes":[{"host":"h","path_prefix":"/a/",
                "kind":"unsafe","service":"s","timeout_ms":2000}],
                "services":[{"name":"s"}]}}],"more":false,"at":5})"));
            return;
        }
        if (p_target.starts_with("/v1/objects/servers"))
        {
            r_session.write(json_response(
                R"({"items":[{"metadata":{"name":"i-1","rev":2},"spec":
                {"service":"s","addr":")" +
                engine_.address() +
                R"(","zone":"d","version":"v1","slots":4,"state":"ready"}}],"at":5})"));
            return;
        }
        r_session.write(json_response(R"({"items":[],"at":5})"));
    }
    void start(int p_number, const std::string& p_store)
    {
        entry_settings settings;
        settings.name_ = node_id("n" + std::to_string(p_number));
        settings.failure_domain_ = failure_domain_id("d");
        settings.callers_ = local(ports_[p_number][0]);
        settings.readiness_ = local(ports_[p_number][1]);
        settings.directory_ = local(ports_[p_number][2]);
        settings.peers_ = local(ports_[p_number][3]);
        settings.metrics_ = local(ports_[p_number][4]);
        settings.store_ = p_store;
        settings.seeds_ = {local(ports_[0][3])};
        settings.directory_age_ = 50ms;
        settings.stop_grace_ = 2000ms;
        nodes_[p_number] = std::make_unique<entry_node>(settings, "/nowhere");
        threads_[p_number] =
            std::thread([this, p_number] { nodes_[p_number]->run(); });
    }
    /// Repeats a request until the response contains a text; false if it
    /// doesn't within 5 s.
    bool poll(std::uint16_t p_port, const std::string& p_request,
              const std::string& p_part)
    {
        const auto end = std::chrono::steady_clock::now() + 5s;
        while (std::chrono::steady_clock::now() < end)
        {
            test_caller caller(context_, p_port);
            caller.send(p_request);
            run_until(
                context_, [&] { return contains(caller.received_, p_part); },
                [] {}, 100ms);
            if (contains(caller.received_, p_part))
            {
                return true;
            }
        }
        return false;
    }

    boost::asio::io_context context_;
    bool engine_is_silent_ = false;
    scripted_server engine_;
    scripted_server store_;
    std::array<std::array<std::uint16_t, 5>, 2> ports_{};
    std::array<std::unique_ptr<entry_node>, 2> nodes_;
    std::array<std::thread, 2> threads_;
};

std::string get(const std::string& p_target)
{
    return "GET " + p_target + " HTTP/1.1\r\nHost: h\r\n\r\n";
}

} // namespace

TEST_CASE(
    "a node that can't reach the store serves with its peer's routing state")
{
    fixture r;
    const std::string request = "POST /a/x HTTP/1.1\r\nHost: h\r\n" WIRE_ATTEMPT
                                ": a1\r\nContent-Length: 0\r\n\r\n";
    for (int node = 0; node < 2; ++node)
    {
        const auto& ports = r.ports_[node];
        CHECK(r.poll(ports[1], get("/v1/readyz"), " 200 "));
        CHECK(r.poll(ports[0], request, "whole"));
        // The directory of each node lists both nodes.
        CHECK(
            r.poll(ports[2], get("/v1/resolve?name=h"), local(r.ports_[0][0])));
        CHECK(
            r.poll(ports[2], get("/v1/resolve?name=h"), local(r.ports_[1][0])));
        CHECK(r.poll(ports[4], get("/metrics"), "peridotspar_entry_state"));
        CHECK(r.poll(ports[0], get("/none/"), " 404 "));
    }
}

TEST_CASE("a digest whose sender isn't the peer address in it is ignored")
{
    fixture r;
    const std::string directory_request = get("/v1/resolve?name=h");
    REQUIRE(r.poll(r.ports_[0][2], directory_request, local(r.ports_[1][0])));
    boost::asio::ip::udp::socket other(r.context_,
                                       {boost::asio::ip::udp::v4(), 0});
    entry_wire::digest digest;
    digest.node = "forged";
    digest.started_ms = 1;
    digest.sequence = 1;
    digest.peers = "127.0.0.1:9";
    digest.callers = "127.0.0.1:4242";
    digest.ready = true;
    const auto send = [&]
    {
        ++digest.sequence;
        other.send_to(
            boost::asio::buffer(encode(digest)),
            {boost::asio::ip::address_v4::loopback(), r.ports_[0][3]});
    };
    send();
    CHECK_FALSE(r.poll(r.ports_[0][2], directory_request, ":4242"));
    // The same digest is accepted from the peer address in it.
    digest.peers = local(other.local_endpoint().port());
    const auto end = std::chrono::steady_clock::now() + 3s;
    bool known = false;
    while (!known && std::chrono::steady_clock::now() < end)
    {
        send();
        test_caller caller(r.context_, r.ports_[0][2]);
        caller.send(directory_request);
        known = run_until(
            r.context_, [&] { return contains(caller.received_, ":4242"); },
            [] {}, 100ms);
    }
    CHECK(known);
}

// Guards against requests that a node takes late in its grace period and cuts
// off without an answer at its end (LOST).
TEST_CASE("a node that is stopped leaves no request without an answer")
{
    fixture r;
    const std::string request = "POST /a/x HTTP/1.1\r\nHost: h\r\n" WIRE_ATTEMPT
                                ": a1\r\nContent-Length: 0\r\n\r\n";
    REQUIRE(r.poll(r.ports_[0][0], request, "whole"));
    r.engine_is_silent_ = true;
    const std::size_t before = r.engine_.requests_.size();
    test_caller early(r.context_, r.ports_[0][0]);
    early.send(request);
    REQUIRE(run_until(r.context_,
                      [&] { return r.engine_.requests_.size() > before; }));
    test_caller kept(r.context_, r.ports_[0][0]);
    raise(SIGTERM);
    // Callers may hold its address for three times 50 ms.
    run_until(
        r.context_, [] { return false; }, [] {}, 300ms);
    kept.send(request);
    REQUIRE(run_until(r.context_, [&] { return kept.ended_; }));
    CHECK(contains(kept.received_, " 503 "));
    CHECK(contains(kept.received_, WIRE_RETRY_AFTER ": "));
    CHECK(r.engine_.requests_.size() == before + 1);
    // This one may have run, and its route's time isn't over.
    REQUIRE(run_until(r.context_, [&] { return early.ended_; }));
    CHECK(contains(early.received_, " 504 "));
    CHECK(contains(early.received_, "\r\n\r\n"));
}
