#include "backend/silence_limits.hpp"

#include <doctest/doctest.h>

using namespace peridotspar;
using namespace peridotspar::backend;
using namespace std::chrono_literals;

TEST_CASE(
    "a connection to a sound server that is silent for a second doesn't end")
{
    constexpr silence_limits limits;
    // A pause between events, and then the server's system stands still.
    constexpr duration sound_silence = 1500ms;
    CHECK(limits.tolerated_silence() >= sound_silence);
    CHECK(limits.user_timeout_ >= sound_silence);
    // One that is gone is noticed before most callers give up.
    CHECK(limits.end_of_idle() <= 3s);
}

TEST_CASE("the user timeout decides when probes give up")
{
    silence_limits limits;
    limits.user_timeout_ = 1500ms;
    limits.probes_ = 9;
    CHECK(limits.end_of_idle() == 2s);
    CHECK(limits.tolerated_silence() == 1s);
    limits.user_timeout_ = {};
    CHECK(limits.end_of_idle() == 10s);
}
