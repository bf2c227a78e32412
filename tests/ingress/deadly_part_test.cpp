#include "tests/ingress/router_fixture.hpp"

using namespace peridotspar;
using namespace peridotspar::ingress;
using namespace std::chrono_literals;

namespace
{

const std::string deadly_part = "dead";

/// Closes the connection without an answer if the prompt has the deadly part.
void answer_or_crash(const http::request& p_request,
                     scripted_server::session& r_session)
{
    const auto* parts = http::find_header(p_request.head_.headers_, WIRE_PARTS);
    if (parts != nullptr && contains(*parts, deadly_part + ":"))
    {
        r_session.close(true);
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
            const auto* parts =
                http::find_header(request.head_.headers_, WIRE_PARTS);
            count += parts != nullptr && contains(*parts, deadly_part + ":");
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
