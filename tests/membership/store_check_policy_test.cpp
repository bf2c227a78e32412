#include "membership/store_check_policy.hpp"

#include <algorithm>
#include <vector>

#include <doctest/doctest.h>

using namespace peridotspar;
using namespace std::chrono_literals;

namespace
{

constexpr duration report_interval = 200ms;
constexpr duration step = 20ms;
/// A fleet must be up to date this long after a disruption; a failed check is
/// followed by a retry and by news to the others.
constexpr duration stability_time = 3s;

/// Followers whose watches only confirm the store while they work.
struct followers
{
    explicit followers(std::size_t p_count)
        : policies_(p_count), next_response_(p_count, time_point{})
    {
    }
    /// Runs for a time. Watches of the first `p_silent` followers give no
    /// response, and their checks none either.
    void run(duration p_time, std::size_t p_silent)
    {
        for (const time_point end = now_ + p_time; now_ < end; now_ += step)
        {
            for (std::size_t i = 0; i < policies_.size(); ++i)
            {
                run(i, i < p_silent);
            }
            longest_age_ = std::max(longest_age_, now_ - confirmed_at_);
        }
    }
    void run(std::size_t p_follower, bool p_silent)
    {
        const auto decision = policies_[p_follower].decide(
            p_follower, confirmed_at_, report_interval, now_);
        auto& next_response = next_response_[p_follower];
        const bool responds = now_ >= next_response || decision.check_now_;
        if (!p_silent && responds)
        {
            ++calls_;
            confirmed_at_ = now_;
            next_response = now_ + decision.watch_wait_;
        }
    }

    std::vector<store_check_policy> policies_;
    std::vector<time_point> next_response_;
    time_point now_{};
    time_point confirmed_at_{};
    duration longest_age_{};
    std::size_t calls_ = 0;
};

} // namespace

TEST_CASE("the calls that check the store don't grow with the followers")
{
    followers fleet(5);
    fleet.run(60s, 0);
    // One call in 1.2 s, and one of each other follower in 20 s.
    CHECK(fleet.calls_ <= 65);
    CHECK(fleet.longest_age_ < 1500ms);
}

TEST_CASE("a follower takes over when those before it get no responses")
{
    for (std::size_t silent = 1; silent < 5; ++silent)
    {
        followers fleet(5);
        fleet.run(10s, 0);
        fleet.run(10s, silent);
        CAPTURE(silent);
        CHECK(fleet.longest_age_ < stability_time);
    }
}
