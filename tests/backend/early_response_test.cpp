#include "backend/connection_pool.hpp"
#include "tests/fakes/early_server.hpp"

#include <doctest/doctest.h>

using namespace peridotspar;
using namespace peridotspar::backend;
using namespace std::chrono_literals;

namespace
{

/// More than the buffers of two loopback sockets take.
constexpr std::size_t upload_bytes = 32U << 20U;
const std::string upload = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " +
                           std::to_string(upload_bytes) + "\r\n\r\n" +
                           std::string(upload_bytes, 'u');
const std::string half_answer = "HTTP/1.1 200 OK\r\n\r\nhalf of the bo";

struct recorder : call_handler
{
    bool on_head(const http::response_head& p_head) override
    {
        status_ = p_head.status_;
        return true;
    }
    void on_body(std::string p_bytes) override { body_ += p_bytes; }
    void on_complete() override { complete_ = true; }
    void on_failure(call_failure p_failure) override { failure_ = p_failure; }

    int status_ = 0;
    std::string body_;
    bool complete_ = false;
    std::optional<call_failure> failure_;
};

struct fixture
{
    explicit fixture(const std::string& p_answer,
                     early_server::end p_end = early_server::end::shutdown)
        : server_(context_, p_answer, p_end)
    {
        connection_ = pool_.send("s", server_.address(), upload, false, call_);
    }
    bool run(const std::function<bool()>& p_condition,
             std::chrono::milliseconds p_time = 5s)
    {
        return run_until(
            context_, p_condition, [] {}, p_time);
    }
    [[nodiscard]] bool has_ended() const
    {
        return call_->complete_ || call_->failure_;
    }
    boost::asio::io_context context_;
    early_server server_;
    connection_pool pool_{context_, {}};
    std::shared_ptr<recorder> call_ = std::make_shared<recorder>();
    std::shared_ptr<connection> connection_;
};

} // namespace

// Guards against half an answer that reaches the caller as a complete one
// (MIXED): a server in trouble answers a long upload at once, without a length,
// and resets the connection.
TEST_CASE("an answer that ends before its request was read isn't complete")
{
    fixture f(half_answer);
    REQUIRE(f.run([&] { return f.call_->body_ == "half of the bo"; }));
    f.run([] { return false; }, 100ms);
    CHECK_FALSE(f.has_ended());
    f.server_.reset();
    REQUIRE(f.run([&] { return f.has_ended(); }));
    CHECK(f.call_->failure_ == call_failure::connection_lost);
    CHECK_FALSE(f.call_->complete_);
}

TEST_CASE("an answer whose server neither reads on nor closes is given up")
{
    fixture f(half_answer);
    REQUIRE(f.run([&] { return f.has_ended(); }));
    CHECK(f.call_->failure_ == call_failure::connection_lost);
}

TEST_CASE("an answer without a length is complete once its request was read")
{
    fixture f(half_answer);
    REQUIRE(f.run([&] { return f.call_->body_ == "half of the bo"; }));
    f.server_.read_on();
    REQUIRE(f.run([&] { return f.has_ended(); }));
    CHECK(f.call_->complete_);
}

// The end and the reset are both there before the answer is read on.
TEST_CASE(
    "an answer that is read after its connection was reset isn't complete")
{
    for (int round = 0; round < 20; ++round)
    {
        fixture f(half_answer);
        REQUIRE(f.run([&] { return f.call_->status_ == 200; }));
        f.connection_->pause_reading();
        f.run([&] { return f.server_.answered_; });
        f.server_.reset();
        f.run([] { return false; }, 2ms);
        f.connection_->resume_reading();
        REQUIRE(f.run([&] { return f.has_ended(); }));
        CHECK_FALSE(f.call_->complete_);
    }
}

TEST_CASE("an early refusal with a length arrives before its request is read")
{
    for (const std::string framing :
         {"Content-Length: 4\r\n\r\nbusy",
          "Transfer-Encoding: chunked\r\n\r\n4\r\nbusy\r\n0\r\n\r\n"})
    {
        fixture f("HTTP/1.1 503 X\r\n" + framing);
        REQUIRE(f.run([&] { return f.has_ended(); }));
        CHECK(f.call_->complete_);
        CHECK(f.call_->status_ == 503);
        CHECK(f.call_->body_ == "busy");
    }
}

// Guards against a refusal that is lost because the rest of its request can't
// be written any more: the caller would be told that the request may have run.
TEST_CASE("a refusal arrives though its server resets the connection after it")
{
    for (int round = 0; round < 20; ++round)
    {
        fixture f("HTTP/1.1 503 X\r\nContent-Length: 4\r\n\r\nbusy",
                  early_server::end::reset);
        REQUIRE(f.run([&] { return f.has_ended(); }));
        CHECK(f.call_->complete_);
        CHECK(f.call_->body_ == "busy");
    }
}

TEST_CASE("a plain reset ends no answer without a length")
{
    for (int round = 0; round < 20; ++round)
    {
        fixture f(half_answer, early_server::end::reset);
        REQUIRE(f.run([&] { return f.has_ended(); }));
        CHECK_FALSE(f.call_->complete_);
        CHECK(f.call_->failure_ == call_failure::connection_lost);
    }
}
