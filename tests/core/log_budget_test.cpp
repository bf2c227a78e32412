#include "core/log_budget.hpp"

#include <doctest/doctest.h>

using peridotspar::log_budget;

TEST_CASE("lines of a kind are bounded in each second, and counted")
{
    log_budget budget(3);
    int written = 0;
    for (int i = 0; i < 10; ++i)
    {
        written += budget.take("a", 1).may_write_ ? 1 : 0;
    }
    CHECK(written == 3);
    CHECK(budget.take("b", 1).may_write_);
    const auto next = budget.take("a", 2);
    CHECK(next.may_write_);
    CHECK(next.left_out_ == 7);
    CHECK(budget.take("a", 2).left_out_ == 0);
}
