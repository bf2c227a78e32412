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

TEST_CASE("only one of two clients acquires an unheld lease")
{
    fixture f;
    f.first_.acquire_or_renew();
    f.second_.acquire_or_renew();
    CHECK(f.first_.is_held());
    CHECK_FALSE(f.second_.is_held());
}

TEST_CASE("a paused holder does not act after its lease has expired")
{
    fixture f;
    f.first_.acquire_or_renew();
    f.second_.acquire_or_renew();
    // The first client is paused while the second keeps running.
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

TEST_CASE("a new holder has a higher fencing token and waits for the takeover "
          "delay before acting without fencing")
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

TEST_CASE("a renewal whose response is lost keeps the lease")
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

TEST_CASE(
    "a holder that cannot reach the store stops acting before its lease ends")
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

TEST_CASE("a released lease can be acquired at once")
{
    fixture f;
    f.first_.acquire_or_renew();
    f.first_.release();
    f.second_.acquire_or_renew();
    CHECK(f.second_.is_held());
    CHECK(f.second_.may_act_without_fencing());
}
