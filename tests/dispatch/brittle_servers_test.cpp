#include "dispatch/brittle_servers.hpp"

#include <list>
#include <random>

#include <doctest/doctest.h>

using namespace peridotspar;
using namespace peridotspar::dispatch;
using namespace std::chrono_literals;

namespace
{

const time_point start{1h};

/// Nodes that all send to one brittle server as fast as they may, and tell each
/// other of what it turns away.
struct fleet
{
    struct message
    {
        time_point due_;
        std::size_t to_;
        brittle_report report_;
    };
    explicit fleet(std::size_t p_nodes) : nodes_(p_nodes) {}

    /// The most requests turned away in any second, with a server that takes
    /// `p_taken_per_s` and is offered `p_offered_per_s`.
    std::size_t most_rejected(double p_max_rejected, double p_offered_per_s,
                              double p_taken_per_s, duration p_time)
    {
        std::mt19937 random(7);
        std::exponential_distribution<double> gap(p_offered_per_s);
        std::uniform_int_distribution<std::size_t> any(0, nodes_.size() - 1);
        double room = 0;
        std::deque<time_point> rejected;
        std::size_t most = 0;
        time_point now = start;
        time_point next = start;
        for (; now < start + p_time; now += 5ms)
        {
            room = std::min(2.0, room + p_taken_per_s * 0.005);
            deliver(now);
            for (; next <= now; next += from_seconds(gap(random)))
            {
                const std::size_t node = any(random);
                if (!nodes_[node].may_send("s", 0, now))
                {
                    continue;
                }
                ++sent_;
                nodes_[node].record_response("s", p_max_rejected, now);
                if (room >= 1)
                {
                    room -= 1;
                    continue;
                }
                nodes_[node].record_rejected("s", 99, now);
                rejected.push_back(now);
            }
            tell(now);
            while (!rejected.empty() && now - rejected.front() >= 1s)
            {
                rejected.pop_front();
            }
            most = std::max(most, rejected.size());
        }
        return most;
    }
    void deliver(time_point p_now)
    {
        for (auto it = messages_.begin(); it != messages_.end();)
        {
            if (it->due_ > p_now)
            {
                ++it;
                continue;
            }
            nodes_[it->to_].merge(it->report_, p_now);
            it = messages_.erase(it);
        }
    }
    /// News leave a node within 20 ms and take up to 5 ms.
    void tell(time_point p_now)
    {
        for (std::size_t from = 0; from < nodes_.size(); ++from)
        {
            nodes_[from].tick(p_now);
            if (!nodes_[from].take_news())
            {
                continue;
            }
            for (const auto& report : nodes_[from].take_reports())
            {
                for (std::size_t to = 0; to < nodes_.size(); ++to)
                {
                    if (to != from)
                    {
                        messages_.push_back({p_now + 25ms, to, report});
                    }
                }
            }
        }
    }

    std::vector<brittle_servers> nodes_;
    std::list<message> messages_;
    std::size_t sent_ = 0;
};

} // namespace

TEST_CASE(
    "all nodes together have a brittle server turn away no more than it bears")
{
    constexpr double max_rejected = 8;
    for (const std::size_t nodes : {7U, 72U, 195U})
    {
        fleet fleet(nodes);
        CHECK(fleet.most_rejected(max_rejected, 60, 20, 30s) <= max_rejected);
        // It isn't starved: it could take 600.
        CHECK(fleet.sent_ > 100);
    }
}

TEST_CASE("a server that isn't brittle any more is told so to peers")
{
    brittle_servers first;
    brittle_servers second;
    const auto tell = [&](time_point p_now)
    {
        for (const auto& report : first.take_reports())
        {
            second.merge(report, p_now);
        }
    };
    first.record_response("s", 1, start);
    first.record_rejected("s", 99, start);
    CHECK(first.take_news());
    tell(start + 20ms);
    CHECK_FALSE(first.may_send("s", 0, start + 20ms));
    CHECK_FALSE(second.may_send("s", 0, start + 20ms));
    CHECK(second.pause("s", start + 20ms) == 1s);
    CHECK_FALSE(second.take_news());
    CHECK(second.take_reports().empty());
    first.record_response("s", std::nullopt, start + 500ms);
    CHECK(first.take_news());
    tell(start + 520ms);
    CHECK(first.may_send("s", 0, start + 520ms));
    CHECK(second.may_send("s", 0, start + 520ms));
    // Older news of a third node doesn't bring it back.
    second.merge({"s", 1.0, start + 300ms, 3}, start + 600ms);
    CHECK_FALSE(second.is_brittle("s"));
}
