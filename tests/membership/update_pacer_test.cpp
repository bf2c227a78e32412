#include "membership/update_pacer.hpp"

#include <doctest/doctest.h>

using namespace peridotspar;
using namespace std::chrono_literals;

namespace
{

const time_point start{1h};

/// Updates within a time, if there is always something to send.
int sent_within(update_pacer& r_pacer, time_point p_from, duration p_time)
{
    int sent = 0;
    for (time_point now = p_from; now < p_from + p_time; now += 10ms)
    {
        if (r_pacer.may_send(now))
        {
            r_pacer.record_sent(now);
            ++sent;
        }
    }
    return sent;
}

} // namespace

TEST_CASE("an update after a quiet time is sent at once")
{
    update_pacer pacer(50ms);
    pacer.set_mean_interval(400ms);
    for (int i = 0; i < 10; ++i)
    {
        const time_point now = start + i * 1s;
        CHECK(pacer.may_send(now));
        pacer.record_sent(now);
        // The next one waits for the shortest interval only.
        CHECK_FALSE(pacer.may_send(now + 40ms));
        CHECK(pacer.may_send(now + 50ms));
    }
}

TEST_CASE("many updates keep the mean interval")
{
    update_pacer pacer(50ms);
    pacer.set_mean_interval(400ms);
    // Two more than the 25 of the mean interval, and one at the start.
    CHECK(sent_within(pacer, start, 10s) <= 28);
    CHECK(sent_within(pacer, start + 10s, 10s) <= 26);
}

TEST_CASE("in a small fleet each update waits for the shortest interval only")
{
    update_pacer pacer(50ms);
    CHECK(sent_within(pacer, start, 1s) == 20);
}
