#include "dispatch/server_table.hpp"

#include <doctest/doctest.h>

// Guards against a common pause of a service's servers that looks like a fault
// of one of them.

using namespace peridotspar;
using namespace peridotspar::dispatch;
using namespace std::chrono_literals;

namespace
{

constexpr duration window = 450ms;
const routing::service_name service("s");

/// Two servers that send something each 50 ms, until told.
struct two_servers
{
    two_servers()
    {
        routing::server_list::entries entries;
        for (const std::string id : {"i-1", "i-2"})
        {
            routing::server_entry entry;
            entry.instance_.id_ = id;
            entry.service_ = service;
            entries[id] = entry;
        }
        routing::route_table table;
        routing::route route;
        route.services_ = {{service, 1}};
        table.add(route);
        servers_.update(entries, table, now_);
    }
    void run(duration p_time, bool p_first, bool p_second)
    {
        for (const time_point end = now_ + p_time; now_ < end; now_ += 50ms)
        {
            if (p_first)
            {
                servers_.record_response("i-1", now_);
            }
            if (p_second)
            {
                servers_.record_response("i-2", now_);
            }
        }
    }
    /// Whether the second one responds beside the first one's silence.
    [[nodiscard]] bool other_responds(time_point p_since) const
    {
        return servers_
            .summarize_responses(service, "i-1", p_since, window, now_)
            .others_respond_;
    }

    time_point now_{1h};
    server_table servers_;
};

} // namespace

TEST_CASE("servers that pause together don't respond beside each other")
{
    two_servers r;
    r.run(1s, true, true);
    const time_point since = r.now_ - 100ms;
    CHECK_FALSE(r.other_responds(since));
    r.run(1400ms, false, false);
    CHECK_FALSE(r.other_responds(since));
    r.run(200ms, false, true);
    CHECK_FALSE(r.other_responds(since));
}

TEST_CASE("a server responds beside one that has stopped to")
{
    two_servers r;
    r.run(1s, true, true);
    const time_point since = r.now_;
    r.run(900ms, false, true);
    CHECK(r.other_responds(since));
}
