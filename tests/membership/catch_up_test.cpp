#include "membership/catch_up.hpp"

#include <doctest/doctest.h>

using namespace peridotspar;
using namespace std::chrono_literals;

namespace
{

const time_point start{1h};
const belief_state old_state{23, 20};
const belief_state new_state{24, 20};

} // namespace

TEST_CASE("a node asks a peer that is ahead, however many others are not")
{
    // Four peers that are behind too are heard between any two words of the
    // one that is ahead.
    catch_up decision;
    bool asked = false;
    for (int i = 0; i < 10 && !asked; ++i)
    {
        const auto now = start + i * 50ms;
        for (int peer = 0; peer < 4; ++peer)
        {
            CHECK_FALSE(decision.should_ask(old_state, old_state, false, now));
        }
        asked = decision.should_ask(old_state, new_state, false, now);
    }
    CHECK(asked);
}

TEST_CASE("a node that follows the store waits for its own news, not for ever")
{
    catch_up decision;
    CHECK_FALSE(decision.should_ask(old_state, new_state, true, start));
    CHECK_FALSE(decision.should_ask(old_state, new_state, true, start + 300ms));
    CHECK(decision.should_ask(old_state, new_state, true, start + 400ms));
    // Its own news came meanwhile: the wait begins anew.
    const belief_state newer{25, 20};
    CHECK_FALSE(decision.should_ask(new_state, newer, true, start + 1s));
}

TEST_CASE("questions to peers keep a distance")
{
    catch_up decision;
    CHECK(decision.should_ask(old_state, new_state, false, start));
    CHECK_FALSE(decision.should_ask(old_state, new_state, false, start + 50ms));
    CHECK(decision.should_ask(old_state, new_state, false, start + 150ms));
}
