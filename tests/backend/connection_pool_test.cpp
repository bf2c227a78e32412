#include "backend/connection_pool.hpp"
#include "tests/fakes/loopback.hpp"
#include "tests/platform/wire_headers.hpp"

#include <doctest/doctest.h>

using namespace peridotspar;
using namespace peridotspar::backend;

namespace
{

const std::string request =
    "GET / HTTP/1.1\r\nHost: h\r\n" WIRE_ATTEMPT ": a\r\n\r\n";

std::string answer(const std::string& p_id, const std::string& p_body,
                   const std::string& p_more = "")
{
    return "HTTP/1.1 200 OK\r\n" WIRE_ATTEMPT ": " + p_id +
           "\r\nContent-Length: " + std::to_string(p_body.size()) + "\r\n" +
           p_more + "\r\n" + p_body;
}

struct recorder : call_handler
{
    bool on_head(const http::answer_head& p_head) override
    {
        const auto* id = http::find(p_head.headers_, WIRE_ATTEMPT);
        return id == nullptr || *id == "a";
    }
    void on_body(std::string p_bytes) override { body_ += p_bytes; }
    void on_whole() override { ++whole_; }
    void on_failure(call_failure p_failure) override { failure_ = p_failure; }
    [[nodiscard]] bool is_over() const { return whole_ > 0 || failure_; }

    std::string body_;
    int whole_ = 0;
    std::optional<call_failure> failure_;
};

struct rig
{
    explicit rig(scripted_server::script p_script)
        : server_(context_, std::move(p_script)), pool_(context_, {})
    {
    }
    std::shared_ptr<recorder> call()
    {
        auto made = std::make_shared<recorder>();
        CHECK(pool_.send("s", server_.address(), request, false, made));
        CHECK(run_until(context_, [&] { return made->is_over(); }));
        return made;
    }
    boost::asio::io_context context_;
    scripted_server server_;
    connection_pool pool_;
};

} // namespace

TEST_CASE("a connection serves further requests")
{
    rig r([](const auto&, auto& r_session)
          { r_session.write(answer("a", "x")); });
    CHECK_FALSE(r.pool_.has_idle("s"));
    CHECK(r.call()->body_ == "x");
    CHECK(r.pool_.has_idle("s"));
    CHECK_FALSE(r.pool_.has_idle("other"));
    CHECK(r.call()->body_ == "x");
    CHECK(r.pool_.opened() == 1);
}

TEST_CASE("an answer to another request is passed over for the right one")
{
    rig r([](const auto&, auto& r_session)
          { r_session.write(answer("old", "late") + answer("a", "x")); });
    CHECK(r.call()->body_ == "x");
}

TEST_CASE("bytes beyond an answer end the connection, not the next request")
{
    rig r([](const auto&, auto& r_session)
          { r_session.write(answer("a", "x") + answer("a", "y")); });
    CHECK(r.call()->body_ == "x");
    CHECK(r.call()->body_ == "x");
    CHECK(r.pool_.opened() == 2);
}

TEST_CASE("bytes on an idle connection end it")
{
    rig r([](const auto&, auto& r_session)
          { r_session.write(answer("a", "x")); });
    r.call();
    r.server_.sessions_[0]->write("stray");
    CHECK(run_until(r.context_, [&] { return r.server_.closed_ == 1; }));
    CHECK(r.call()->body_ == "x");
    CHECK(r.pool_.opened() == 2);
}

TEST_CASE("an answer that is cut fails, and nothing is sent again")
{
    for (const bool reset : {false, true})
    {
        rig r(
            [reset](const auto&, auto& r_session)
            {
                r_session.write("HTTP/1.1 200 OK\r\n" WIRE_ATTEMPT ": a\r\n"
                                "Content-Length: 9\r\n\r\nabc");
                r_session.close(reset);
            });
        const auto made = r.call();
        CHECK(made->whole_ == 0);
        CHECK(made->failure_ == call_failure::cut);
        CHECK(r.server_.requests_.size() == 1);
    }
}

TEST_CASE("a kept connection that dies with the request isn't tried again")
{
    rig r([](const auto&, auto& r_session)
          { r_session.write(answer("a", "x")); });
    r.call();
    r.server_.script_ = [](const auto&, auto& r_session)
    { r_session.close(true); };
    CHECK(r.call()->failure_ == call_failure::cut);
    CHECK(r.server_.requests_.size() == 2);
}

TEST_CASE("an answer without length ends with its connection, unless reset")
{
    rig r(
        [](const auto&, auto& r_session)
        {
            r_session.write("HTTP/1.1 200 OK\r\n" WIRE_ATTEMPT
                            ": a\r\n\r\nabc");
            r_session.close();
        });
    const auto made = r.call();
    CHECK(made->whole_ == 1);
    CHECK(made->body_ == "abc");
    r.server_.script_ = [](const auto&, auto& r_session)
    {
        r_session.write("HTTP/1.1 200 OK\r\n" WIRE_ATTEMPT ": a\r\n\r\nabc");
        r_session.close(true);
    };
    CHECK(r.call()->failure_ == call_failure::cut);
}

TEST_CASE("a refused connection leaves the request provably unsent")
{
    rig r([](const auto&, auto&) {});
    const std::string address = r.server_.address();
    r.server_.stop_listening();
    auto made = std::make_shared<recorder>();
    CHECK(r.pool_.send("s", address, request, false, made));
    CHECK(run_until(r.context_, [&] { return made->is_over(); }));
    CHECK(made->failure_ == call_failure::unsent);
    CHECK_FALSE(r.pool_.send("s2", "no address", request, false, made));
}

TEST_CASE("garbage fails, and `Connection: close` ends the connection")
{
    rig r([](const auto&, auto& r_session)
          { r_session.write("\x01garbage\r\n\r\n"); });
    CHECK(r.call()->failure_ == call_failure::malformed);
    r.server_.script_ = [](const auto&, auto& r_session)
    { r_session.write(answer("a", "x", "Connection: close\r\n")); };
    CHECK(r.call()->whole_ == 1);
    CHECK(r.call()->whole_ == 1);
    CHECK(r.pool_.opened() == 3);
}

TEST_CASE("an answer before the whole request was sent isn't reused")
{
    // The server answers at the head of a long body and reads no further.
    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor acceptor(
        context, {boost::asio::ip::address_v4::loopback(), 0});
    boost::asio::ip::tcp::socket accepted(context);
    acceptor.async_accept(
        accepted,
        [&](const auto&) {
            boost::asio::write(accepted, boost::asio::buffer(answer("a", "x")));
        });
    connection_pool pool(context, {});
    auto made = std::make_shared<recorder>();
    const std::string address =
        "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
    const std::string body(16U << 20U, 'b');
    const std::string bytes = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " +
                              std::to_string(body.size()) + "\r\n\r\n" + body;
    std::weak_ptr<connection> used =
        pool.send("s", address, bytes, false, made);
    CHECK(run_until(context, [&] { return made->is_over(); }));
    CHECK(made->body_ == "x");
    CHECK(run_until(context, [&] { return used.expired(); }));
}
