#include "tests/ingress/router_fixture.hpp"

using namespace peridotspar;
using namespace peridotspar::ingress;
using namespace std::chrono_literals;

TEST_CASE("a server gets no more requests than the limit that it named")
{
    constexpr double limit_per_s = 1;
    constexpr double window_s = 4;
    // In any four seconds a half more, and five requests.
    constexpr double allowed = 1.5 * limit_per_s * window_s + 5;
    const scripted_server* limited = nullptr;
    router_fixture fixture(
        [&](const auto&, auto& r_session)
        {
            const bool is_limited =
                limited != nullptr &&
                std::any_of(limited->sessions_.begin(),
                            limited->sessions_.end(),
                            [&](const auto& p_session)
                            { return p_session.get() == &r_session; });
            r_session.write(make_response("a1", 200, "whole",
                                          is_limited ? WIRE_SEAL
                                              ": s\r\n" WIRE_LIMIT ": 1.0\r\n"
                                                     : WIRE_SEAL ": s\r\n"));
        });
    limited = &fixture.first_server_;
    const boot_clock clock;
    while (fixture.first_server_.requests_.empty())
    {
        fixture.fetch(fixture.request("/once/a"), "whole");
    }
    const std::size_t before = fixture.first_server_.requests_.size();
    const time_point end = clock.now() + from_seconds(window_s);
    int sent = 0;
    int served = 0;
    while (clock.now() < end)
    {
        ++sent;
        served += contains(fixture.fetch(fixture.request("/once/a"), "whole"),
                           " 200 ")
                      ? 1
                      : 0;
    }
    const std::size_t received =
        fixture.first_server_.requests_.size() - before;
    CHECK(static_cast<double>(received) <= allowed);
    CHECK(served == sent);
}
