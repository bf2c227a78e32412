#include "dispatch/urgency_scale.hpp"

#include <doctest/doctest.h>

using namespace peridotspar;
using namespace peridotspar::dispatch;
using namespace std::chrono_literals;

namespace
{

const routing::service_name engines("engines");

routing::route route(const std::string& p_prefix, unsigned p_priority,
                     duration p_target)
{
    routing::route made;
    made.host_ = "h";
    made.prefix_ = p_prefix;
    made.stream_ = true;
    made.priority_ = p_priority;
    made.answer_target_ = p_target;
    made.services_ = {{engines, 1}};
    return made;
}

request_profile request_with(unsigned p_priority, duration p_target)
{
    request_profile made;
    made.service_ = engines;
    made.priority_ = p_priority;
    made.answer_target_ = p_target;
    return made;
}

} // namespace

TEST_CASE("priority goes before the target, the target before nothing")
{
    routing::route_table table;
    table.add(route("/a/", 0, 500ms));
    table.add(route("/b/", 2, 2500ms));
    table.add_key("k", {routing::account_name("acc"), 1});
    urgency_scale scale;
    scale.configure(table);
    CHECK(scale.urgency_of(request_with(0, 500ms)) == 0);
    CHECK(scale.urgency_of(request_with(0, 500ms)) <
          scale.urgency_of(request_with(0, 2500ms)));
    CHECK(scale.urgency_of(request_with(0, 2500ms)) <
          scale.urgency_of(request_with(1, 500ms)));
    CHECK(scale.urgency_of(request_with(1, 500ms)) <
          scale.urgency_of(request_with(1, 2500ms)));
    CHECK(scale.urgency_of(request_with(1, 2500ms)) <
          scale.urgency_of(request_with(2, 500ms)));
    CHECK(scale.urgency_of(request_with(2, 2500ms)) <=
          urgency_scale::least_urgent);
}

TEST_CASE("many priorities keep their order as far as the scale goes")
{
    routing::route_table table;
    for (unsigned i = 0; i < 12; ++i)
    {
        table.add(route("/r" + std::to_string(i) + "/", i, 500ms));
    }
    urgency_scale scale;
    scale.configure(table);
    for (unsigned i = 1; i < 12; ++i)
    {
        CHECK(scale.urgency_of(request_with(i - 1, 2500ms)) <=
              scale.urgency_of(request_with(i, 500ms)));
    }
    CHECK(scale.urgency_of(request_with(11, 500ms)) ==
          urgency_scale::least_urgent);
}

TEST_CASE("without a configuration all is equal")
{
    const urgency_scale scale;
    CHECK(scale.urgency_of(request_with(0, 1s)) ==
          scale.urgency_of(request_with(7, 2s)));
}
