#include "quarantine/crash_attribution.hpp"

#include <doctest/doctest.h>

using namespace peridotspar;
using namespace peridotspar::quarantine;
using namespace std::chrono_literals;

namespace
{

const time_point start{1h};
const suspect shared{suspect_key(1), 1};
const suspect deadly{suspect_key(2), 2};
const suspect sound{suspect_key(3), 2};

/// The keys of one more request with the given part.
std::vector<suspect> request(const suspect& p_part, std::uint64_t p_number)
{
    return {shared, p_part, {suspect_key(1000 + p_number), whole_request}};
}

/// Lets requests with the deadly part crash `p_count` servers, 200 ms apart.
void crash_servers(crash_attribution& r_node, std::uint64_t p_first,
                   std::uint64_t p_count, time_point p_at)
{
    for (std::uint64_t i = p_first; i < p_first + p_count; ++i)
    {
        r_node.record_crash(server_key(i), request(deadly, i),
                            p_at + (i - p_first) * 200ms);
    }
}

void exchange(crash_attribution& r_from, crash_attribution& r_to,
              time_point p_now)
{
    for (const auto& report : r_from.reports(p_now))
    {
        r_to.merge(report, p_now);
    }
}

/// Lets all nodes tell each other what they know, every 200 ms.
void exchange_all(std::vector<crash_attribution>& r_nodes, time_point p_from,
                  time_point p_until)
{
    for (time_point now = p_from; now < p_until; now += 200ms)
    {
        for (auto& from : r_nodes)
        {
            const auto reports = from.reports(now);
            for (auto& to : r_nodes)
            {
                for (const auto& report : reports)
                {
                    to.merge(report, now);
                }
            }
        }
        for (auto& node : r_nodes)
        {
            node.tick(now);
        }
    }
}

/// A node that has quarantined the deadly part, at about one second.
crash_attribution quarantining_node()
{
    crash_attribution node;
    crash_servers(node, 1, 3, start);
    node.record_answer(request(sound, 90), start + 450ms, start + 600ms);
    node.tick(start + 1s);
    return node;
}

} // namespace

TEST_CASE("a part that three servers crashed under is quarantined, others not")
{
    crash_attribution node;
    crash_servers(node, 1, 2, start);
    node.record_answer(request(sound, 90), start + 300ms, start + 500ms);
    node.tick(start + 1s);
    CHECK_FALSE(node.is_quarantined(request(deadly, 91)));
    crash_servers(node, 3, 1, start + 1s);
    CHECK(node.is_quarantined(request(deadly, 92)));
    CHECK_FALSE(node.is_quarantined(request(sound, 93)));
    CHECK(node.quarantined_count() == 1);
    const auto changes = node.take_changes();
    REQUIRE(changes.size() == 1);
    CHECK(changes[0].began_);
    CHECK(changes[0].suspect_.key_ == deadly.key_);
    CHECK(changes[0].crashes_ == 3);
}

TEST_CASE("sound requests have some time to clear a part that they share")
{
    crash_attribution node;
    crash_servers(node, 1, 3, start);
    CHECK_FALSE(node.is_quarantined(request(deadly, 91)));
    node.record_answer(request(sound, 90), start + 410ms, start + 490ms);
    node.tick(start + 600ms);
    CHECK(node.is_quarantined(request(deadly, 91)));
    CHECK_FALSE(node.is_quarantined(request(sound, 92)));
}

TEST_CASE("without such an answer the part that says most of a request goes")
{
    crash_attribution node;
    crash_servers(node, 1, 3, start);
    node.tick(start + 1s);
    CHECK(node.is_quarantined({deadly}));
    CHECK_FALSE(node.is_quarantined({shared}));
}

TEST_CASE("only an answer that begins after a crash clears of it")
{
    crash_attribution node;
    crash_servers(node, 1, 3, start);
    node.record_answer({deadly}, start - 100ms, start + 450ms);
    node.tick(start + 1s);
    CHECK(node.is_quarantined({deadly}));
    crash_attribution other;
    crash_servers(other, 1, 3, start);
    other.record_answer({deadly}, start + 100ms, start + 450ms);
    other.tick(start + 1s);
    CHECK_FALSE(other.is_quarantined({deadly}));
}

TEST_CASE("the connections that one crash breaks count once")
{
    crash_attribution node;
    for (std::uint64_t i = 0; i < 5; ++i)
    {
        node.record_crash(server_key(1), request(deadly, i), start + i * 20ms);
    }
    node.tick(start + 2s);
    CHECK(node.quarantined_count() == 0);
}

TEST_CASE("a request that crashes three servers is quarantined at once, alone")
{
    crash_attribution node;
    for (std::uint64_t i = 0; i < 3; ++i)
    {
        node.record_crash(server_key(i), request(sound, 7), start + i * 300ms);
    }
    CHECK(node.is_quarantined(request(sound, 7)));
    CHECK_FALSE(node.is_quarantined(request(sound, 8)));
}

TEST_CASE("requests that ran beside a deadly part take no crash from it")
{
    crash_attribution node;
    // In a storm of crashes the same sound requests are sent and lost again.
    for (std::uint64_t i = 0; i < 6; ++i)
    {
        const time_point at = start + i * 100ms;
        for (std::uint64_t beside = 500; beside < 505; ++beside)
        {
            node.record_crash(server_key(i), request(sound, beside), at);
        }
        node.record_crash(server_key(i), request(deadly, i), at + 1ms);
    }
    node.record_answer(request(sound, 90), start + 520ms, start + 700ms);
    node.tick(start + 700ms);
    CHECK(node.is_quarantined({deadly}));
    CHECK_FALSE(node.is_quarantined(request(sound, 91)));
    CHECK_FALSE(node.is_quarantined(request(sound, 500)));
}

TEST_CASE("crashes seen by different nodes add up, in any order of the reports")
{
    for (const bool reverse : {false, true})
    {
        std::vector<crash_attribution> nodes(3);
        for (std::uint64_t i = 0; i < 3; ++i)
        {
            crash_servers(nodes[i], i + 1, 1, start + i * 200ms);
        }
        for (int round = 0; round < 2; ++round)
        {
            for (std::size_t from = 0; from < 3; ++from)
            {
                for (std::size_t to = 0; to < 3; ++to)
                {
                    const std::size_t i = reverse ? 2 - from : from;
                    const std::size_t j = reverse ? 2 - to : to;
                    exchange(nodes[i], nodes[j], start + 700ms);
                    exchange(nodes[i], nodes[j], start + 700ms);
                }
            }
        }
        for (auto& node : nodes)
        {
            node.tick(start + 1s);
            CHECK(node.is_quarantined({deadly}));
            CHECK_FALSE(node.is_quarantined({shared}));
        }
    }
}

TEST_CASE("a node that starts anew learns the quarantine from one peer")
{
    crash_attribution node = quarantining_node();
    crash_attribution restarted;
    exchange(node, restarted, start + 2s);
    CHECK(restarted.is_quarantined(request(deadly, 91)));
    crash_attribution third;
    exchange(restarted, third, start + 3s);
    CHECK(third.is_quarantined(request(deadly, 91)));
    CHECK_FALSE(third.is_quarantined(request(sound, 91)));
}

TEST_CASE("an answer elsewhere clears a part on all nodes")
{
    crash_attribution here;
    crash_attribution there;
    crash_servers(here, 1, 3, start);
    // Known at this node before it gets the report of the crashes.
    there.record_answer({shared}, start + 450ms, start + 500ms);
    exchange(here, there, start + 500ms);
    exchange(there, here, start + 510ms);
    here.tick(start + 1s);
    CHECK(here.is_quarantined({deadly}));
    CHECK_FALSE(here.is_quarantined({shared}));
}

TEST_CASE("an answer to a request sent before ends a wrong quarantine")
{
    crash_attribution node = quarantining_node();
    crash_attribution peer;
    exchange(node, peer, start + 2s);
    node.record_answer({deadly}, start + 1500ms, start + 2s);
    CHECK_FALSE(node.is_quarantined({deadly}));
    exchange(node, peer, start + 3s);
    CHECK_FALSE(peer.is_quarantined({deadly}));
    // The peer's older report doesn't bring it back.
    crash_attribution late = quarantining_node();
    exchange(late, node, start + 4s);
    CHECK_FALSE(node.is_quarantined({deadly}));
    exchange(node, late, start + 4s);
    CHECK_FALSE(late.is_quarantined({deadly}));
}

TEST_CASE(
    "one request of all nodes is let through as a trial, ever more rarely")
{
    std::vector<crash_attribution> nodes(5, quarantining_node());
    for (std::uint64_t i = 0; i < nodes.size(); ++i)
    {
        std::vector<std::uint64_t> others;
        for (std::uint64_t j = 0; j < nodes.size(); ++j)
        {
            if (j != i)
            {
                others.push_back(100 + j);
            }
        }
        nodes[i].set_nodes(100 + i, others);
    }
    std::vector<duration> trials;
    std::uint64_t number = 200;
    for (duration t = 1s; t < 120s; t += 100ms)
    {
        for (auto& node : nodes)
        {
            const auto refused =
                node.find_refusal(request(deadly, ++number), start + t);
            if (!refused)
            {
                trials.push_back(t);
                node.record_crash(server_key(number), request(deadly, number),
                                  start + t + 50ms);
                for (auto& peer : nodes)
                {
                    exchange(node, peer, start + t + 60ms);
                }
            }
            else
            {
                CHECK(*refused > 0ms);
            }
        }
    }
    REQUIRE(trials.size() == 3);
    CHECK(trials[0] >= 5s);
    CHECK(trials[0] < 6s);
    CHECK(trials[1] - trials[0] >= 20s);
    CHECK(trials[2] - trials[1] >= 80s);
}

TEST_CASE("a trial that is answered ends the quarantine")
{
    crash_attribution node = quarantining_node();
    CHECK(node.find_refusal({deadly}, start + 2s));
    CHECK_FALSE(node.find_refusal({deadly}, start + 7s));
    CHECK(node.find_refusal({deadly}, start + 7s));
    node.record_answer({deadly}, start + 8s, start + 8200ms);
    CHECK_FALSE(node.find_refusal({deadly}, start + 9s));
    CHECK_FALSE(node.find_refusal({deadly}, start + 9s));
}

TEST_CASE("of two quarantines for the same crashes the wider one ends")
{
    crash_attribution here;
    crash_attribution there;
    for (std::uint64_t i = 1; i <= 3; ++i)
    {
        const time_point at = start + i * 200ms;
        const suspect whole{suspect_key(1000 + i), whole_request};
        here.record_crash(server_key(i), {shared, deadly, whole}, at);
        there.record_crash(server_key(i), {shared, whole}, at);
    }
    here.tick(start + 2s);
    there.tick(start + 2s);
    REQUIRE(here.is_quarantined({deadly}));
    REQUIRE(there.is_quarantined({shared}));
    exchange(there, here, start + 2s);
    exchange(here, there, start + 2s);
    for (auto* node : {&here, &there})
    {
        CHECK(node->is_quarantined({deadly}));
        CHECK_FALSE(node->is_quarantined({shared}));
    }
}

TEST_CASE("suspicions and unused quarantines end, though nodes repeat them")
{
    std::vector<crash_attribution> nodes(2);
    crash_servers(nodes[0], 1, 2, start);
    crash_attribution quarantining = quarantining_node();
    for (duration t = 1s; t < 15min; t += 500ms)
    {
        exchange(nodes[0], nodes[1], start + t);
        exchange(nodes[1], nodes[0], start + t);
        for (auto& node : nodes)
        {
            node.tick(start + t);
        }
        quarantining.tick(start + t);
    }
    CHECK(nodes[0].reports(start + 15min).empty());
    CHECK(nodes[1].reports(start + 15min).empty());
    CHECK(quarantining.quarantined_count() == 0);
}

TEST_CASE("many crashes and answers take bounded memory and short messages")
{
    crash_attribution node;
    for (std::uint64_t i = 0; i < 20'000; ++i)
    {
        const time_point at = start + i * 1ms;
        node.record_crash(server_key(i), {{suspect_key(i), 1}}, at);
        node.record_answer({{suspect_key(i + 100'000), 1}}, at, at);
    }
    CHECK(node.reports(start + 20s).size() <= 6);
}

TEST_CASE("a quarantine that an answer ended doesn't begin again from reports "
          "that are handed on")
{
    constexpr std::size_t node_count = 8;
    // What a report says shifts by the time that it was on its way.
    static constexpr duration delay = 30ms;
    const auto handed_on = [](suspect_report p_report)
    {
        const auto shift = [](std::optional<time_point>& r_time)
        { r_time = r_time ? std::optional(*r_time + delay) : r_time; };
        for (crash& known : p_report.crashes_)
        {
            known.at_ += delay;
        }
        shift(p_report.cleared_at_);
        shift(p_report.quarantined_at_);
        return p_report;
    };
    std::vector<crash_attribution> nodes(node_count);
    time_point now = start + 1s;
    const auto exchange_all = [&]
    {
        for (std::size_t from = 0; from < node_count; ++from)
        {
            const auto reports = nodes[from].reports(now);
            now += 2ms;
            for (std::size_t to = 0; to < node_count; ++to)
            {
                for (const auto& report : reports)
                {
                    if (to != from)
                    {
                        nodes[to].merge(handed_on(report), now);
                    }
                }
            }
        }
    };
    crash_servers(nodes[0], 1, 3, start);
    nodes[0].tick(now);
    exchange_all();
    for (const auto& node : nodes)
    {
        REQUIRE(node.is_quarantined(request(deadly, 90)));
    }
    const time_point last_crash = start + 400ms;
    nodes[3].record_answer(request(deadly, 91), last_crash + 50ms, now + 200ms);
    now += 200ms;
    for (int round = 0; round < 50; ++round)
    {
        exchange_all();
        now += 50ms;
    }
    for (auto& node : nodes)
    {
        CHECK_FALSE(node.is_quarantined(request(deadly, 92)));
        std::size_t begun = 0;
        for (const auto& change : node.take_changes())
        {
            begun += change.began_ ? 1 : 0;
        }
        CHECK(begun <= 1);
    }
}

TEST_CASE("a node's lost calls to servers that others reach quarantine nothing")
{
    crash_attribution cut;
    crash_servers(cut, 1, 3, start);
    cut.tick(start + 1s);
    REQUIRE(cut.quarantined_count() == 1);
    crash_attribution reaching;
    exchange(cut, reaching, start + 1s);
    CHECK(reaching.quarantined_count() == 1);
    for (std::uint64_t i = 1; i <= 3; ++i)
    {
        reaching.record_alive(server_key(i), start - 2s, start + 1100ms);
    }
    reaching.tick(start + 1200ms);
    CHECK(reaching.quarantined_count() == 0);
    // The node learns of it, and its report doesn't bring the quarantine back.
    exchange(cut, reaching, start + 1200ms);
    CHECK(reaching.quarantined_count() == 0);
    exchange(reaching, cut, start + 1250ms);
    CHECK(cut.quarantined_count() == 0);
}

TEST_CASE("a server that responds again after its crash did crash")
{
    crash_attribution node;
    crash_servers(node, 1, 3, start);
    for (std::uint64_t i = 1; i <= 3; ++i)
    {
        node.record_alive(server_key(i), start - 2s, start - 10ms);
        // On a new connection, to a server that was started again.
        node.record_alive(server_key(i), start + 800ms, start + 900ms);
    }
    node.tick(start + 1s);
    CHECK(node.quarantined_count() == 1);
}

TEST_CASE("a deadly request is found though each crash took many others along")
{
    const suspect whole{suspect_key(9999), whole_request};
    std::vector<crash_attribution> nodes(3);
    for (std::uint64_t i = 0; i < nodes.size(); ++i)
    {
        const time_point at = start + i * 1s;
        for (std::uint64_t beside = 0; beside < 20; ++beside)
        {
            nodes[i].record_crash(
                server_key(i),
                {{suspect_key(1000 * (i + 1) + beside), whole_request}}, at);
        }
        nodes[i].record_crash(server_key(i), {whole}, at);
    }
    exchange_all(nodes, start + 2100ms, start + 4s);
    for (const auto& node : nodes)
    {
        CHECK(node.is_quarantined({whole}));
        CHECK(node.quarantined_count() == 1);
    }
}

TEST_CASE("a deadly request is found while many quarantines are in force")
{
    std::vector<crash_attribution> nodes(3);
    for (std::uint64_t key = 1; key <= 8; ++key)
    {
        for (std::uint64_t i = 0; i < 3; ++i)
        {
            nodes[0].record_crash(server_key(key * 10 + i),
                                  {{suspect_key(key), whole_request}},
                                  start + i * 600ms);
        }
    }
    nodes[0].tick(start + 2s);
    REQUIRE(nodes[0].quarantined_count() == 8);
    exchange_all(nodes, start + 2s, start + 4s);
    for (const auto& node : nodes)
    {
        CHECK(node.quarantined_count() == 8);
    }
    const suspect whole{suspect_key(9999), whole_request};
    for (std::uint64_t i = 0; i < nodes.size(); ++i)
    {
        nodes[i].record_crash(server_key(i), {whole}, start + 4s + i * 1s);
    }
    exchange_all(nodes, start + 6100ms, start + 8s);
    for (const auto& node : nodes)
    {
        CHECK(node.is_quarantined({whole}));
        CHECK(node.quarantined_count() == 9);
    }
}
