#include "tests/ingress/router_fixture.hpp"

using namespace peridotspar;
using namespace peridotspar::ingress;
using namespace std::chrono_literals;

TEST_CASE("a brittle server that is full isn't made to turn requests away")
{
    constexpr std::size_t max_rejected = 4;
    constexpr std::size_t room = 2;
    std::vector<std::shared_ptr<scripted_server::session>> running;
    std::deque<time_point> rejected;
    std::size_t most_rejected = 0;
    const boot_clock clock;
    const auto answer = [](int p_status, const std::string& p_more)
    {
        return make_response("a1", p_status, "whole",
                             WIRE_BRITTLE ": " + std::to_string(max_rejected) +
                                 "\r\n" + p_more);
    };
    router_fixture fixture(
        [&](const auto&, auto& r_session)
        {
            if (running.size() < room)
            {
                running.push_back(r_session.shared_from_this());
                return;
            }
            r_session.write(answer(503, WIRE_NOT_RUN ": 1\r\n"));
            rejected.push_back(clock.now());
            while (clock.now() - rejected.front() >= 1s)
            {
                rejected.pop_front();
            }
            most_rejected = std::max(most_rejected, rejected.size());
        });
    fixture.servers_.erase("i-2");
    fixture.apply();
    const time_point end = clock.now() + 4s;
    std::list<std::unique_ptr<test_caller>> callers;
    int served = 0;
    while (clock.now() < end)
    {
        for (int i = 0; i < 2; ++i)
        {
            callers.push_back(
                std::make_unique<test_caller>(fixture.context_, fixture.port_));
            callers.back()->send(router_fixture::request("/once/"));
        }
        const time_point next = clock.now() + 40ms;
        fixture.until([&] { return clock.now() >= next; });
        if (!running.empty())
        {
            running.front()->write(answer(200, WIRE_SEAL ": s\r\n"));
            running.erase(running.begin());
            ++served;
        }
    }
    CHECK(most_rejected <= max_rejected);
    CHECK(served > 30);
}
