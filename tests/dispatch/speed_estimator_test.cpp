#include "dispatch/speed_estimator.hpp"
#include "tests/dispatch/engine_fixture.hpp"

using namespace peridotspar;
using namespace peridotspar::dispatch;
using namespace std::chrono_literals;

TEST_CASE("the speed of engines that differ from the default is estimated")
{
    for (const double slower : {0.4, 3.0})
    {
        engine_fixture r;
        auto now = start;
        assignment last;
        duration took{};
        for (std::uint64_t i = 0; i < 120; ++i)
        {
            // Each document is new and finds an idle engine.
            const auto request = engine_fixture::long_request(100 + i);
            last = r.send(request, now);
            took = from_seconds(0.1 + slower * 0.4);
            r.placement_.servers().record_first_answer(request, last,
                                                       now + took);
            r.placement_.servers().record_end(last, send_result::answered,
                                              now + took);
            now += 20s;
        }
        const double expected =
            to_seconds(last.expected_answer_at_ - last.sent_at_);
        CHECK(expected == doctest::Approx(to_seconds(took)).epsilon(0.15));
    }
}

TEST_CASE("answers to short prompts determine the base time")
{
    speed_estimator estimator;
    for (int i = 0; i < 200; ++i)
    {
        estimator.add_sample(5ms, 305ms);
    }
    CHECK(estimator.speed().base_ms_ == doctest::Approx(300).epsilon(0.05));
    const double per_token = estimator.speed().ms_per_token_;
    for (int i = 0; i < 200; ++i)
    {
        estimator.add_sample(100ms, 500ms);
    }
    CHECK(estimator.speed().ms_per_token_ > per_token * 1.9);
}

TEST_CASE("a single outlier changes the estimate little")
{
    speed_estimator estimator;
    const double before = estimator.speed().ms_per_token_;
    estimator.add_sample(100ms, 30s);
    CHECK(estimator.speed().ms_per_token_ < before * 1.1);
}

TEST_CASE("temporary slowdowns don't shift the estimate")
{
    speed_estimator estimator;
    const double before = estimator.speed().ms_per_token_;
    for (int i = 0; i < 400; ++i)
    {
        // Every fifth answer takes 2.5 times as long.
        const bool slowed = i % 5 == 0;
        const double expected = 100 * estimator.speed().ms_per_token_ / before;
        const double took = slowed ? 250 : 100;
        estimator.add_sample(
            from_seconds(expected / 1000),
            from_seconds((estimator.speed().base_ms_ + took) / 1000));
    }
    CHECK(estimator.speed().ms_per_token_ ==
          doctest::Approx(before).epsilon(0.1));
}
