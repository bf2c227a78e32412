#include "tests/ingress/router_fixture.hpp"

using namespace peridotspar;
using namespace peridotspar::ingress;
using namespace std::chrono_literals;

namespace
{

/// Two servers of different versions. Streams break after their second event
/// and go on with the third.
struct two_versions : router_fixture
{
    two_versions()
        : router_fixture(
              [this](const http::request& p_request, auto& r_session)
              {
                  if (http::find_header(p_request.head_.headers_,
                                        WIRE_LAST_EVENT) != nullptr)
                  {
                      ++continuations_;
                      r_session.write(head() + make_chunk(make_event(3)) +
                                      "0\r\n\r\n");
                      return;
                  }
                  first_ = &r_session.owner();
                  r_session.write(head() + make_chunk(make_event(1)) +
                                  make_chunk(make_event(2)));
                  close_later(r_session.shared_from_this());
              })
    {
        stored_origins_ = {};
        servers_["i-2"].version_ = "v2";
        apply();
    }
    /// Lets the events arrive before the connection breaks.
    void close_later(const std::shared_ptr<scripted_server::session>& p_session)
    {
        const auto timer =
            std::make_shared<boost::asio::steady_timer>(context_, 40ms);
        timer->async_wait([timer, p_session](const auto&)
                          { p_session->close(true); });
    }
    [[nodiscard]] std::string head() const
    {
        return "HTTP/1.1 200 OK\r\n" WIRE_ATTEMPT ": " + attempt_ +
               "\r\n" WIRE_SEAL ": s\r\n"
               "Transfer-Encoding: chunked\r\n\r\n";
    }
    /// Begins a stream, which breaks, and returns what its caller got.
    std::string begin()
    {
        attempt_ = "a1";
        return fetch(request("/resume/"), "0\r\n\r\n");
    }
    /// Takes the stream up that `p_first_attempt` began.
    std::string take_up(const std::string& p_first_attempt)
    {
        attempt_ = "a2";
        std::string text =
            request("/resume/", WIRE_LAST_EVENT ": 2\r\n" WIRE_RESUMES ": " +
                                    p_first_attempt + "\r\n");
        text.replace(text.find(": a1"), 4, ": a2");
        return fetch(text, "\r\n\r\n");
    }
    /// Removes the server that began the last stream.
    void remove_first()
    {
        const bool was_first = first_ == &first_server_;
        servers_.erase(was_first ? "i-1" : "i-2");
        apply();
    }

    int continuations_ = 0;
    scripted_server* first_ = nullptr;
    std::string attempt_ = "a1";
};

} // namespace

TEST_CASE("a broken stream goes on only at the version that began it")
{
    two_versions fixture;
    const std::string response = fixture.begin();
    CHECK(contains(response, make_event(2)));
    CHECK_FALSE(contains(response, make_event(3)));
    CHECK(fixture.continuations_ == 0);
}

TEST_CASE("a stream that its caller takes up isn't joined from two versions")
{
    two_versions fixture;
    CHECK(contains(fixture.begin(), make_event(2)));
    fixture.remove_first();
    CHECK(contains(fixture.take_up("a1"), " 503 "));
    CHECK(fixture.continuations_ == 0);
}

TEST_CASE("a stream of an unknown version isn't taken up")
{
    for (const std::string first_attempt : {"a7", ""})
    {
        two_versions fixture;
        CHECK(contains(fixture.take_up(first_attempt), " 503 "));
        CHECK(fixture.continuations_ == 0);
    }
}

// Guards against a take-up at the main version (ORDER) of a stream whose record
// can't be read.
TEST_CASE(
    "a stream without a record isn't taken up while a record is unreadable")
{
    two_versions r;
    r.stored_origins_.main_versions_[routing::service_name("s")] = {"v1", 1};
    for (const bool is_whole : {false, true})
    {
        r.stored_origins_.is_whole_ = is_whole;
        const int before = r.continuations_;
        const bool refused = contains(r.take_up("unknown"), " 503 ");
        CHECK(refused == !is_whole);
        CHECK(r.continuations_ - before == (is_whole ? 1 : 0));
    }
}

TEST_CASE("a node out of step doesn't take up a stream by an old record of it")
{
    two_versions fixture;
    const time_point now = boot_clock().now();
    // The attempt failed at v1 and began at v2, which this node didn't hear of.
    fixture.router_.streams().learn(
        {{}, {{"a0", {routing::service_name("s"), "v1"}}}}, now, now);
    fixture.store_answers_ = false;
    const std::string response = fixture.take_up("a0");
    CHECK(contains(response, " 503 "));
    CHECK(fixture.continuations_ == 0);
}

TEST_CASE("streams begin at the main version while no record can be stored")
{
    two_versions fixture;
    fixture.stored_origins_ = {{{routing::service_name("s"), {"v2", 1}}}, {}};
    fixture.apply();
    fixture.store_answers_ = false;
    fixture.router_.streams().set_store_failing(true);
    for (int i = 0; i < 6; ++i)
    {
        CHECK(contains(fixture.begin(), make_event(1)));
        CHECK(fixture.first_ == &fixture.second_server_);
    }
    // If it has no server, streams begin all the same.
    fixture.servers_.erase("i-2");
    fixture.apply();
    CHECK(contains(fixture.begin(), make_event(1)));
}
