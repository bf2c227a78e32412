#include "policy/crash_tracker.hpp"

#include <doctest/doctest.h>

using namespace peridotspar;
using namespace peridotspar::policy;
using namespace std::chrono_literals;

namespace
{

const fingerprint poison(1);
const fingerprint neighbour(2);
const fingerprint other(3);
const time_point start{1h};

} // namespace

TEST_CASE("the request of two crashes is quarantined, its neighbours aren't")
{
    crash_tracker tracker(10min);
    tracker.note_crash(backend_index(0), {poison, neighbour}, start);
    CHECK_FALSE(tracker.is_quarantined(poison));
    tracker.note_crash(backend_index(1), {other, poison}, start + 1s);
    CHECK(tracker.is_quarantined(poison));
    CHECK_FALSE(tracker.is_quarantined(neighbour));
    CHECK_FALSE(tracker.is_suspect(neighbour));
    CHECK_FALSE(tracker.is_suspect(other));
}

TEST_CASE("several reports of one crash count once")
{
    crash_tracker tracker(10min);
    for (int i = 0; i < 5; ++i)
    {
        tracker.note_crash(backend_index(0), {poison, neighbour},
                           start + i * 10ms);
    }
    CHECK_FALSE(tracker.is_quarantined(poison));
    CHECK_FALSE(tracker.is_quarantined(neighbour));
}

TEST_CASE("a suspect that completes is cleared")
{
    crash_tracker tracker(10min);
    tracker.note_crash(backend_index(0), {poison, neighbour}, start);
    tracker.note_completed(neighbour, start + 1s);
    tracker.note_crash(backend_index(1), {neighbour, other}, start + 2s);
    CHECK_FALSE(tracker.is_quarantined(neighbour));
}

TEST_CASE("nodes share what they found, and repeating it adds nothing")
{
    crash_tracker here(10min);
    crash_tracker there(10min);
    here.note_crash(backend_index(0), {poison, neighbour}, start);
    for (int i = 0; i < 10; ++i)
    {
        there.merge(here.records(), start + i * 1s);
    }
    CHECK(there.is_suspect(poison));
    CHECK_FALSE(there.is_quarantined(poison));
    there.note_crash(backend_index(1), {poison}, start + 20s);
    CHECK(there.is_quarantined(poison));
    here.merge(there.records(), start + 21s);
    CHECK(here.is_quarantined(poison));
    CHECK_FALSE(here.is_suspect(neighbour));
}

TEST_CASE("old suspicions are forgotten")
{
    crash_tracker tracker(10min);
    tracker.note_crash(backend_index(0), {poison}, start);
    tracker.expire(start + 11min);
    CHECK_FALSE(tracker.is_suspect(poison));
}
