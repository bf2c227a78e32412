#include "daemon/load_document.hpp"

#include <doctest/doctest.h>

using namespace peridotspar;

// Guards against an end of the process: a value of another type threw.
TEST_CASE("a load report with values of other types is none")
{
    for (const std::string text :
         {"", "7", "[]", "{", R"({"running":"4"})", R"({"waiting":null})",
          R"({"running":4,"age_ms":{}})"})
    {
        CAPTURE(text);
        CHECK_FALSE(parse_load(text));
    }
    const auto load = parse_load(R"({"running":4,"age_ms":7,"more":"x"})");
    REQUIRE(load);
    CHECK(load->running == 4);
    CHECK(load->waiting == 0);
    CHECK(load->age_ms == 7);
}
