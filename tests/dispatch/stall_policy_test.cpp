#include "dispatch/stall_policy.hpp"

#include <doctest/doctest.h>

// Guards against streams that move off servers that only pause, and against
// streams that stay at servers that hang.

using namespace peridotspar;
using namespace peridotspar::dispatch;
using namespace std::chrono_literals;

namespace
{

/// A stream with events 300 ms apart at most, whose caller waits for 3.2 s.
silent_call begun_stream(duration p_silence)
{
    silent_call call;
    call.silence_ = p_silence;
    call.target_ = 300ms;
    call.patience_ = 3200ms;
    call.begun_ = true;
    return call;
}

} // namespace

TEST_CASE("a stream stays at a server that pauses beside all others")
{
    CHECK_FALSE(should_leave(begun_stream(900ms)));
    CHECK_FALSE(should_leave(begun_stream(1400ms)));
    CHECK_FALSE(should_leave(begun_stream(2300ms)));
}

TEST_CASE("a stream stays at a server that pauses while others respond")
{
    auto call = begun_stream(1400ms);
    call.others_respond_ = true;
    CHECK_FALSE(should_leave(call));
}

TEST_CASE("a stream stays at a server that has just ended its pause")
{
    auto call = begun_stream(1300ms);
    call.others_respond_ = true;
    call.server_responding_time_ = 20ms;
    CHECK_FALSE(should_leave(call));
}

TEST_CASE("a stream leaves a server that hangs before its caller gives up")
{
    auto call = begun_stream(1500ms);
    call.others_respond_ = true;
    CHECK(should_leave(call));
    CHECK(should_leave(begun_stream(2400ms)));
}

TEST_CASE("a stream leaves a server that has forgotten only it")
{
    auto call = begun_stream(900ms);
    call.server_responding_time_ = 900ms;
    CHECK(should_leave(call));
}

TEST_CASE("a request without an answer leaves a silent server early")
{
    auto call = begun_stream(500ms);
    call.begun_ = false;
    call.target_ = 150ms;
    CHECK(should_leave(call));
    call.silence_ = 499ms;
    CHECK_FALSE(should_leave(call));
}
