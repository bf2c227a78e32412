#include "backend/buffered_client.hpp"
#include "tests/fakes/loopback.hpp"

#include <optional>
#include <thread>

#include <doctest/doctest.h>

using namespace peridotspar;
using namespace peridotspar::backend;
using namespace std::chrono_literals;

namespace
{

/// The limit on the body of a response that `buffered_client` states.
constexpr std::size_t body_limit_bytes = 16U << 20U;

/// A client and a server that responds to each request with a body of
/// `p_body_bytes`. The server runs on a thread of its own, because it blocks
/// while it writes a body that doesn't fit into the socket buffers.
struct fixture
{
    fixture(std::size_t p_body_bytes, bool p_chunked)
        : server_(server_context_, [=](const auto&, auto& r_session)
                  { r_session.write(make_response(p_body_bytes, p_chunked)); }),
          client_(context_),
          server_thread_([this] { server_context_.run(); })
    {
    }
    ~fixture()
    {
        server_context_.stop();
        server_thread_.join();
    }
    fixture(const fixture&) = delete;
    fixture& operator=(const fixture&) = delete;

    static std::string make_response(std::size_t p_body_bytes, bool p_chunked)
    {
        const std::string body(p_body_bytes, 'b');
        if (!p_chunked)
        {
            return "HTTP/1.1 200 OK\r\nContent-Length: " +
                   std::to_string(p_body_bytes) + "\r\n\r\n" + body;
        }
        std::array<char, 20> size{};
        std::snprintf(size.data(), size.size(), "%zx", p_body_bytes);
        return std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked"
                           "\r\n\r\n") +
               size.data() + "\r\n" + body + "\r\n0\r\n\r\n";
    }
    /// Sends a request and returns its response.
    client_response fetch()
    {
        std::optional<client_response> response;
        client_.send(server_.address(), "GET / HTTP/1.1\r\nHost: h\r\n\r\n",
                     10s,
                     [&](const client_response& p_response)
                     {
                         CHECK_FALSE(response);
                         response = p_response;
                     });
        CHECK(run_until(
            context_, [&] { return response.has_value(); },
            [this] { client_.tick(clock_.now()); }, 10s));
        // A second callback would come with the rest of the response.
        run_until(
            context_, [] { return false; },
            [this] { client_.tick(clock_.now()); }, 50ms);
        return response.value_or(client_response{});
    }

    boost::asio::io_context context_;
    boost::asio::io_context server_context_;
    boot_clock clock_;
    scripted_server server_;
    buffered_client client_;
    std::thread server_thread_;
};

} // namespace

TEST_CASE("a body of the size limit is delivered whole")
{
    for (const bool chunked : {false, true})
    {
        fixture f(body_limit_bytes, chunked);
        const auto response = f.fetch();
        CHECK(response.status_ == 200);
        CHECK(response.body_.size() == body_limit_bytes);
    }
}

TEST_CASE("a body over the size limit fails the call")
{
    for (const bool chunked : {false, true})
    {
        fixture f(body_limit_bytes + 1, chunked);
        const auto response = f.fetch();
        CHECK(response.status_ == 0);
        CHECK(response.body_.empty());
        CHECK_FALSE(response.unsent_);
    }
}

TEST_CASE("a response that arrives slowly isn't cut, and one that stops is")
{
    boost::asio::io_context context;
    std::shared_ptr<scripted_server::session> session;
    scripted_server server(context,
                           [&](const auto&, auto& r_session)
                           {
                               session = r_session.shared_from_this();
                               r_session.write("HTTP/1.1 200 OK\r\n"
                                               "Content-Length: 9\r\n\r\n");
                           });
    backend::buffered_client client(context);
    std::optional<client_response> response;
    client.send(server.address(), "GET / HTTP/1.1\r\nHost: h\r\n\r\n", 200ms,
                [&](const client_response& p_response)
                { response = p_response; });
    boot_clock clock;
    const auto run = [&](std::chrono::milliseconds p_time)
    {
        run_until(
            context, [&] { return response.has_value(); },
            [&] { client.tick(clock.now()); }, p_time);
    };
    run(100ms);
    for (int i = 0; i < 3; ++i)
    {
        REQUIRE(session);
        session->write("b");
        run(300ms);
        CHECK_FALSE(response);
    }
    run(1500ms);
    REQUIRE(response);
    CHECK(response->status_ == 0);
}
