#include "tests/ingress/router_fixture.hpp"

#include <list>
#include <thread>

#include <poll.h>

using namespace peridotspar;
using namespace peridotspar::ingress;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t long_body_bytes = 17000;

/// Accepts a connection and reads nothing from it.
struct silent_server
{
    explicit silent_server(boost::asio::io_context& p_context)
        : acceptor_(p_context), socket_(p_context)
    {
        const boost::asio::ip::tcp::endpoint any(
            boost::asio::ip::address_v4::loopback(), 0);
        acceptor_.open(any.protocol());
        acceptor_.set_option(
            boost::asio::socket_base::receive_buffer_size(4096));
        acceptor_.bind(any);
        acceptor_.listen();
        acceptor_.async_accept(socket_, [this](const auto& p_error)
                               { accepted_ = !p_error; });
    }
    [[nodiscard]] std::string address() const
    {
        return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
    }
    /// Whether the server can see, without reading, that its peer has gone.
    [[nodiscard]] bool sees_peer_gone()
    {
        pollfd state{socket_.native_handle(), POLLRDHUP, 0};
        return ::poll(&state, 1, 0) > 0 &&
               (state.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
    }

    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::ip::tcp::socket socket_;
    bool accepted_ = false;
};

} // namespace

TEST_CASE("a close doesn't wait on the node's link behind requests to servers")
{
    constexpr double link_bytes_per_s = 1'250'000; // 10 Mbit/s.
    constexpr std::size_t requests = 100;
    router_fixture fixture([](const auto&, auto&) {}, {}, link_bytes_per_s);
    for (auto& [id, entry] : fixture.servers_)
    {
        entry.slots_ = requests;
    }
    fixture.apply();
    std::list<test_caller> callers;
    const auto start = std::chrono::steady_clock::now();
    for (std::size_t i = 0; i < requests; ++i)
    {
        auto& caller = callers.emplace_back(fixture.context_, fixture.port_);
        caller.send(router_fixture::long_request("/stream/", long_body_bytes));
        fixture.context_.poll();
    }
    fixture.until([&]
                  { return std::chrono::steady_clock::now() - start > 250ms; });
    // A packet may wait half a second behind what was sent.
    const std::chrono::duration<double> limit(0.5);
    const auto elapsed = std::chrono::steady_clock::now() - start;
    const double sent_bytes =
        static_cast<double>(fixture.request_count() * long_body_bytes);
    CHECK(sent_bytes <
          link_bytes_per_s *
              (std::chrono::duration<double>(elapsed).count() + limit.count()));
    CHECK(fixture.request_count() > 5);
}

TEST_CASE("a request whose caller left before it was read isn't sent")
{
    router_fixture fixture([](const auto&, auto&) {});
    test_caller caller(fixture.context_, fixture.port_);
    caller.send(router_fixture::request("/once/"));
    caller.close();
    const auto start = std::chrono::steady_clock::now();
    fixture.until([&]
                  { return std::chrono::steady_clock::now() - start > 100ms; });
    CHECK(fixture.request_count() == 0);
    CHECK(fixture.router_.connections_opened() == 0);
    CHECK(fixture.router_.open_requests() == 0);
}

TEST_CASE("a queued request whose caller left isn't sent before that is read")
{
    router_fixture fixture([](const auto&, auto&) {});
    constexpr auto pause = 150ms;
    for (const std::string id : {"i-1", "i-2"})
    {
        fixture.router_.placement().record_pause(id, pause, boot_clock().now());
    }
    test_caller caller(fixture.context_, fixture.port_);
    caller.send(router_fixture::request("/once/"));
    REQUIRE(
        fixture.until([&] { return fixture.router_.waiting_requests() == 1; }));
    caller.close();
    std::this_thread::sleep_for(2 * pause);
    // The loop is late: a tick comes before the close is read.
    fixture.router_.tick();
    fixture.until([&] { return fixture.router_.open_requests() == 0; });
    CHECK(fixture.router_.connections_opened() == 0);
}

TEST_CASE("a server that doesn't read sees at once that a caller left")
{
    router_fixture fixture([](const auto&, auto&) {});
    silent_server server(fixture.context_);
    for (auto& [id, entry] : fixture.servers_)
    {
        entry.address_ = server.address();
    }
    fixture.apply();
    test_caller caller(fixture.context_, fixture.port_);
    const std::string request =
        router_fixture::long_request("/stream/", 3'000'000);
    constexpr std::size_t step = 32768;
    for (std::size_t at = 0; at < request.size(); at += step)
    {
        caller.send(request.substr(at, step));
        fixture.context_.restart();
        fixture.context_.poll();
    }
    REQUIRE(fixture.until([&] { return server.accepted_; }));
    caller.close();
    CHECK(fixture.until([&] { return server.sees_peer_gone(); }));
}
