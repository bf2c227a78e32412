#include "usage/fleet_clock.hpp"
#include "usage/usage_count.hpp"

#include <doctest/doctest.h>

#include <chrono>
#include <cstdlib>
#include <iostream>
#include <random>

using namespace peridotspar;
using namespace std::chrono_literals;

namespace
{

/// True time at the boot clock's zero; 200 ms into a window of 5 s.
constexpr std::int64_t epoch_ms = 1'800'000'000'200;

std::int64_t true_ms(time_point p_now)
{
    return epoch_ms + p_now.time_since_epoch() / 1ms;
}

std::string peer_name(int p_index)
{
    return "peer" + std::to_string(p_index);
}

} // namespace

TEST_CASE("without any clock the fleet time is 0, without peers the own clock")
{
    fleet_clock clock;
    const time_point now(1h);
    CHECK(clock.unix_ms(now) == 0);
    clock.set_own(true_ms(now), now);
    CHECK(clock.unix_ms(now) == true_ms(now));
    // It advances by the boot clock between two readings of the own clock.
    CHECK(clock.unix_ms(now + 15ms) == true_ms(now) + 15);
    clock.set_own(true_ms(now) + 7000, now + 20ms);
    CHECK(clock.unix_ms(now + 20ms) == true_ms(now) + 7000);
}

TEST_CASE("absurd times of peers are ignored and take no memory")
{
    fleet_clock clock;
    const time_point now(1h);
    clock.set_own(true_ms(now), now);
    clock.record_peer("a", -1, now);
    clock.record_peer("b", std::numeric_limits<std::int64_t>::max(), now);
    CHECK(clock.peers() == 0);
    for (int i = 0; i < 5000; ++i)
    {
        clock.record_peer(peer_name(i), true_ms(now), now);
    }
    CHECK(clock.peers() == 1000);
}

TEST_CASE("a peer that is silent for 15 s is dropped")
{
    fleet_clock clock;
    const time_point begin(1h);
    clock.record_peer("a", true_ms(begin) + 9000, begin);
    clock.record_peer("b", true_ms(begin) + 9000, begin);
    for (duration age = 0s; age < 15s; age += 20ms)
    {
        clock.set_own(true_ms(begin + age), begin + age);
        CHECK(clock.unix_ms(begin + age) == true_ms(begin + age) + 9000);
    }
    clock.set_own(true_ms(begin + 15s), begin + 15s);
    CHECK(clock.peers() == 0);
    CHECK(clock.unix_ms(begin + 15s) == true_ms(begin + 15s));
}

TEST_CASE("half of the clocks that step don't take the time along")
{
    for (const int step_ms : {-5000, 5000})
    {
        CAPTURE(step_ms);
        fleet_clock clock;
        time_point now(1h);
        const auto run = [&](duration p_time, int p_step_ms)
        {
            for (const time_point end = now + p_time; now < end; now += 20ms)
            {
                clock.set_own(true_ms(now), now);
                clock.record_peer("a", true_ms(now) + p_step_ms, now);
                CHECK(std::abs(clock.unix_ms(now) - true_ms(now)) <= 1);
            }
        };
        run(1s, 0);
        run(5s, step_ms);
        run(5s, 0);
    }
}

// Guards against windows that move: clocks of a changing minority, the own one
// among them, step forward and back by seconds, and messages take 5 to 200 ms.
TEST_CASE("clock steps of a minority and message delays don't move windows")
{
    for (const int nodes : {3, 9, 85})
    {
        CAPTURE(nodes);
        std::mt19937 random(static_cast<unsigned>(nodes));
        const auto pick = [&](int p_from, int p_to)
        { return std::uniform_int_distribution(p_from, p_to)(random); };
        // Node 0 is the own one.
        std::vector<int> step_ms(static_cast<std::size_t>(nodes));
        fleet_clock clock;
        std::int64_t largest_error = 0;
        std::int64_t last = 0;
        std::int64_t largest_jump = 0;
        const time_point begin(1h);
        for (time_point now = begin; now < begin + 120s; now += 20ms)
        {
            if ((now - begin) % 4s == 0s)
            {
                std::fill(step_ms.begin(), step_ms.end(), 0);
            }
            // Nobody steps for 2 s, so that the last ones have been heard.
            if ((now - begin) % 4s == 2s)
            {
                const int direction = pick(0, 2);
                for (int i = 0; i < (nodes - 1) / 2; ++i)
                {
                    const int sign =
                        direction == 2 ? pick(0, 1) * 2 - 1 : direction * 2 - 1;
                    step_ms[static_cast<std::size_t>(pick(0, nodes - 1))] =
                        sign * pick(1000, 9000);
                }
            }
            clock.set_own(true_ms(now) + step_ms[0], now);
            for (int i = 1; i < nodes; ++i)
            {
                if (pick(0, 9) == 0)
                {
                    clock.record_peer(peer_name(i),
                                      true_ms(now) +
                                          step_ms[static_cast<std::size_t>(i)] -
                                          pick(5, 200),
                                      now);
                }
            }
            const std::int64_t time = clock.unix_ms(now);
            // In the first seconds some peers have been heard only once.
            if (now - begin > 10s)
            {
                largest_error =
                    std::max(largest_error, std::abs(time - true_ms(now)));
                largest_jump =
                    std::max(largest_jump, std::abs(time - last - 20));
            }
            last = time;
        }
        MESSAGE("nodes " << nodes << ": largest error " << largest_error
                         << " ms, largest jump " << largest_jump << " ms");
        CHECK(largest_error <= 50);
        CHECK(largest_jump <= 50);
    }
}

// A node that was suspended reads messages that are as old as the suspension.
// They must not count as steps of all peers, nor the silence as their loss.
TEST_CASE("messages that waited while the node was suspended don't set it back")
{
    fleet_clock clock;
    time_point now(1h);
    const auto hear_all = [&](duration p_age)
    {
        for (int i = 0; i < 9; ++i)
        {
            clock.record_peer(peer_name(i), true_ms(now - p_age), now);
        }
    };
    for (const time_point end = now + 5s; now < end; now += 20ms)
    {
        clock.set_own(true_ms(now), now);
        hear_all(10ms);
    }
    now += 20s;
    // The own clock is wrong after the suspension, and is read first.
    clock.set_own(true_ms(now) + 4000, now);
    CHECK(clock.peers() == 9);
    CHECK(std::abs(clock.unix_ms(now) - true_ms(now)) <= 20);
    for (duration age = 20s; age > 0s; age -= 200ms)
    {
        hear_all(age);
        now += 100us;
        CHECK(std::abs(clock.unix_ms(now) - true_ms(now)) <= 20);
    }
    now += 200ms;
    clock.set_own(true_ms(now) + 4000, now);
    CHECK(std::abs(clock.unix_ms(now) - true_ms(now)) <= 20);
}

TEST_CASE("a step of most clocks is followed within a second")
{
    for (const int step_ms : {-3000, 3000})
    {
        CAPTURE(step_ms);
        fleet_clock clock;
        time_point now(1h);
        const auto run = [&](duration p_time, int p_step_ms)
        {
            for (const time_point end = now + p_time; now < end; now += 100ms)
            {
                clock.set_own(true_ms(now), now);
                for (int i = 0; i < 5; ++i)
                {
                    clock.record_peer(peer_name(i), true_ms(now) + p_step_ms,
                                      now);
                }
            }
        };
        run(5s, 0);
        run(1s, step_ms);
        CHECK(std::abs(clock.unix_ms(now) - true_ms(now) - step_ms) <= 1);
    }
}

// record_peer runs for each message of up to 350 peers.
TEST_CASE("messages and readings are cheap with 350 peers")
{
    fleet_clock clock;
    time_point now(1h);
    constexpr int rounds = 1000;
    constexpr int peers = 350;
    std::vector<std::string> names;
    for (int i = 0; i < peers; ++i)
    {
        names.push_back(peer_name(i));
    }
    std::int64_t sum = 0;
    const auto begin = std::chrono::steady_clock::now();
    for (int i = 0; i < rounds; ++i)
    {
        now += 20ms;
        clock.set_own(true_ms(now), now);
        for (const std::string& name : names)
        {
            clock.record_peer(name, true_ms(now), now);
            sum += clock.unix_ms(now);
        }
    }
    const auto taken = std::chrono::steady_clock::now() - begin;
    CHECK(sum > 0);
    const double ns = std::chrono::duration<double, std::nano>(taken).count();
    MESSAGE("a message and a reading take " << ns / rounds / peers << " ns");
    CHECK(ns / rounds / peers < 5000);
}

TEST_CASE("windows are numbered from the start of 1970")
{
    CHECK(window_at(0, 5s) == window_id(0));
    CHECK(window_at(4999, 5s) == window_id(0));
    CHECK(window_at(5000, 5s) == window_id(1));
    CHECK(window_at(-1, 5s) == window_id(-1));
    CHECK(window_at(-5000, 5s) == window_id(-1));
    CHECK(window_begin_ms(window_id(7), 5s) == 35'000);
}
