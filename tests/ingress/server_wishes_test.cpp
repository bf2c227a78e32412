#include "tests/ingress/router_fixture.hpp"

using namespace peridotspar;
using namespace peridotspar::ingress;
using namespace std::chrono_literals;

namespace
{

/// Answers requests, the first server in its own way.
struct wishes_fixture
{
    explicit wishes_fixture(std::string p_first_response)
        : fixture_(
              [this, p_first_response](const auto&, auto& r_session)
              {
                  const bool is_first =
                      &r_session.owner() == &fixture_.first_server_;
                  r_session.write(is_first
                                      ? p_first_response
                                      : make_response("a1", 200, "whole",
                                                      WIRE_SEAL ": s\r\n"));
              })
    {
    }
    /// Sends requests until the first server got one.
    void reach_first_server()
    {
        while (fixture_.first_server_.requests_.empty())
        {
            fixture_.fetch(fixture_.request("/once/a"), "\r\n\r\n");
        }
    }
    /// Sends requests for a time and returns how many the first server got.
    std::size_t run(duration p_time)
    {
        const std::size_t before = fixture_.first_server_.requests_.size();
        const boot_clock clock;
        for (const time_point end = clock.now() + p_time; clock.now() < end;)
        {
            fixture_.fetch(fixture_.request("/once/a"), "\r\n\r\n");
        }
        return fixture_.first_server_.requests_.size() - before;
    }

    router_fixture fixture_;
};

} // namespace

TEST_CASE(
    "a server that says in an answer that it leaves gets no more requests")
{
    wishes_fixture f(make_response("a1", 200, "whole",
                                   WIRE_SEAL ": s\r\n" WIRE_LEAVING ": 1\r\n"));
    f.reach_first_server();
    CHECK(f.run(500ms) == 0);
    // The list of servers may be older than what the server said.
    f.fixture_.apply();
    CHECK(f.run(200ms) == 0);
    auto& servers = f.fixture_.router_.placement().servers();
    CHECK(servers.take_leaving_news() == std::vector<std::string>{"i-1@0"});
    // Peers know already what one of them reported.
    servers.record_leaving("i-2@0", false);
    servers.record_leaving("i-2@0", true);
    CHECK(servers.take_leaving_news().empty());
}

TEST_CASE("a server that turns a request away with a time gets none until then")
{
    wishes_fixture f(make_response("a1", 503, "full",
                                   WIRE_NOT_RUN ": 1\r\n" WIRE_RETRY_AFTER
                                                ": 1.5\r\n"));
    f.reach_first_server();
    CHECK(f.run(1400ms) == 0);
    f.fixture_.servers_.erase("i-2");
    f.fixture_.apply();
    CHECK(f.run(1s) > 0);
}

TEST_CASE("a caller is told to come back when the first of its servers wants "
          "requests again")
{
    wishes_fixture f(make_response(
        "a1", 503, "full", WIRE_NOT_RUN ": 1\r\n" WIRE_RETRY_AFTER ": 30\r\n"));
    f.fixture_.servers_.erase("i-2");
    f.fixture_.apply();
    f.reach_first_server();
    const std::string refused =
        f.fixture_.fetch(f.fixture_.request("/once/a"), "\r\n\r\n");
    CHECK(contains(refused, " 503 "));
    CHECK(contains(refused, "Retry-After"));
    CHECK(f.fixture_.first_server_.requests_.size() == 1);
}
