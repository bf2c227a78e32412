#include "policy/crash_tracker.hpp"

#include <doctest/doctest.h>

using namespace peridotspar;
using namespace peridotspar::policy;
using namespace std::chrono_literals;

namespace
{

const fingerprint poison(1);
const fingerprint concurrent(2);
const fingerprint other(3);
const time_point start{1h};

} // namespace

TEST_CASE("a request in two crashes is quarantined, concurrent ones aren't")
{
    crash_tracker tracker(10min);
    tracker.record_crash(backend_index(0), {poison, concurrent}, start);
    CHECK_FALSE(tracker.is_quarantined(poison));
    tracker.record_crash(backend_index(1), {other, poison}, start + 1s);
    CHECK(tracker.is_quarantined(poison));
    CHECK_FALSE(tracker.is_quarantined(concurrent));
    CHECK_FALSE(tracker.is_suspect(concurrent));
    CHECK_FALSE(tracker.is_suspect(other));
}

TEST_CASE("repeated reports of one crash count once")
{
    crash_tracker tracker(10min);
    for (int i = 0; i < 5; ++i)
    {
        tracker.record_crash(backend_index(0), {poison, concurrent},
                             start + i * 10ms);
    }
    CHECK_FALSE(tracker.is_quarantined(poison));
    CHECK_FALSE(tracker.is_quarantined(concurrent));
}

TEST_CASE("a suspect that completes is cleared")
{
    crash_tracker tracker(10min);
    tracker.record_crash(backend_index(0), {poison, concurrent}, start);
    tracker.record_completion(concurrent, start + 1s);
    tracker.record_crash(backend_index(1), {concurrent, other}, start + 2s);
    CHECK_FALSE(tracker.is_quarantined(concurrent));
}

TEST_CASE("nodes merge their records, and repeated records change nothing")
{
    crash_tracker here(10min);
    crash_tracker there(10min);
    here.record_crash(backend_index(0), {poison, concurrent}, start);
    for (int i = 0; i < 10; ++i)
    {
        there.merge(here.records(), start + i * 1s);
    }
    CHECK(there.is_suspect(poison));
    CHECK_FALSE(there.is_quarantined(poison));
    there.record_crash(backend_index(1), {poison}, start + 20s);
    CHECK(there.is_quarantined(poison));
    here.merge(there.records(), start + 21s);
    CHECK(here.is_quarantined(poison));
    CHECK_FALSE(here.is_suspect(concurrent));
}

TEST_CASE("suspects expire")
{
    crash_tracker tracker(10min);
    tracker.record_crash(backend_index(0), {poison}, start);
    tracker.expire(start + 11min);
    CHECK_FALSE(tracker.is_suspect(poison));
}
