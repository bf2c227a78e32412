#include "tests/ingress/router_fixture.hpp"

using namespace peridotspar;
using namespace peridotspar::ingress;
using namespace std::chrono_literals;

namespace
{

const std::string deadly_part = "dead";

/// A crashed server refuses connections for this long.
constexpr auto down_time = 300ms;

bool has_deadly_part(const http::request& p_request)
{
    const auto* parts = http::find_header(p_request.head_.headers_, WIRE_PARTS);
    return parts != nullptr && contains(*parts, deadly_part + ":");
}

/// Crashes without an answer if the prompt has the deadly part.
void answer_or_crash(const http::request& p_request,
                     scripted_server::session& r_session)
{
    if (has_deadly_part(p_request))
    {
        r_session.owner().crash(down_time);
        return;
    }
    r_session.write(make_response("a1", 200, "whole", WIRE_SEAL ": s\r\n"));
}

std::string request_with_part(const std::string& p_part, int p_number)
{
    return router_fixture::request("/once/" + std::to_string(p_number),
                                   WIRE_PARTS ": aa:10," + p_part + ":20," +
                                       std::to_string(p_number) + ":5\r\n");
}

/// Requests with the deadly part that reached a server.
std::size_t crash_count(const router_fixture& p_fixture)
{
    std::size_t count = 0;
    for (const auto* server :
         {&p_fixture.first_server_, &p_fixture.second_server_})
    {
        for (const auto& request : server->requests_)
        {
            count += has_deadly_part(request) ? 1 : 0;
        }
    }
    return count;
}

} // namespace

TEST_CASE("requests that share a part which crashes servers are soon refused")
{
    router_fixture fixture(answer_or_crash);
    int sound_served = 0;
    constexpr int rounds = 24;
    std::string last;
    for (int i = 0; i < rounds; ++i)
    {
        last = fixture.fetch(request_with_part(deadly_part, i), "\r\n\r\n");
        const std::string sound =
            fixture.fetch(request_with_part("50", i + rounds), "\r\n\r\n");
        sound_served += contains(sound, " 200 ") ? 1 : 0;
        // Crashes of one server within two seconds count as one.
        const auto until = boot_clock().now() + 120ms;
        fixture.until([&] { return boot_clock().now() > until; });
    }
    CHECK(crash_count(fixture) <= 6);
    CHECK(contains(last, " 503 "));
    CHECK(contains(last, "Retry-After"));
    CHECK(sound_served >= rounds * 3 / 4);
}

TEST_CASE("a part isn't quarantined because live servers lost their answers")
{
    router_fixture fixture(
        [](const http::request& p_request, auto& r_session)
        {
            if (has_deadly_part(p_request))
            {
                r_session.close(true);
                return;
            }
            r_session.write(
                make_response("a1", 200, "whole", WIRE_SEAL ": s\r\n"));
        });
    constexpr int rounds = 12;
    for (int i = 0; i < rounds; ++i)
    {
        fixture.fetch(request_with_part(deadly_part, i), "\r\n\r\n");
        fixture.fetch(request_with_part("50", i + rounds), "\r\n\r\n");
        const auto until = boot_clock().now() + 150ms;
        fixture.until([&] { return boot_clock().now() > until; });
        CHECK(fixture.router_.crashes().quarantined_count() == 0);
    }
    CHECK(crash_count(fixture) >= rounds / 2);
}

TEST_CASE(
    "calls lost by a node that is cut off from all servers quarantine no part")
{
    scripted_server::script silent = [](const auto&, auto&) {};
    router_fixture fixture(silent);
    std::vector<std::unique_ptr<scripted_server>> more;
    for (int i = 3; i <= 6; ++i)
    {
        more.push_back(
            std::make_unique<scripted_server>(fixture.context_, silent));
        fixture.add_server("i-" + std::to_string(i), *more.back());
    }
    fixture.apply();
    std::vector<std::unique_ptr<test_caller>> callers;
    for (int i = 0; i < 12; ++i)
    {
        callers.push_back(
            std::make_unique<test_caller>(fixture.context_, fixture.port_));
        callers.back()->send(request_with_part("50", i));
    }
    const auto running = [&]
    {
        std::size_t count = fixture.request_count();
        for (const auto& server : more)
        {
            count += server->requests_.size();
        }
        return count;
    };
    REQUIRE(fixture.until([&] { return running() == 12; }));
    fixture.first_server_.crash(5s);
    fixture.second_server_.crash(5s);
    for (const auto& server : more)
    {
        server->crash(5s);
    }
    const auto until = boot_clock().now() + 1200ms;
    fixture.until([&] { return boot_clock().now() > until; });
    CHECK(fixture.router_.crashes().quarantined_count() == 0);
}

TEST_CASE(
    "a deadly request is quarantined though no other request is under way")
{
    constexpr int server_count = 6;
    const scripted_server::script crash =
        [](const http::request&, scripted_server::session& r_session)
    { r_session.owner().crash(20s); };
    router_fixture fixture(crash);
    std::vector<std::unique_ptr<scripted_server>> more;
    for (int i = 3; i <= server_count; ++i)
    {
        more.push_back(
            std::make_unique<scripted_server>(fixture.context_, crash));
        fixture.add_server("i-" + std::to_string(i), *more.back());
    }
    fixture.apply();
    // Two failures within three seconds would start a check of all servers.
    for (int i = 0; i < 3; ++i)
    {
        fixture.fetch(request_with_part(deadly_part, 1), "\r\n\r\n");
        const auto until = boot_clock().now() + 3100ms;
        fixture.until([&] { return boot_clock().now() > until; });
    }
    CHECK(fixture.router_.crashes().quarantined_count() == 1);
}
