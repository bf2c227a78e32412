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

/// Brings a list to the given entries, as a full list does.
void replace(server_list& r_list, const server_list::entries& p_entries,
             time_point p_now)
{
    const server_list::entries known = r_list.all();
    for (const auto& [id, entry] : known)
    {
        if (!p_entries.contains(id))
        {
            r_list.remove(id, p_now);
        }
    }
    for (const auto& [id, entry] : p_entries)
    {
        r_list.put(entry);
    }
}

/// A list of both servers, which the store has just confirmed.
server_list confirmed_list()
{
    server_list list({1500ms, 1750ms});
    replace(list, both(), start);
    list.confirm(start);
    return list;
}

} // namespace

TEST_CASE("a server that announced its leave is removed at once")
{
    server_list list = confirmed_list();
    list.put(server("a", true));
    list.remove("a", start);
    CHECK_FALSE(list.all().contains("a"));
}

TEST_CASE("a server that disappeared is kept for a while and may come back")
{
    server_list list = confirmed_list();
    list.remove("a", start);
    CHECK(list.all().contains("a"));
    list.put(server("a"));
    CHECK_FALSE(list.drop_expired(start + 5s));
    CHECK(list.all().contains("a"));
    list.remove("b", start);
    CHECK_FALSE(list.drop_expired(start + 1500ms - 1us));
    CHECK(list.drop_expired(start + 1500ms));
    CHECK_FALSE(list.all().contains("b"));
}

TEST_CASE("missing servers are kept for the grace period after an outage")
{
    server_list list({100ms, 200ms});
    replace(list, both(), start);
    list.confirm(start);
    list.begin_grace_period(start, 2s);
    replace(list, {}, start);
    CHECK(list.all().size() == 2);
    // A second look at the list doesn't extend the grace period.
    replace(list, {}, start + 1s);
    CHECK(list.drop_expired(start + 2s));
    CHECK(list.all().empty());
}

// Guards against requests to a removed server (DRAIN): the store had
// acknowledged the removal long before this node learnt of it.
TEST_CASE("a server that was removed unseen isn't kept for longer")
{
    server_list late = confirmed_list();
    late.remove("a", start + 1s);
    CHECK_FALSE(late.drop_expired(start + 1750ms - 1us));
    CHECK(late.drop_expired(start + 1750ms));
    // Nobody had asked the store for so long that the time is over.
    server_list later = confirmed_list();
    replace(later, {{"b", server("b")}}, start + 1800ms);
    CHECK_FALSE(later.all().contains("a"));
    CHECK(later.all().contains("b"));
    // What the store confirms meanwhile counts.
    server_list confirmed = confirmed_list();
    confirmed.confirm(start + 1700ms);
    confirmed.confirm(start + 1s);
    confirmed.remove("a", start + 1800ms);
    CHECK_FALSE(confirmed.drop_expired(start + 3300ms - 1us));
    CHECK(confirmed.drop_expired(start + 3300ms));
}
