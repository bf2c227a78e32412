#include "bench/history.hpp"

#include <doctest/doctest.h>

using namespace peridotspar;
using namespace peridotspar::bench;

namespace
{

const time_point now{std::chrono::seconds(1)};

request_history answered(std::uint32_t p_tokens, std::uint32_t p_delivered)
{
    request_history made;
    made.plan_.output_tokens_ = p_tokens;
    made.delivered_ = p_delivered;
    made.whole_ = true;
    return made;
}

} // namespace

TEST_CASE("a shed beside lower-tier work that could give way is a violation")
{
    const planned_request request;
    history seen;
    check_shed(seen, request, tier(1), {{tier(0)}, {tier(1)}}, now);
    CHECK(seen.violations_.empty());
    running_work reserved{tier(3)};
    reserved.reserved_ = true;
    running_work order{tier(3)};
    order.idempotent_ = false;
    running_work elsewhere{tier(3)};
    elsewhere.pool_ = 5;
    check_shed(seen, request, tier(1), {reserved, order, elsewhere}, now);
    CHECK(seen.violations_.empty());
    check_shed(seen, request, tier(1), {{tier(3)}}, now);
    CHECK(seen.violations_.size() == 1);
}

TEST_CASE("only a lower tier or borrowed work gives way")
{
    history seen;
    check_preemption(seen, {tier(2)}, {tier(0)}, now);
    running_work borrowed{tier(0)};
    borrowed.borrowed_ = true;
    check_preemption(seen, borrowed, {tier(1)}, now);
    CHECK(seen.violations_.empty());
    check_preemption(seen, {tier(1)}, {tier(1)}, now);
    CHECK(seen.violations_.size() == 1);
}

TEST_CASE("second runs, half answers and missing answers are violations")
{
    history seen;
    seen.requests_ = {answered(3, 3)};
    check_end(seen);
    CHECK(seen.violations_.empty());
    seen.requests_.push_back(answered(3, 2));
    request_history twice = answered(1, 1);
    twice.plan_.idempotent_ = false;
    twice.starts_ = 2;
    seen.requests_.push_back(twice);
    seen.requests_.push_back(request_history());
    check_end(seen);
    CHECK(seen.violations_.size() == 3);
}
