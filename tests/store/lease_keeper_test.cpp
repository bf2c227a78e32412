#include "store/lease_keeper.hpp"
#include "tests/fakes/fake_store.hpp"

#include <doctest/doctest.h>

using namespace peridotspar;
using namespace std::chrono_literals;

namespace
{

using keeper = lease_keeper<fake_store, manual_clock>;

struct rig
{
    fake_store store_;
    manual_clock clock_;
    keeper first_{store_, clock_, "lease", node_id("n1")};
    keeper second_{store_, clock_, "lease", node_id("n2")};
};

} // namespace

TEST_CASE("one of two seekers gets a vacant lease")
{
    rig r;
    r.first_.step();
    r.second_.step();
    CHECK(r.first_.may_act());
    CHECK_FALSE(r.second_.may_act());
}

TEST_CASE("a paused holder does nothing after its lease lapsed")
{
    rig r;
    r.first_.step();
    r.second_.step();
    // The first is stopped; only the second runs.
    for (int i = 0; i < 5; ++i)
    {
        r.clock_.advance(2s);
        r.second_.step();
        CHECK_FALSE((r.first_.may_act() && r.second_.may_act()));
    }
    CHECK(r.second_.may_act());
    CHECK_FALSE(r.first_.may_act());
    CHECK(r.first_.fencing() == 0);
    const auto fencing = r.second_.fencing();
    r.first_.step();
    r.first_.step();
    CHECK_FALSE(r.first_.may_act());
    CHECK(r.second_.fencing() == fencing);
}

TEST_CASE("a new holder's fencing number is higher, and a receiver without "
          "fencing is left alone for the pause margin")
{
    rig r;
    r.first_.step();
    const auto old = r.first_.fencing();
    CHECK(r.first_.may_act_unfenced());
    r.second_.step();
    r.clock_.advance(9s);
    r.second_.step();
    REQUIRE(r.second_.may_act());
    CHECK(r.second_.fencing() > old);
    CHECK_FALSE(r.second_.may_act_unfenced());
    r.clock_.advance(4s);
    r.second_.step();
    r.clock_.advance(2s);
    CHECK(r.second_.may_act_unfenced());
}

TEST_CASE("a renewal whose answer was lost keeps the lease")
{
    rig r;
    r.first_.step();
    r.clock_.advance(3s);
    bool once = true;
    r.store_.next_fault_ = [&](bool p_write)
    {
        const bool lose = p_write && once;
        once = once && !p_write;
        return lose ? fake_store::fault::lost_answer : fake_store::fault::none;
    };
    r.first_.step();
    r.clock_.advance(7s);
    CHECK(r.first_.may_act());
}

TEST_CASE("a holder without the store stops before its lease ends")
{
    rig r;
    r.first_.step();
    r.store_.next_fault_ = [](bool) { return fake_store::fault::down; };
    for (int i = 0; i < 8; ++i)
    {
        r.clock_.advance(1s);
        r.first_.step();
    }
    CHECK_FALSE(r.first_.may_act());
}

TEST_CASE("a lease that is given up is free at once")
{
    rig r;
    r.first_.step();
    r.first_.give_up();
    r.second_.step();
    CHECK(r.second_.may_act());
    CHECK(r.second_.may_act_unfenced());
}
