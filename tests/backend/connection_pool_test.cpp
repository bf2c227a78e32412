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

std::string make_response(const std::string& p_id, const std::string& p_body,
                          const std::string& p_more = "")
{
    return "HTTP/1.1 200 OK\r\n" WIRE_ATTEMPT ": " + p_id +
           "\r\nContent-Length: " + std::to_string(p_body.size()) + "\r\n" +
           p_more + "\r\n" + p_body;
}

struct recording_handler : call_handler
{
    bool on_head(const http::response_head& p_head) override
    {
        const auto* id = http::find_header(p_head.headers_, WIRE_ATTEMPT);
        return id == nullptr || *id == "a";
    }
    void on_body(std::string p_bytes) override { body_ += p_bytes; }
    void on_complete() override { ++completions_; }
    void on_failure(call_failure p_failure) override { failure_ = p_failure; }
    [[nodiscard]] bool is_finished() const
    {
        return completions_ > 0 || failure_;
    }

    std::string body_;
    int completions_ = 0;
    std::optional<call_failure> failure_;
};

struct pool_fixture
{
    explicit pool_fixture(scripted_server::script p_script)
        : server_(context_, std::move(p_script)), pool_(context_, {})
    {
    }
    std::shared_ptr<recording_handler> send_request()
    {
        auto handler = std::make_shared<recording_handler>();
        CHECK(pool_.send("s", server_.address(), request, false, handler));
        CHECK(run_until(context_, [&] { return handler->is_finished(); }));
        return handler;
    }
    boost::asio::io_context context_;
    scripted_server server_;
    connection_pool pool_;
};

} // namespace

TEST_CASE("an idle connection is reused")
{
    pool_fixture fixture([](const auto&, auto& r_session)
                         { r_session.write(make_response("a", "x")); });
    CHECK_FALSE(fixture.pool_.has_idle("s"));
    CHECK(fixture.send_request()->body_ == "x");
    CHECK(fixture.pool_.has_idle("s"));
    CHECK_FALSE(fixture.pool_.has_idle("other"));
    CHECK(fixture.send_request()->body_ == "x");
    CHECK(fixture.pool_.connections_opened() == 1);
}

TEST_CASE("a response to another request is skipped")
{
    pool_fixture fixture(
        [](const auto&, auto& r_session) {
            r_session.write(make_response("old", "late") +
                            make_response("a", "x"));
        });
    CHECK(fixture.send_request()->body_ == "x");
}

TEST_CASE(
    "bytes after a response close the connection and affect no other call")
{
    pool_fixture fixture(
        [](const auto&, auto& r_session) {
            r_session.write(make_response("a", "x") + make_response("a", "y"));
        });
    CHECK(fixture.send_request()->body_ == "x");
    CHECK(fixture.send_request()->body_ == "x");
    CHECK(fixture.pool_.connections_opened() == 2);
}

TEST_CASE("unexpected bytes close an idle connection")
{
    pool_fixture fixture([](const auto&, auto& r_session)
                         { r_session.write(make_response("a", "x")); });
    fixture.send_request();
    fixture.server_.sessions_[0]->write("stray");
    CHECK(run_until(fixture.context_,
                    [&] { return fixture.server_.peer_disconnects_ == 1; }));
    CHECK(fixture.send_request()->body_ == "x");
    CHECK(fixture.pool_.connections_opened() == 2);
}

TEST_CASE("a truncated response fails the call without a resend")
{
    for (const bool reset : {false, true})
    {
        pool_fixture fixture(
            [reset](const auto&, auto& r_session)
            {
                r_session.write("HTTP/1.1 200 OK\r\n" WIRE_ATTEMPT ": a\r\n"
                                "Content-Length: 9\r\n\r\nabc");
                r_session.close(reset);
            });
        const auto handler = fixture.send_request();
        CHECK(handler->completions_ == 0);
        CHECK(handler->failure_ == call_failure::connection_lost);
        CHECK(fixture.server_.requests_.size() == 1);
    }
}

TEST_CASE("a request isn't resent when its reused connection is reset")
{
    pool_fixture fixture([](const auto&, auto& r_session)
                         { r_session.write(make_response("a", "x")); });
    fixture.send_request();
    fixture.server_.script_ = [](const auto&, auto& r_session)
    { r_session.close(true); };
    CHECK(fixture.send_request()->failure_ == call_failure::connection_lost);
    CHECK(fixture.server_.requests_.size() == 2);
}

TEST_CASE(
    "closing the connection ends a response without length; a reset fails it")
{
    pool_fixture fixture(
        [](const auto&, auto& r_session)
        {
            r_session.write("HTTP/1.1 200 OK\r\n" WIRE_ATTEMPT
                            ": a\r\n\r\nabc");
            r_session.close();
        });
    const auto handler = fixture.send_request();
    CHECK(handler->completions_ == 1);
    CHECK(handler->body_ == "abc");
    fixture.server_.script_ = [](const auto&, auto& r_session)
    {
        r_session.write("HTTP/1.1 200 OK\r\n" WIRE_ATTEMPT ": a\r\n\r\nabc");
        r_session.close(true);
    };
    CHECK(fixture.send_request()->failure_ == call_failure::connection_lost);
}

TEST_CASE("a refused connection fails the call as unsent")
{
    pool_fixture fixture([](const auto&, auto&) {});
    const std::string address = fixture.server_.address();
    fixture.server_.stop_listening();
    auto handler = std::make_shared<recording_handler>();
    CHECK(fixture.pool_.send("s", address, request, false, handler));
    CHECK(run_until(fixture.context_, [&] { return handler->is_finished(); }));
    CHECK(handler->failure_ == call_failure::unsent);
    CHECK_FALSE(
        fixture.pool_.send("s2", "no address", request, false, handler));
}

TEST_CASE(
    "malformed responses fail, and `Connection: close` closes the connection")
{
    pool_fixture fixture([](const auto&, auto& r_session)
                         { r_session.write("\x01garbage\r\n\r\n"); });
    CHECK(fixture.send_request()->failure_ == call_failure::malformed);
    fixture.server_.script_ = [](const auto&, auto& r_session)
    { r_session.write(make_response("a", "x", "Connection: close\r\n")); };
    CHECK(fixture.send_request()->completions_ == 1);
    CHECK(fixture.send_request()->completions_ == 1);
    CHECK(fixture.pool_.connections_opened() == 3);
}

TEST_CASE(
    "a connection isn't reused if the response precedes the whole request")
{
    // The server responds when it accepts and doesn't read the long body.
    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor acceptor(
        context, {boost::asio::ip::address_v4::loopback(), 0});
    boost::asio::ip::tcp::socket accepted(context);
    acceptor.async_accept(accepted,
                          [&](const auto&)
                          {
                              boost::asio::write(
                                  accepted,
                                  boost::asio::buffer(make_response("a", "x")));
                          });
    connection_pool pool(context, {});
    auto handler = std::make_shared<recording_handler>();
    const std::string address =
        "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
    const std::string body(16U << 20U, 'b');
    const std::string bytes = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " +
                              std::to_string(body.size()) + "\r\n\r\n" + body;
    std::weak_ptr<connection> used =
        pool.send("s", address, bytes, false, handler);
    CHECK(run_until(context, [&] { return handler->is_finished(); }));
    CHECK(handler->body_ == "x");
    CHECK(run_until(context, [&] { return used.expired(); }));
}
