#include "usage/usage_collector.hpp"

#include <doctest/doctest.h>

#include <chrono>
#include <limits>
#include <random>

using namespace peridotspar;

namespace
{

using totals = std::map<std::string, std::uint64_t>;

constexpr window_id window{200};

std::string name(const std::string& p_prefix, int p_index)
{
    return p_prefix + std::to_string(p_index);
}

} // namespace

TEST_CASE("totals are the sum over node runs of the highest counts")
{
    usage_collector collector;
    collector.record("n1", "r1", {{window, "a", 5}, {window, "b", 1}});
    collector.record("n1", "r1", {{window, "a", 3}});
    collector.record("n1", "r1", {{window, "a", 5}});
    collector.record("n2", "r1", {{window, "a", 10}});
    // The node restarted and counts from 0 again.
    collector.record("n1", "r2", {{window, "a", 2}});
    CHECK(collector.totals(window) == totals{{"a", 17}, {"b", 1}});
    CHECK(collector.totals(window_id(201)).empty());
}

TEST_CASE("negative and absurd counts, and long names, are left out")
{
    usage_collector collector;
    collector.record(
        "n", "r",
        {{window, "a", static_cast<std::uint64_t>(std::int64_t{-1})},
         {window, "b", 10'000'001},
         {window, "c", 10'000'000},
         {window, std::string(257, 'x'), 1},
         {window, "d", 0}});
    CHECK(collector.totals(window) == totals{{"c", 10'000'000}});
    CHECK(collector.left_out().invalid_ == 3);
    collector.record("n", std::string(1000, 'x'), {{window, "a", 1}});
    CHECK(collector.left_out().invalid_ == 4);
}

TEST_CASE("windows more than 10 away from the collector's time are left out")
{
    usage_collector collector;
    collector.set_current(window);
    for (const std::int64_t far : {std::int64_t{189}, std::int64_t{211},
                                   std::numeric_limits<std::int64_t>::min(),
                                   std::numeric_limits<std::int64_t>::max()})
    {
        collector.record("n", "r", {{window_id(far), "a", 1}});
        CHECK(collector.totals(window_id(far)).empty());
    }
    CHECK(collector.left_out().far_windows_ == 4);
    collector.record("n", "r", {{window_id(190), "a", 1}});
    collector.record("n", "r", {{window_id(210), "a", 1}});
    CHECK(collector.kept_windows() == 2);
    collector.set_current(window_id(201));
    CHECK(collector.kept_windows() == 1);
}

TEST_CASE("8 windows are kept; wrong clocks don't displace those due")
{
    usage_collector collector;
    collector.set_current(window);
    for (int i = -10; i <= 10; ++i)
    {
        collector.record("n", "r", {{window_after(window, i), "a", 1}});
    }
    CHECK(collector.kept_windows() == 8);
    for (int i = -3; i <= 0; ++i)
    {
        CHECK(collector.totals(window_after(window, i)) == totals{{"a", 1}});
    }
    CHECK(collector.left_out().over_limits_ > 0);
}

TEST_CASE("dropped windows stay dropped")
{
    usage_collector collector;
    collector.record("n", "r", {{window, "a", 1}});
    collector.drop_before(window_id(201));
    collector.record("n", "r", {{window, "a", 2}});
    CHECK(collector.totals(window).empty());
    CHECK(collector.kept_accounts() == 0);
    CHECK(collector.kept_runs() == 0);
    CHECK(collector.kept_counts() == 0);
    collector.drop_before(window);
    collector.record("n", "r", {{window, "a", 2}});
    CHECK(collector.totals(window).empty());
}

TEST_CASE("accounts and node runs are bounded, and make room again")
{
    usage_collector collector;
    collector.set_current(window);
    for (int i = 0; i < 3000; ++i)
    {
        collector.record("n", "r", {{window, name("a", i), 1}});
        collector.record("n", name("r", i), {{window, "a0", 1}});
    }
    CHECK(collector.kept_accounts() == 2000);
    CHECK(collector.kept_runs() == 1000);
    CHECK(collector.left_out().over_limits_ == 1000 + 2001);
    // Counts of those that are known are still taken.
    collector.record("n", "r", {{window, "a1", 5}});
    CHECK(collector.totals(window).at("a1") == 5);
    CHECK(collector.totals(window).at("a0") == 1000);
    const window_id next = window_after(window);
    collector.record("n", "r", {{next, "a1", 5}});
    collector.drop_before(next);
    CHECK(collector.kept_accounts() == 1);
    CHECK(collector.kept_runs() == 1);
    collector.record("n2", "new", {{next, "new", 5}});
    CHECK(collector.totals(next) == totals{{"a1", 5}, {"new", 5}});
}

TEST_CASE("the number of counts is bounded")
{
    usage_collector collector;
    std::vector<usage_count> counts;
    for (int i = 0; i < 2000; ++i)
    {
        counts.push_back({window, name("a", i), 1});
    }
    for (int i = 0; i < 600; ++i)
    {
        collector.record(name("n", i), "r", counts);
    }
    CHECK(collector.kept_counts() == 1'000'000);
    CHECK(collector.left_out().over_limits_ == 200'000);
    collector.record("n0", "r", {{window, "a0", 7}});
    CHECK(collector.totals(window).at("a0") == 506);
    collector.drop_before(window_after(window));
    CHECK(collector.kept_counts() == 0);
}

// A collector at the design target takes counts of 350 nodes.
TEST_CASE("counts of 350 nodes are taken quickly")
{
    usage_collector collector;
    collector.set_current(window);
    std::mt19937 random(1);
    std::vector<std::vector<usage_count>> messages(350);
    std::size_t taken_counts = 0;
    for (auto& message : messages)
    {
        for (int i = 0; i < 90; ++i)
        {
            message.push_back(
                {window, name("account", static_cast<int>(random() % 1000)),
                 random() % 30 + 1});
        }
        taken_counts += message.size();
    }
    const auto begin = std::chrono::steady_clock::now();
    for (std::size_t i = 0; i < messages.size(); ++i)
    {
        collector.record(name("node", static_cast<int>(i)), "run", messages[i]);
    }
    const auto taken = std::chrono::steady_clock::now() - begin;
    const double ns = std::chrono::duration<double, std::nano>(taken).count();
    MESSAGE("a count takes " << ns / static_cast<double>(taken_counts)
                             << " ns; a second of 350 nodes takes " << ns / 1e6
                             << " ms");
    CHECK(ns / static_cast<double>(taken_counts) < 10'000);
}
