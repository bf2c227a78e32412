#include "core/log_rate_limiter.hpp"

#include <doctest/doctest.h>

using peridotspar::log_rate_limiter;

TEST_CASE(
    "lines of an event are limited per second, and omitted lines are counted")
{
    log_rate_limiter limiter(3);
    int written = 0;
    for (int i = 0; i < 10; ++i)
    {
        written += limiter.try_acquire("a", 1).is_allowed_ ? 1 : 0;
    }
    CHECK(written == 3);
    CHECK(limiter.try_acquire("b", 1).is_allowed_);
    const auto next = limiter.try_acquire("a", 2);
    CHECK(next.is_allowed_);
    CHECK(next.left_out_ == 7);
    CHECK(limiter.try_acquire("a", 2).left_out_ == 0);
}
