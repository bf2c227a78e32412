#include "routing/server_list.hpp"

#include <doctest/doctest.h>

using namespace peridotspar;
using namespace peridotspar::routing;
using namespace std::chrono_literals;

namespace
{

const time_point start{1h};

server_entry server(const std::string& p_id, bool p_leaving = false)
{
    server_entry entry;
    entry.instance_.id_ = p_id;
    entry.leaving_ = p_leaving;
    return entry;
}

server_list::entries both()
{
    return {{"a", server("a")}, {"b", server("b")}};
}

} // namespace

TEST_CASE("a server that said that it leaves is gone at once")
{
    server_list list(1500ms);
    list.replace(1, both(), start);
    list.put(2, server("a", true));
    list.remove(3, "a", start);
    CHECK_FALSE(list.all().contains("a"));
}

TEST_CASE("a server that vanished is kept for a while, and comes back")
{
    server_list list(1500ms);
    list.replace(1, both(), start);
    list.remove(2, "a", start);
    CHECK(list.all().contains("a"));
    list.put(3, server("a"));
    CHECK_FALSE(list.drop_expired(start + 5s));
    CHECK(list.all().contains("a"));
    list.remove(4, "b", start);
    CHECK(list.drop_expired(start + 1500ms));
    CHECK_FALSE(list.all().contains("b"));
}

TEST_CASE("after an outage what is missing stays for the grace")
{
    server_list list(100ms);
    list.replace(1, both(), start);
    list.begin_grace_period(start, 2s);
    list.replace(5, {}, start);
    CHECK(list.all().size() == 2);
    // A second look doesn't make it longer.
    list.replace(6, {}, start + 1s);
    CHECK(list.drop_expired(start + 2s));
    CHECK(list.all().empty());
}

TEST_CASE("an older list changes nothing")
{
    server_list list(100ms);
    list.replace(7, both(), start);
    CHECK_FALSE(list.replace(6, {}, start));
    CHECK(list.all().size() == 2);
    CHECK(list.revision() == 7);
}
