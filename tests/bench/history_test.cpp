#include "bench/history.hpp"

#include <doctest/doctest.h>

using namespace peridotspar;
using namespace peridotspar::bench;

namespace
{

const time_point now{std::chrono::seconds(1)};

request_history completed_request(std::uint32_t p_tokens,
                                  std::uint32_t p_delivered)
{
    request_history request;
    request.plan_.output_tokens_ = p_tokens;
    request.delivered_tokens_ = p_delivered;
    request.completed_ = true;
    return request;
}

} // namespace

TEST_CASE(
    "check_load_shedding reports a refusal beside preemptible lower-tier work")
{
    const planned_request request;
    history recorded;
    check_load_shedding(recorded, request, tier(1), {{tier(0)}, {tier(1)}},
                        now);
    CHECK(recorded.violations_.empty());
    attempt_properties minimum_share{tier(3)};
    minimum_share.on_minimum_share_ = true;
    attempt_properties non_idempotent{tier(3)};
    non_idempotent.idempotent_ = false;
    attempt_properties other_pool{tier(3)};
    other_pool.pool_ = 5;
    check_load_shedding(recorded, request, tier(1),
                        {minimum_share, non_idempotent, other_pool}, now);
    CHECK(recorded.violations_.empty());
    check_load_shedding(recorded, request, tier(1), {{tier(3)}}, now);
    CHECK(recorded.violations_.size() == 1);
}

TEST_CASE(
    "check_preemption allows only lower-tier or borrowed work to be preempted")
{
    history recorded;
    check_preemption(recorded, {tier(2)}, {tier(0)}, now);
    attempt_properties borrowed{tier(0)};
    borrowed.borrowed_ = true;
    check_preemption(recorded, borrowed, {tier(1)}, now);
    CHECK(recorded.violations_.empty());
    check_preemption(recorded, {tier(1)}, {tier(1)}, now);
    CHECK(recorded.violations_.size() == 1);
}

TEST_CASE("check_final_state reports repeated runs, missing tokens and missing "
          "answers")
{
    history recorded;
    recorded.requests_ = {completed_request(3, 3)};
    check_final_state(recorded);
    CHECK(recorded.violations_.empty());
    recorded.requests_.push_back(completed_request(3, 2));
    request_history twice = completed_request(1, 1);
    twice.plan_.idempotent_ = false;
    twice.executions_ = 2;
    recorded.requests_.push_back(twice);
    recorded.requests_.push_back(request_history());
    check_final_state(recorded);
    CHECK(recorded.violations_.size() == 3);
}
