#include "routing/route_table.hpp"

#include <doctest/doctest.h>

using namespace peridotspar::routing;

namespace
{

route route_to(const std::string& p_host, const std::string& p_prefix)
{
    route made;
    made.host_ = p_host;
    made.prefix_ = p_prefix;
    return made;
}

} // namespace

TEST_CASE("the longest path prefix wins, matched at slashes only")
{
    route_table table;
    table.add(route_to("h.example", "/a/"));
    table.add(route_to("h.example", "/a/b/"));
    CHECK(table.find_route("h.example", "/a/b/c")->prefix_ == "/a/b/");
    CHECK(table.find_route("h.example", "/a/bc")->prefix_ == "/a/");
    CHECK(table.find_route("h.example", "/a/b")->prefix_ == "/a/");
    CHECK(table.find_route("h.example", "/a/b/?x=/q/")->prefix_ == "/a/b/");
    CHECK(table.find_route("h.example", "/ab/c") == nullptr);
    CHECK(table.find_route("h.example", "/a") == nullptr);
}

TEST_CASE("a host is matched regardless of case and port")
{
    route_table table;
    table.add(route_to("H.example", "/"));
    CHECK(table.find_route("h.EXAMPLE:8080", "/x") != nullptr);
    CHECK(table.find_route("g.example", "/x") == nullptr);
}

TEST_CASE("an API key leads to its own account only")
{
    route_table table;
    table.require_keys();
    table.add_key("k1", {account_name("one"), 2U});
    REQUIRE(table.find_account("k1") != nullptr);
    CHECK(table.find_account("k1")->name_.value() == "one");
    CHECK(table.find_account("k2") == nullptr);
    CHECK(table.find_account("") == nullptr);
}
