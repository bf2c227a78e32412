#include "store/lease_client.hpp"
#include "tests/fakes/fake_store.hpp"

#include <doctest/doctest.h>

using namespace peridotspar;
using namespace std::chrono_literals;

namespace
{

using client = lease_client<fake_store, manual_clock>;

struct fixture
{
    fake_store store_;
    manual_clock clock_;
    client first_{store_, clock_, "lease", node_id("n1")};
    client second_{store_, clock_, "lease", node_id("n2")};
};

} // namespace

TEST_CASE("one of two seekers gets a vacant lease")
{
    fixture f;
    f.first_.acquire_or_renew();
    f.second_.acquire_or_renew();
    CHECK(f.first_.is_held());
    CHECK_FALSE(f.second_.is_held());
}

TEST_CASE("a paused holder does nothing after its lease lapsed")
{
    fixture f;
    f.first_.acquire_or_renew();
    f.second_.acquire_or_renew();
    // The first is stopped; only the second runs.
    for (int i = 0; i < 5; ++i)
    {
        f.clock_.advance(2s);
        f.second_.acquire_or_renew();
        CHECK_FALSE((f.first_.is_held() && f.second_.is_held()));
    }
    CHECK(f.second_.is_held());
    CHECK_FALSE(f.first_.is_held());
    CHECK(f.first_.fencing_token() == 0);
    const auto fencing_token = f.second_.fencing_token();
    f.first_.acquire_or_renew();
    f.first_.acquire_or_renew();
    CHECK_FALSE(f.first_.is_held());
    CHECK(f.second_.fencing_token() == fencing_token);
}

TEST_CASE("a new holder's fencing number is higher, and a receiver without "
          "fencing is left alone for the pause margin")
{
    fixture f;
    f.first_.acquire_or_renew();
    const auto old_token = f.first_.fencing_token();
    CHECK(f.first_.may_act_without_fencing());
    f.second_.acquire_or_renew();
    f.clock_.advance(9s);
    f.second_.acquire_or_renew();
    REQUIRE(f.second_.is_held());
    CHECK(f.second_.fencing_token() > old_token);
    CHECK_FALSE(f.second_.may_act_without_fencing());
    f.clock_.advance(4s);
    f.second_.acquire_or_renew();
    f.clock_.advance(2s);
    CHECK(f.second_.may_act_without_fencing());
}

TEST_CASE("a renewal whose answer was lost keeps the lease")
{
    fixture f;
    f.first_.acquire_or_renew();
    f.clock_.advance(3s);
    bool pending = true;
    f.store_.next_fault_ = [&](bool p_write)
    {
        const bool is_lost = p_write && pending;
        pending = pending && !p_write;
        return is_lost ? fake_store::fault::lost_response
                       : fake_store::fault::none;
    };
    f.first_.acquire_or_renew();
    f.clock_.advance(7s);
    CHECK(f.first_.is_held());
}

TEST_CASE("a holder without the store stops before its lease ends")
{
    fixture f;
    f.first_.acquire_or_renew();
    f.store_.next_fault_ = [](bool) { return fake_store::fault::unavailable; };
    for (int i = 0; i < 8; ++i)
    {
        f.clock_.advance(1s);
        f.first_.acquire_or_renew();
    }
    CHECK_FALSE(f.first_.is_held());
}

TEST_CASE("a lease that is given up is free at once")
{
    fixture f;
    f.first_.acquire_or_renew();
    f.first_.release();
    f.second_.acquire_or_renew();
    CHECK(f.second_.is_held());
    CHECK(f.second_.may_act_without_fencing());
}
