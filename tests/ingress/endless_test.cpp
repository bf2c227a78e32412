#include "tests/ingress/router_fixture.hpp"

#include <list>

// Guards against ends of the process (LOST): a faulty server's bytes without
// end filled the memory of the node that had called it.

using namespace peridotspar;
using namespace peridotspar::ingress;

namespace
{

constexpr std::size_t mib = 1U << 20U;

/// A server that answers each connection with a head and then repeats bytes as
/// fast as they are taken, up to a number.
class flood_server
{
public:
    flood_server(boost::asio::io_context& p_context, std::string p_head,
                 std::string p_repeated, std::size_t p_most)
        : acceptor_(p_context, {boost::asio::ip::address_v4::loopback(), 0}),
          head_(std::move(p_head)),
          repeated_(std::move(p_repeated)),
          most_(p_most)
    {
        accept();
    }
    [[nodiscard]] std::string address() const
    {
        return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
    }
    /// Bytes that were taken from all connections.
    std::size_t taken_ = 0;
    std::string end_; ///< Sent after the last bytes.

private:
    struct session
    {
        explicit session(boost::asio::ip::tcp::socket p_socket)
            : socket_(std::move(p_socket))
        {
        }
        boost::asio::ip::tcp::socket socket_;
        std::array<char, 4096> request_{};
        std::size_t left_ = 0;
    };
    void accept()
    {
        acceptor_.async_accept(
            [this](const auto& p_error, auto p_socket)
            {
                if (p_error)
                {
                    return;
                }
                auto& added = sessions_.emplace_back(std::move(p_socket));
                added.left_ = most_;
                added.socket_.async_read_some(
                    boost::asio::buffer(added.request_),
                    [this, &added](const auto& p_read_error, std::size_t)
                    {
                        if (!p_read_error)
                        {
                            write(added, head_);
                        }
                    });
                accept();
            });
    }
    void write(session& r_session, const std::string& p_bytes)
    {
        boost::asio::async_write(
            r_session.socket_, boost::asio::buffer(p_bytes),
            [this, &r_session, &p_bytes](const auto& p_error,
                                         std::size_t p_size)
            {
                taken_ += p_size;
                if (p_error || &p_bytes == &end_)
                {
                    return;
                }
                const bool is_over = r_session.left_ < repeated_.size();
                r_session.left_ -= is_over ? 0 : repeated_.size();
                if (!is_over || !end_.empty())
                {
                    write(r_session, is_over ? end_ : repeated_);
                }
            });
    }

    boost::asio::ip::tcp::acceptor acceptor_;
    std::string head_;
    std::string repeated_;
    std::size_t most_;
    std::list<session> sessions_;
};

/// A caller that takes nothing until it is told to.
struct slow_caller
{
    slow_caller(boost::asio::io_context& p_context, std::uint16_t p_port,
                const std::string& p_request)
        : socket_(p_context)
    {
        socket_.open(boost::asio::ip::tcp::v4());
        socket_.set_option(
            boost::asio::socket_base::receive_buffer_size(65536));
        socket_.connect({boost::asio::ip::address_v4::loopback(), p_port});
        boost::asio::write(socket_, boost::asio::buffer(p_request));
    }
    void read()
    {
        socket_.async_read_some(boost::asio::buffer(bytes_),
                                [this](const auto& p_error, std::size_t p_count)
                                {
                                    received_ += p_count;
                                    last_ = std::string(bytes_.data(), p_count);
                                    ended_ = static_cast<bool>(p_error);
                                    if (!ended_)
                                    {
                                        read();
                                    }
                                });
    }
    boost::asio::ip::tcp::socket socket_;
    std::array<char, 65536> bytes_{};
    std::size_t received_ = 0;
    std::string last_;
    bool ended_ = false;
};

/// Both servers of the router send bytes without end.
struct endless_fixture : router_fixture
{
    endless_fixture(const std::string& p_head, const std::string& p_repeated,
                    std::size_t p_most = ~std::size_t{0})
        : router_fixture([](const auto&, auto&) {}),
          flood_(context_, p_head, p_repeated, p_most)
    {
        for (auto& [id, entry] : servers_)
        {
            entry.address_ = flood_.address();
            entry.slots_ = 64;
        }
        apply();
    }
    /// Runs until the server gets no more bytes off for a while.
    bool is_held_back()
    {
        std::size_t before = ~std::size_t{0};
        for (int i = 0; i < 12 && before != flood_.taken_; ++i)
        {
            before = flood_.taken_;
            run_for(100ms);
        }
        return before == flood_.taken_;
    }
    void run_for(std::chrono::milliseconds p_time)
    {
        const auto end = std::chrono::steady_clock::now() + p_time;
        until([&] { return std::chrono::steady_clock::now() >= end; });
    }

    flood_server flood_;
};

const std::string plain_head =
    "HTTP/1.1 200 OK\r\n" WIRE_ATTEMPT ": a1\r\n" WIRE_SEAL ": s\r\n\r\n";
const std::string no_event = make_chunk(std::string(32768, 'x'));
const std::string long_event =
    make_chunk("data: " + std::string(32760, 'x') + "\n\n");

} // namespace

TEST_CASE("a server waits while the caller of its stream takes nothing")
{
    for (const std::string target : {"/stream/", "/resume/"})
    {
        CAPTURE(target);
        endless_fixture r(stream_response_head, long_event);
        slow_caller caller(r.context_, r.port_,
                           router_fixture::request(target));
        CHECK(r.is_held_back());
        // What both connections and the node hold.
        CHECK(r.flood_.taken_ < 16 * mib);
        // Its deadline ends it.
        caller.read();
        CHECK(r.until([&] { return caller.ended_; }));
        CHECK_FALSE(contains(caller.last_, "\r\n0\r\n\r\n"));
    }
}

TEST_CASE("a long stream reaches a caller that is slow whole")
{
    constexpr std::size_t size = 8 * mib;
    endless_fixture r(stream_response_head, long_event, size);
    r.flood_.end_ = "0\r\n\r\n";
    slow_caller caller(r.context_, r.port_,
                       router_fixture::request("/stream/"));
    r.run_for(300ms);
    caller.read();
    CHECK(r.until([&] { return caller.last_.ends_with("0\r\n\r\n"); }));
    CHECK(caller.received_ >= size / long_event.size() * long_event.size());
}

TEST_CASE("a stream without end is cut and doesn't look complete")
{
    for (const std::string& repeated : {no_event, long_event})
    {
        for (const std::string target : {"/stream/", "/resume/"})
        {
            CAPTURE(target);
            endless_fixture r(stream_response_head, repeated);
            slow_caller caller(r.context_, r.port_,
                               router_fixture::request(target));
            caller.read();
            REQUIRE(r.until([&] { return caller.ended_; }));
            CHECK_FALSE(contains(caller.last_, "\r\n0\r\n\r\n"));
            // At most as long an answer from each server.
            CHECK(caller.received_ < 40 * mib);
        }
    }
}

TEST_CASE("many answers without end don't fill the memory of a node")
{
    endless_fixture r(plain_head, std::string(32768, 'x'));
    std::list<slow_caller> callers;
    std::size_t most = 0;
    for (int i = 0; i < 18; ++i)
    {
        callers
            .emplace_back(r.context_, r.port_,
                          router_fixture::request("/once/"))
            .read();
    }
    REQUIRE(r.until(
        [&]
        {
            most = std::max(most, r.router_.kept_bytes());
            return std::all_of(callers.begin(), callers.end(),
                               [](const auto& p_caller)
                               { return contains(p_caller.last_, " 50"); });
        }));
    // A quarter of the smallest VM's 160 MB.
    CHECK(most < 40 * mib);
}

TEST_CASE("a refusal with a body without end is a refusal")
{
    endless_fixture r("HTTP/1.1 503 X\r\n" WIRE_ATTEMPT ": a1\r\n" WIRE_NOT_RUN
                      ": 1\r\n\r\n",
                      std::string(32768, 'x'));
    CHECK(contains(r.fetch(router_fixture::request("/once/"), "\r\n\r\n"),
                   " 503 "));
}

TEST_CASE("responses of other requests without end end the call")
{
    endless_fixture r("HTTP/1.1 200 OK\r\n" WIRE_ATTEMPT ": gone\r\n" WIRE_SEAL
                      ": s\r\n\r\n",
                      std::string(32768, 'x'));
    CHECK(contains(r.fetch(router_fixture::request("/once/"), "\r\n\r\n"),
                   " 502 "));
    CHECK(r.flood_.taken_ < 64 * mib);
}

// Guards against nodes that run out of memory because they keep the bodies of
// all their streams (LOST).
TEST_CASE("a request's bytes aren't kept after their last use")
{
    constexpr std::size_t body_bytes = 200'000;
    struct kept_case
    {
        std::string target_;
        std::size_t while_waiting_ = 0;
        std::size_t after_begin_ = 0;
    };
    for (const auto& [target, while_waiting, after_begin] :
         std::vector<kept_case>{{"/stream/", body_bytes, 0},
                                // Another server may resume it.
                                {"/resume/", body_bytes, body_bytes},
                                {"/once/", body_bytes, 0}})
    {
        CAPTURE(target);
        // Belongs to the server: its socket must not outlive the I/O context.
        scripted_server::session* session = nullptr;
        router_fixture r([&](const auto&, auto& r_session)
                         { session = &r_session; });
        test_caller caller(r.context_, r.port_);
        caller.send(router_fixture::long_request(target, body_bytes));
        REQUIRE(r.until([&] { return session != nullptr; }));
        CHECK(r.router_.kept_request_bytes() == while_waiting);
        session->write(stream_response_head + make_chunk(make_event(1)));
        r.until([&] { return contains(caller.received_, "data: 1"); });
        CHECK(r.router_.kept_request_bytes() == after_begin);
    }
}
