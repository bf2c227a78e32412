#include "ingress/listener.hpp"
#include "ingress/router.hpp"
#include "tests/fakes/loopback.hpp"
#include "tests/platform/wire_shapes.hpp"

#include <thread>

#include <doctest/doctest.h>

using namespace peridotspar;
using namespace peridotspar::ingress;
using namespace std::chrono_literals;

namespace
{

std::string answer(const std::string& p_id, int p_status,
                   const std::string& p_body, const std::string& p_more = "")
{
    return "HTTP/1.1 " + std::to_string(p_status) + " X\r\n" WIRE_ATTEMPT ": " +
           p_id + "\r\n" + p_more +
           "Content-Length: " + std::to_string(p_body.size()) + "\r\n\r\n" +
           p_body;
}

std::string event(int p_id)
{
    return "id: " + std::to_string(p_id) + "\ndata: " + std::to_string(p_id) +
           "\n\n";
}

std::string chunk(const std::string& p_bytes)
{
    std::array<char, 20> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", p_bytes.size());
    return size.data() + p_bytes + "\r\n";
}

const std::string stream_head =
    "HTTP/1.1 200 OK\r\n" WIRE_ATTEMPT ": a1\r\n" WIRE_SEAL ": s\r\n"
    "Transfer-Encoding: chunked\r\n\r\n";

bool has(const std::string& p_text, const std::string& p_part)
{
    return p_text.find(p_part) != std::string::npos;
}

/// A router before two servers of one service, on loopback.
struct rig
{
    explicit rig(scripted_server::script p_script,
                 dispatch::resend_limits p_resends = {})
        : one_(context_, p_script),
          two_(context_, p_script),
          router_(context_, options(p_resends)),
          port_(free_port(context_)),
          listener_(
              context_, "127.0.0.1:" + std::to_string(port_),
              router_, [this]() -> const auto& { return router_.limits(); })
    {
        table_ = std::make_shared<routing::route_table>();
        table_->set_version(1);
        routing::service service;
        service.name_ = routing::service_name("s");
        table_->add(service);
        table_->require_keys();
        table_->add_key("key", {routing::account_name("acc"), std::nullopt});
        add_route("/safe/", routing::repeat_rule::anew, false);
        add_route("/once/", routing::repeat_rule::never, false);
        add_route("/stream/", routing::repeat_rule::never, true);
        add_route("/resume/", routing::repeat_rule::continued, true);
        add_server("i-1", one_);
        add_server("i-2", two_);
        apply();
    }
    static router_options options(dispatch::resend_limits p_resends)
    {
        router_options made;
        made.resends_ = p_resends;
        made.domain_ = failure_domain_id("d");
        return made;
    }
    void add_route(const std::string& p_prefix, routing::repeat_rule p_rule,
                   bool p_stream)
    {
        routing::route route;
        route.name_ = p_prefix;
        route.host_ = "h";
        route.prefix_ = p_prefix;
        route.repeat_ = p_rule;
        route.stream_ = p_stream;
        route.services_ = {{routing::service_name("s"), 1}};
        route.timeout_ = 1500ms;
        route.answer_target_ = 150ms;
        route.pause_target_ = 100ms;
        route.max_attempts_ = p_rule == routing::repeat_rule::never ? 1 : 2;
        table_->add(route);
    }
    void add_server(const std::string& p_id, const scripted_server& p_server)
    {
        routing::server_entry entry;
        entry.instance_.id_ = p_id;
        entry.service_ = routing::service_name("s");
        entry.address_ = p_server.address();
        entry.domain_ = failure_domain_id("d");
        entry.slots_ = 4;
        servers_[p_id] = entry;
    }
    void apply()
    {
        router_.set_servers(servers_);
        router_.set_table(table_);
    }
    static std::string request(const std::string& p_target,
                               const std::string& p_more = "",
                               const std::string& p_key = "key")
    {
        return "POST " + p_target +
               " HTTP/1.1\r\nHost: h\r\n" WIRE_ATTEMPT ": a1\r\n" WIRE_TIME_LEFT
               ": 1500\r\nAuthorization: Bearer " +
               p_key + "\r\n" + p_more + "Content-Length: 2\r\n\r\nhi";
    }
    bool until(const std::function<bool()>& p_holds)
    {
        return run_until(context_, p_holds,
                         [this]
                         {
                             router_.tick();
                             listener_.tick(boot_clock().now());
                         });
    }
    /// Sends a request and waits until the caller has `p_part`, or its
    /// connection ended.
    std::string ask(const std::string& p_request, const std::string& p_part)
    {
        test_caller caller(context_, port_);
        caller.send(p_request);
        until([&] { return has(caller.received_, p_part) || caller.ended_; });
        return caller.received_;
    }
    [[nodiscard]] std::size_t runs() const
    {
        return one_.requests_.size() + two_.requests_.size();
    }

    boost::asio::io_context context_;
    std::shared_ptr<routing::route_table> table_;
    routing::server_list::entries servers_;
    scripted_server one_;
    scripted_server two_;
    router router_;
    std::uint16_t port_;
    listener listener_;
};

} // namespace

TEST_CASE("an answer reaches its caller unchanged, with its seal")
{
    rig r(
        [](const auto&, auto& r_session)
        { r_session.write(answer("a1", 200, "whole", WIRE_SEAL ": s\r\n")); });
    const std::string got = r.ask(rig::request("/once/x?q=1"), "whole");
    CHECK(has(got, "HTTP/1.1 200"));
    CHECK(has(got, WIRE_SEAL ": s"));
    REQUIRE(r.runs() == 1);
    const auto& sent =
        r.one_.requests_.empty() ? r.two_.requests_[0] : r.one_.requests_[0];
    CHECK(sent.head_.target_ == "/once/x?q=1");
    CHECK(sent.body_ == "hi");
    CHECK(*http::find(sent.head_.headers_, WIRE_ACCOUNT) == "acc");
    CHECK(http::find(sent.head_.headers_, "Authorization") == nullptr);
}

TEST_CASE("what the configuration doesn't allow is refused before any server")
{
    rig r([](const auto&, auto&) {});
    CHECK(has(r.ask(rig::request("/none/"), "\r\n\r\n"), " 404 "));
    CHECK(has(r.ask(rig::request("/once/", "", "bad"), "\r\n\r\n"), " 401 "));
    CHECK(has(r.ask("GET / HTTP/1.1\r\n\r\n", "\r\n\r\n"), " 400 "));
    CHECK(r.runs() == 0);
}

TEST_CASE("a node without configuration or servers says when to come back")
{
    rig r([](const auto&, auto&) {});
    r.servers_.clear();
    r.apply();
    const std::string got = r.ask(rig::request("/once/"), "\r\n\r\n");
    CHECK(has(got, " 503 "));
    CHECK(has(got, "Retry-After: "));
}

TEST_CASE("a failed answer to a safe request is fetched from another server")
{
    rig r([](const auto&, auto& r_session)
          { r_session.write(answer("a1", 500, "bad", WIRE_SEAL ": s\r\n")); });
    r.two_.script_ = [](const auto&, auto& r_session)
    { r_session.write(answer("a1", 200, "good", WIRE_SEAL ": s\r\n")); };
    for (int i = 0; i < 5; ++i)
    {
        CHECK(has(r.ask(rig::request("/safe/"), "good"), " 200 "));
    }
}

TEST_CASE("a failure of work that must not repeat reaches its caller as it is")
{
    rig r([](const auto&, auto& r_session)
          { r_session.write(answer("a1", 500, "bad", WIRE_SEAL ": s\r\n")); });
    const std::string got = r.ask(rig::request("/once/"), "bad");
    CHECK(has(got, " 500 "));
    CHECK(has(got, WIRE_SEAL ": s"));
    CHECK(r.runs() == 1);
}

TEST_CASE("work that must not repeat isn't sent again after a cut")
{
    for (const bool reset : {false, true})
    {
        rig r([reset](const auto&, auto& r_session)
              { r_session.close(reset); });
        const std::string got = r.ask(rig::request("/once/"), "\r\n\r\n");
        CHECK(has(got, " 502 "));
        CHECK_FALSE(has(got, WIRE_SEAL));
        CHECK(r.runs() == 1);
    }
}

TEST_CASE("an answer that is cut short never looks complete")
{
    rig r(
        [](const auto&, auto& r_session)
        {
            r_session.write("HTTP/1.1 200 OK\r\n" WIRE_ATTEMPT
                            ": a1\r\n" WIRE_SEAL
                            ": s\r\nContent-Length: 9\r\n\r\nabc");
            r_session.close();
        });
    const std::string got = r.ask(rig::request("/once/"), "\r\n\r\n");
    CHECK(has(got, " 502 "));
    CHECK_FALSE(has(got, WIRE_SEAL));
}

TEST_CASE("a server that turned a request away passes it to another, any kind")
{
    for (const std::string target : {"/once/", "/safe/", "/stream/"})
    {
        rig r(
            [](const auto&, auto& r_session) {
                r_session.write(answer("a1", 503, "", WIRE_NOT_RUN ": 1\r\n"));
            });
        r.two_.script_ = [](const auto&, auto& r_session)
        { r_session.write(answer("a1", 200, "good", WIRE_SEAL ": s\r\n")); };
        CHECK(has(r.ask(rig::request(target), "good"), " 200 "));
    }
}

TEST_CASE("turned away everywhere, it is refused as not run")
{
    rig r([](const auto&, auto& r_session)
          { r_session.write(answer("a1", 503, "", WIRE_NOT_RUN ": 1\r\n")); });
    const std::string got = r.ask(rig::request("/once/"), "\r\n\r\n");
    CHECK(has(got, " 503 "));
    CHECK(has(got, "Retry-After"));
}

TEST_CASE("a stream is passed on as it comes, and ends only with its end")
{
    scripted_server::session* live = nullptr;
    rig r(
        [&](const auto&, auto& r_session)
        {
            live = &r_session;
            r_session.write(stream_head + chunk(event(1)));
        });
    test_caller caller(r.context_, r.port_);
    caller.send(rig::request("/stream/"));
    REQUIRE(r.until([&] { return has(caller.received_, "data: 1"); }));
    live->write(chunk(event(2)) + "0\r\n\r\n");
    REQUIRE(r.until([&] { return has(caller.received_, "0\r\n\r\n"); }));
    CHECK(has(caller.received_, "data: 2"));
    CHECK_FALSE(caller.ended_);
}

TEST_CASE("a stream that breaks and can't go on is cut, without its end")
{
    rig r(
        [](const auto&, auto& r_session)
        {
            r_session.write(stream_head + chunk(event(1)));
            r_session.close(true);
        });
    const std::string got = r.ask(rig::request("/stream/"), "never");
    CHECK_FALSE(has(got, "0\r\n\r\n"));
    CHECK(r.runs() == 1);
}

TEST_CASE("a stream that may be resumed goes on elsewhere, event by event")
{
    rig r(
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
    const std::string got = r.ask(rig::request("/resume/"), "0\r\n\r\n");
    CHECK(has(got, "data: 1"));
    CHECK(has(got, event(2)));
    CHECK(has(got, event(3)));
    CHECK_FALSE(has(got, "id: 3\ndaid"));
    CHECK(got.find("HTTP/1.1") == got.rfind("HTTP/1.1"));
    CHECK(r.runs() == 2);
}

TEST_CASE("a caller that leaves has its work ended at the server")
{
    for (const std::string target : {"/once/", "/stream/", "/safe/"})
    {
        rig r([](const auto&, auto&) {});
        test_caller caller(r.context_, r.port_);
        caller.send(rig::request(target));
        REQUIRE(r.until([&] { return r.runs() == 1; }));
        caller.close();
        CHECK(r.until([&] { return r.one_.closed_ + r.two_.closed_ == 1; }));
        CHECK(r.router_.open() == 0);
    }
}

TEST_CASE("a request whose time is over gets its final answer then")
{
    rig r([](const auto&, auto&) {});
    const auto start = boot_clock().now();
    const std::string got = r.ask(rig::request("/once/"), "\r\n\r\n");
    CHECK(has(got, " 504 "));
    CHECK(boot_clock().now() - start < 1900ms);
    CHECK(r.runs() == 1);
    CHECK(r.until([&] { return r.one_.closed_ + r.two_.closed_ == 1; }));
}

TEST_CASE("a silent server loses a request that may run again")
{
    rig r([](const auto&, auto&) {});
    r.two_.script_ = [](const auto&, auto& r_session)
    { r_session.write(answer("a1", 200, "good", WIRE_SEAL ": s\r\n")); };
    for (int i = 0; i < 4; ++i)
    {
        CHECK(has(r.ask(rig::request("/safe/"), "good"), " 200 "));
    }
}

TEST_CASE("an answer to an abandoned request reaches nobody")
{
    rig r(
        [](const auto&, auto& r_session)
        {
            r_session.write(
                answer("gone", 200, "foreign", WIRE_SEAL ": f\r\n"));
            r_session.write(answer("a1", 200, "own", WIRE_SEAL ": s\r\n"));
        });
    const std::string got = r.ask(rig::request("/once/"), "own");
    CHECK_FALSE(has(got, "foreign"));
}

TEST_CASE(
    "a leaving node answers and closes, and begins no long work at its end")
{
    rig r([](const auto&, auto& r_session)
          { r_session.write(answer("a1", 200, "good", WIRE_SEAL ": s\r\n")); });
    r.router_.set_leaving();
    CHECK(has(r.ask(rig::request("/once/"), "good"), "Connection: close"));
    r.router_.set_closing();
    CHECK(has(r.ask(rig::request("/stream/"), "\r\n\r\n"), " 503 "));
    CHECK(has(r.ask(rig::request("/once/"), "good"), " 200 "));
}

TEST_CASE("callers that send slowly or nothing are let go in time")
{
    rig r([](const auto&, auto&) {});
    routing::caller_limits limits;
    limits.header_timeout_ = 100ms;
    limits.idle_timeout_ = 200ms;
    r.table_->set_limits(limits);
    test_caller half(r.context_, r.port_);
    half.send("POST /once/ HTTP/1.1\r\nHo");
    test_caller idle(r.context_, r.port_);
    CHECK(r.until([&] { return half.ended_ && idle.ended_; }));
    CHECK(has(half.received_, " 408 "));
    CHECK(idle.received_.empty());
}

TEST_CASE("an answer that ended counts as unsent until its caller has it")
{
    rig r([](const auto&, auto& r_session)
          { r_session.write(answer("a1", 200, "x", WIRE_SEAL ": s\r\n")); });
    test_caller caller(r.context_, r.port_);
    caller.send(rig::request("/once/"));
    const auto end = std::chrono::steady_clock::now() + 3s;
    while ((r.runs() == 0 || r.router_.open() > 0) &&
           std::chrono::steady_clock::now() < end)
    {
        r.context_.restart();
        r.context_.poll_one();
    }
    REQUIRE(r.router_.open() == 0);
    // A node that stops now would cut the answer.
    CHECK(r.listener_.has_unsent());
    CHECK(r.until([&] { return has(caller.received_, "\r\n\r\nx"); }));
    CHECK_FALSE(r.listener_.has_unsent());
}

TEST_CASE("a success that doesn't bear its server's mark reaches nobody")
{
    rig r([](const auto&, auto& r_session)
          { r_session.write(answer("a1", 200, "unproven")); });
    const std::string got = r.ask(rig::request("/once/"), "\r\n\r\n");
    CHECK(has(got, " 502 "));
    CHECK_FALSE(has(got, "unproven"));
    r.two_.script_ = [](const auto&, auto& r_session)
    { r_session.write(answer("a1", 200, "good", WIRE_SEAL ": s\r\n")); };
    for (int i = 0; i < 3; ++i)
    {
        CHECK(has(r.ask(rig::request("/safe/"), "good"), " 200 "));
    }
}

TEST_CASE("beyond its connections a node lets the longest idle caller go")
{
    rig r([](const auto&, auto&) {});
    r.listener_.set_most(2);
    test_caller busy(r.context_, r.port_);
    busy.send(rig::request("/once/"));
    REQUIRE(r.until([&] { return r.runs() == 1; }));
    test_caller idle(r.context_, r.port_);
    REQUIRE(r.until([&] { return r.listener_.size() == 2; }));
    test_caller late(r.context_, r.port_);
    CHECK(r.until([&] { return idle.ended_; }));
    CHECK_FALSE(busy.ended_);
    CHECK_FALSE(late.ended_);
    // With none idle, the new one goes.
    late.send("POST");
    test_caller last(r.context_, r.port_);
    CHECK(r.until([&] { return last.ended_; }));
}

TEST_CASE("a server that answers each request with a failure is left alone")
{
    rig r(
        [](const auto&, auto& r_session)
        { r_session.write(answer("a1", 200, "whole", WIRE_SEAL ": s\r\n")); });
    r.one_.script_ = [](const auto&, auto& r_session)
    { r_session.write(answer("a1", 500, "bad", WIRE_SEAL ": s\r\n")); };
    constexpr int requests = 40;
    for (int i = 0; i < requests; ++i)
    {
        r.ask(rig::request("/once/x"), "\r\n\r\n");
    }
    CHECK(r.one_.requests_.size() <= requests / 5);
    CHECK(r.runs() == requests);
}

TEST_CASE("a server that isn't at its address any more gets no second request")
{
    rig r(
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
        CHECK(has(r.ask(rig::request("/safe/x"), "whole"), "whole"));
    }
    CHECK(r.one_.requests_.size() <= 3);
}

TEST_CASE("a request that never left costs nothing of the budget")
{
    rig r([](const auto&, auto& r_session)
          { r_session.write(answer("a1", 200, "whole", WIRE_SEAL ": s\r\n")); },
          {0, 0, 10s});
    r.one_.stop_listening();
    constexpr int requests = 10;
    for (int i = 0; i < requests; ++i)
    {
        CHECK(has(r.ask(rig::request("/once/x"), "whole"), "whole"));
    }
    CHECK(r.two_.requests_.size() == requests);
}
