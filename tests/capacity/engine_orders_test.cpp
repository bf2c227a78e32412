#include "capacity/engine_orders.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <limits>
#include <map>
#include <optional>
#include <vector>

using namespace peridotspar;
using namespace peridotspar::capacity;
using namespace std::chrono_literals;

namespace
{

const time_point start{1h};
const failure_domain_id a("a");
const failure_domain_id b("b");

/// Prefill per second of one engine at a utilization of 0.75.
constexpr double ms_per_engine = 750;
/// Nothing is ordered away before demand has been visible for this long.
constexpr duration first_demand = 20s;
/// Time constant of the mean, and the boot time of the views here, over which
/// the peak is averaged.
constexpr double smoothing_s = 10;

/// The average after `p_time_s` when the need changes from `p_before` to
/// `p_after` engines.
double averaged(double p_before, double p_after, double p_time_s,
                double p_smoothing_s = smoothing_s)
{
    return p_after + (p_before - p_after) * std::exp(-p_time_s / p_smoothing_s);
}

/// Two domains with 5 engines each; the demand needs 7 engines, and 10 (9.45)
/// with the reserve of 1.35.
capacity_view two_domains()
{
    capacity_view view;
    view.min_per_domain_ = 1;
    view.max_per_domain_ = 20;
    view.boot_time_ = 10s;
    view.domains_ = {{a, 1.0, 5, 0}, {b, 2.0, 5, 0}};
    view.prefill_ms_per_s_ = 7 * ms_per_engine;
    view.slots_per_engine_ = 10;
    view.age_ = 1s;
    view.reporting_nodes_ = 3;
    view.live_nodes_ = 3;
    view.held_for_ = 1min;
    return view;
}

/// Decisions every 500 ms from `p_from` on until `p_to`, exclusively.
std::vector<engine_order> decide_until(engine_orders& r_orders,
                                       const capacity_view& p_view,
                                       time_point p_from, time_point p_to)
{
    std::vector<engine_order> all;
    for (time_point now = p_from; now < p_to; now += 500ms)
    {
        const auto orders = r_orders.decide(p_view, now);
        all.insert(all.end(), orders.begin(), orders.end());
    }
    return all;
}

} // namespace

// Guards against a wrong unit in the sizing.
TEST_CASE("the need is the largest of prefill, streams and cache")
{
    engine_orders orders({});
    capacity_view view = two_domains();
    SUBCASE("prefill")
    {
        view.prefill_ms_per_s_ = 10 * ms_per_engine;
        orders.decide(view, start);
        CHECK(orders.last().prefill_engines_ == doctest::Approx(10));
        CHECK(orders.last().reason_ == decision_reason::up_prefill);
    }
    SUBCASE("streams")
    {
        view.streams_ = 70;
        orders.decide(view, start);
        CHECK(orders.last().stream_engines_ == doctest::Approx(10));
        CHECK(orders.last().reason_ == decision_reason::up_streams);
    }
    SUBCASE("cache")
    {
        view.cached_engines_ = 8;
        orders.decide(view, start);
        CHECK(orders.last().cache_engines_ == doctest::Approx(10));
        CHECK(orders.last().reason_ == decision_reason::up_cache);
    }
    CHECK(orders.last().peak_engines_ == doctest::Approx(10));
    CHECK(orders.last().mean_engines_ == doctest::Approx(10));
    CHECK(orders.last().needed_ == 14); // 13.5
    // The cheaper domain has half of the engines already.
    CHECK(orders.last().orders_ ==
          std::vector<engine_order>{{a, 7, false}, {b, 7, false}});
}

// Guards against ordering the same need again while its engines boot.
TEST_CASE("an order is repeated only after boot time and 3 s")
{
    engine_orders orders({});
    capacity_view view = two_domains();
    view.prefill_ms_per_s_ = 10 * ms_per_engine;
    CHECK(orders.decide(view, start).size() == 2);
    CHECK(decide_until(orders, view, start + 500ms, start + 13s).empty());
    CHECK(orders.decide(view, start + 13s) ==
          std::vector<engine_order>{{a, 7, false}, {b, 7, false}});
}

// Guards against repeating a number that the platform may still reach, when
// engines stop during the boot of others.
TEST_CASE("a loss doesn't repeat an order that may still take effect")
{
    engine_orders orders({});
    capacity_view view = two_domains();
    view.prefill_ms_per_s_ = 10 * ms_per_engine;
    CHECK(orders.decide(view, start).size() == 2);
    view.domains_[0].standard_ = 3;
    // The other domain would get more than half of the engines.
    CHECK(decide_until(orders, view, start + 500ms, start + 13s).empty());
    CHECK(orders.last().reason_ == decision_reason::hold_limited);
    CHECK(orders.last().shortage_ == 2);
    CHECK(orders.decide(view, start + 13s) ==
          std::vector<engine_order>{{a, 7, false}, {b, 7, false}});
}

// Guards against removing running engines in favour of some that never come.
TEST_CASE("engines that boot are no reason to remove others")
{
    engine_orders orders({});
    capacity_view view = two_domains();
    view.boot_time_ = 60s;
    view.prefill_ms_per_s_ = 10 * ms_per_engine;
    CHECK(orders.decide(view, start).size() == 2);
    view.prefill_ms_per_s_ = 7 * ms_per_engine;
    CHECK(decide_until(orders, view, start + 500ms, start + 60s).empty());
    CHECK(orders.last().expected_ == 14);
    CHECK(orders.last().needed_ == 10);
}

// Guards against a new tenure that relies on orders of the earlier one.
TEST_CASE("after a takeover the numbers are ordered again")
{
    engine_orders orders({});
    capacity_view view = two_domains();
    view.prefill_ms_per_s_ = 10 * ms_per_engine;
    CHECK(orders.decide(view, start).size() == 2);
    view.held_for_ = 0s;
    CHECK(orders.decide(view, start + 5s) ==
          std::vector<engine_order>{{a, 7, false}, {b, 7, false}});
}

// Guards against losing an order that couldn't be sent.
TEST_CASE("an order to be retried is decided again")
{
    engine_orders orders({});
    capacity_view view = two_domains();
    view.prefill_ms_per_s_ = 10 * ms_per_engine;
    const auto first = orders.decide(view, start);
    CHECK(first.size() == 2);
    orders.on_result(first[0], order_result::done, start);
    orders.on_result(first[1], order_result::retry, start);
    CHECK(orders.decide(view, start + 500ms) ==
          std::vector<engine_order>{first[1]});
}

// Guards against repeating an order that the platform doesn't accept.
TEST_CASE("a rejected order isn't repeated for 10 s")
{
    engine_orders orders({});
    capacity_view view = two_domains();
    view.domains_.pop_back();
    view.max_per_domain_ = 12;
    const auto first = decide_until(orders, view, start, start + 500ms);
    CHECK(first.empty() == false);
    orders.on_result(first.at(0), order_result::rejected, start);
    CHECK(decide_until(orders, view, start + 500ms, start + 10s).empty());
    CHECK(orders.last().reason_ == decision_reason::hold_limited);
    CHECK(orders.last().shortage_ == 5);
    CHECK(orders.decide(view, start + 10s) == first);
}

// Guards against a crash when an answer arrives late.
TEST_CASE("a result for an unknown domain is ignored")
{
    engine_orders orders({});
    orders.decide(two_domains(), start);
    const auto before = orders.last().expected_;
    orders.on_result({failure_domain_id("x"), 5, false},
                     order_result::none_to_be_had, start);
    CHECK(orders.decide(two_domains(), start + 500ms).empty());
    CHECK(orders.last().expected_ == before);
}

// Guards against orders from contradictory input, and against one bad view
// that spoils the next decisions.
TEST_CASE("unusable input orders nothing and shows in the decision")
{
    engine_orders orders({});
    capacity_view view = two_domains();
    view.prefill_ms_per_s_ = 10 * ms_per_engine;
    SUBCASE("minimum above maximum")
    {
        view.min_per_domain_ = 21;
    }
    SUBCASE("negative price")
    {
        view.domains_[1].price_ = -1;
    }
    SUBCASE("price without a value")
    {
        view.domains_[1].price_ = std::nan("");
    }
    SUBCASE("negative spot price")
    {
        view.spot_price_ = -0.1;
    }
    SUBCASE("unnamed domain")
    {
        view.domains_[0].domain_ = failure_domain_id();
    }
    SUBCASE("repeated domain")
    {
        view.domains_[1].domain_ = a;
    }
    SUBCASE("no domains")
    {
        view.domains_.clear();
    }
    SUBCASE("no slots")
    {
        view.slots_per_engine_ = 0;
    }
    SUBCASE("negative demand")
    {
        view.streams_ = -1;
    }
    SUBCASE("infinite demand")
    {
        view.prefill_ms_per_s_ = std::numeric_limits<double>::infinity();
    }
    SUBCASE("absurd minimum")
    {
        view.min_per_domain_ = view.max_per_domain_ = 4'000'000'000;
    }
    SUBCASE("negative boot time")
    {
        view.boot_time_ = -1s;
    }
    CHECK(orders.decide(view, start).empty());
    CHECK(orders.last().reason_ == decision_reason::unusable_input);
    CHECK(to_string(orders.last().reason_) == "unusable_input");
    CHECK(orders.decide(two_domains(), start + 500ms).empty());
    CHECK(orders.last().reason_ == decision_reason::hold_enough);
}

// Guards against removing engines on the word of a doubtful view.
TEST_CASE("nothing is removed with a view that isn't trusted")
{
    engine_orders orders({});
    capacity_view view = two_domains();
    view.prefill_ms_per_s_ = 2 * ms_per_engine;
    decision_reason expected{};
    SUBCASE("stale")
    {
        view.age_ = 2001ms;
        expected = decision_reason::hold_stale;
    }
    SUBCASE("nodes missing")
    {
        view.reporting_nodes_ = 2;
        expected = decision_reason::hold_incomplete;
    }
    SUBCASE("no nodes")
    {
        view.reporting_nodes_ = view.live_nodes_ = 0;
        expected = decision_reason::hold_incomplete;
    }
    SUBCASE("recent takeover")
    {
        view.held_for_ = 9999ms;
        expected = decision_reason::hold_recent_takeover;
    }
    SUBCASE("no demand")
    {
        view.prefill_ms_per_s_ = 0;
        expected = decision_reason::hold_no_demand;
    }
    CHECK(decide_until(orders, view, start, start + 60s).empty());
    CHECK(orders.last().reason_ == expected);
}

// Guards against removing cheap engines first, going below the minimum and
// more than 6 reductions a minute in a domain.
TEST_CASE("reductions keep the limits of domains")
{
    engine_orders orders({});
    capacity_view view = two_domains();
    view.prefill_ms_per_s_ = ms_per_engine;
    view.domains_[0].standard_ = 9;
    view.domains_[1].standard_ = 10;
    view.min_per_domain_ = 3;
    std::map<failure_domain_id, int> reductions;
    std::optional<failure_domain_id> first;
    const time_point begin = start + first_demand;
    CHECK(decide_until(orders, view, start, begin).empty());
    for (time_point now = begin; now < begin + 59s; now += 500ms)
    {
        for (const engine_order& order : orders.decide(view, now))
        {
            first = first.value_or(order.domain_);
            ++reductions[order.domain_];
            CHECK(order.desired_ >= 3);
            view.domains_[order.domain_ == a ? 0 : 1].standard_ =
                order.desired_;
        }
    }
    CHECK(first == b);
    CHECK(reductions[a] == 6);
    CHECK(reductions[b] == 6);
    CHECK(orders.last().reason_ == decision_reason::hold_down_limit);
}

// Guards against numbers planned from zero, which would stop engines in some
// domains if the list was wrong after a reset of the store.
TEST_CASE("a list that is suddenly empty isn't believed for 3 s")
{
    engine_orders orders({});
    capacity_view view = two_domains();
    orders.decide(view, start);
    view.domains_[0].standard_ = view.domains_[1].standard_ = 0;
    CHECK(decide_until(orders, view, start + 500ms, start + 3500ms).empty());
    CHECK(orders.last().reason_ == decision_reason::hold_empty_list);
    SUBCASE("it comes back")
    {
        CHECK(orders.decide(two_domains(), start + 3500ms).empty());
        CHECK(orders.last().reason_ == decision_reason::hold_enough);
    }
    SUBCASE("it stays empty")
    {
        CHECK(orders.decide(view, start + 3500ms) ==
              std::vector<engine_order>{{a, 5, false}, {b, 5, false}});
    }
}

// Guards against a new holder that plans before it has the reports and list.
TEST_CASE("a new holder waits up to 2 s for its view")
{
    engine_orders orders({});
    capacity_view view = two_domains();
    view.prefill_ms_per_s_ = 10 * ms_per_engine;
    view.held_for_ = 1999ms;
    SUBCASE("nodes missing")
    {
        view.reporting_nodes_ = 2;
    }
    SUBCASE("an old report")
    {
        view.age_ = 3s;
    }
    SUBCASE("no engines")
    {
        view.domains_[0].standard_ = view.domains_[1].standard_ = 0;
    }
    CHECK(orders.decide(view, start).empty());
    CHECK(orders.last().reason_ == decision_reason::hold_recent_takeover);
    view.held_for_ = 2s;
    CHECK(orders.decide(view, start + 1ms).size() == 2);
}

// Guards against leaving a domain with fewer engines than its minimum.
TEST_CASE("reductions stop at the minimum of each domain")
{
    engine_orders orders({});
    capacity_view view = two_domains();
    view.prefill_ms_per_s_ = ms_per_engine;
    view.min_per_domain_ = 4;
    view.domains_[1].standard_ = 6;
    for (time_point now = start; now < start + 60s; now += 500ms)
    {
        for (const engine_order& order : orders.decide(view, now))
        {
            CHECK(order.desired_ >= 4);
            view.domains_[order.domain_ == a ? 0 : 1].standard_ =
                order.desired_;
        }
    }
    CHECK(view.domains_[0].standard_ == 4);
    CHECK(view.domains_[1].standard_ == 4);
}

// Guards against a domain without engines when the demand is small.
TEST_CASE("a domain below its minimum gets engines without demand")
{
    engine_orders orders({});
    capacity_view view = two_domains();
    view.prefill_ms_per_s_ = 0;
    view.domains_[1].standard_ = 0;
    view.min_per_domain_ = 2;
    CHECK(orders.decide(view, start) ==
          std::vector<engine_order>{{b, 2, false}});
    CHECK(orders.last().reason_ == decision_reason::up_min);
}

// Guards against a domain that stays above a lowered maximum.
TEST_CASE("a domain above its maximum is reduced and the need moves")
{
    engine_orders orders({});
    capacity_view view = two_domains();
    view.domains_[0].standard_ = 7;
    view.domains_[1].standard_ = 3;
    view.max_per_domain_ = 6;
    const time_point begin = start + first_demand;
    CHECK(decide_until(orders, view, start, begin).empty());
    CHECK(orders.last().reason_ == decision_reason::hold_no_demand);
    CHECK(orders.decide(view, begin) ==
          std::vector<engine_order>{{a, 6, false}});
    CHECK(orders.decide(view, begin + 500ms) ==
          std::vector<engine_order>{{b, 4, false}});
}

// Guards against too many spot engines, all of one domain or without a gain.
TEST_CASE("spot engines are at most a quarter, and in several domains")
{
    engine_orders orders({});
    capacity_view view = two_domains();
    view.prefill_ms_per_s_ = 14 * ms_per_engine; // 19 (18.9) with the reserve
    SUBCASE("cheaper")
    {
        view.spot_price_ = 0.4;
        unsigned spot = 0;
        unsigned all = 10;
        for (const engine_order& order : orders.decide(view, start))
        {
            spot += order.spot_ ? order.desired_ : 0;
            all += order.spot_ ? order.desired_ : order.desired_ - 5;
            CHECK((!order.spot_ || order.desired_ <= 2));
        }
        CHECK(spot == 4);
        CHECK(all == 19);
    }
    SUBCASE("not cheaper")
    {
        view.spot_price_ = 1;
        for (const engine_order& order : orders.decide(view, start))
        {
            CHECK_FALSE(order.spot_);
        }
        CHECK(orders.last().orders_.size() == 2);
    }
}

// Guards against taking a reduction that was ordered for a reclaim.
TEST_CASE("spot engines ordered away are not reclaimed")
{
    engine_orders orders({});
    capacity_view view = two_domains();
    view.spot_price_ = 0.4;
    view.prefill_ms_per_s_ = 6 * ms_per_engine; // 9 (8.1) with the reserve
    view.domains_[0] = {a, 1.0, 4, 3};
    view.domains_[1] = {b, 1.0, 4, 0};
    const time_point begin = start + first_demand;
    CHECK(decide_until(orders, view, start, begin).empty());
    const auto removed = orders.decide(view, begin);
    REQUIRE(removed == std::vector<engine_order>{{a, 2, true}});
    view.domains_[0].spot_ = 2;
    CHECK(orders.decide(view, begin + 500ms).empty());
    view.domains_[0].spot_ = 0;
    orders.decide(view, begin + 1s);
    CHECK(orders.last().reason_ == decision_reason::replace_reclaimed);
}

// Guards against waiting 15 s with spot orders after a removal of our own.
TEST_CASE("the removal of the last spot engine is not a reclaim")
{
    engine_orders orders({});
    capacity_view view = two_domains();
    view.spot_price_ = 0.4;
    view.prefill_ms_per_s_ = ms_per_engine; // 2 (1.35) with the reserve
    view.domains_[0] = {a, 1.0, 1, 1};
    view.domains_[1] = {b, 2.0, 1, 0};
    const time_point begin = start + first_demand;
    CHECK(decide_until(orders, view, start, begin).empty());
    REQUIRE(orders.decide(view, begin) ==
            std::vector<engine_order>{{a, 0, true}});
    view.domains_[0].spot_ = 0;
    // Raises the averages from 1 to 10 engines within 0.5 s.
    const double rise = (10 - 1) / averaged(0, 1, 0.5);
    view.prefill_ms_per_s_ = (1 + rise) * ms_per_engine;
    const auto added = orders.decide(view, begin + 500ms);
    CHECK(orders.last().needed_ == 14); // 13.5
    CHECK(std::any_of(added.begin(), added.end(),
                      [](const engine_order& p_order)
                      { return p_order.spot_ && p_order.domain_ == a; }));
}

// Guards against counting on spot engines that were reclaimed as they booted.
TEST_CASE("spot engines that boot are reclaimed with the others")
{
    engine_orders orders({});
    capacity_view view = two_domains();
    view.spot_price_ = 0.4;
    view.domains_[0] = {a, 1.0, 4, 1};
    view.prefill_ms_per_s_ = 10 * ms_per_engine;
    const auto first = orders.decide(view, start);
    REQUIRE(std::count(first.begin(), first.end(), engine_order{a, 2, true}) ==
            1);
    CHECK(orders.last().needed_ == 14);
    view.domains_[0].spot_ = 0;
    orders.decide(view, start + 500ms);
    CHECK(orders.last().expected_ == 12);
    CHECK(orders.last().reason_ == decision_reason::replace_reclaimed);
    for (const engine_order& order : orders.last().orders_)
    {
        CHECK_FALSE(order.spot_);
    }
}

// Guards against asking each domain in turn for spot engines.
TEST_CASE("after a 409 for a spot engine a standard one is ordered")
{
    engine_orders orders({});
    capacity_view view = two_domains();
    view.domains_.push_back({failure_domain_id("c"), 1.0, 5, 0});
    view.spot_price_ = 0.4;
    // 16 (15.3) with the reserve
    view.prefill_ms_per_s_ = 34.0 / 3 * ms_per_engine;
    const auto first = orders.decide(view, start);
    REQUIRE(first == std::vector<engine_order>{{a, 1, true}});
    orders.on_result(first[0], order_result::none_to_be_had, start);
    CHECK(orders.decide(view, start + 500ms) ==
          std::vector<engine_order>{{a, 6, false}});
}

// Guards against asking for more than there is again and again when a part of
// the engines would be available.
TEST_CASE("after a 409 the next order asks for half as many engines")
{
    engine_orders orders({});
    capacity_view view = two_domains();
    view.domains_.pop_back();
    const auto first = orders.decide(view, start);
    REQUIRE(first == std::vector<engine_order>{{a, 10, false}});
    orders.on_result(first[0], order_result::none_to_be_had, start);
    CHECK(decide_until(orders, view, start + 500ms, start + 3s).empty());
    CHECK(orders.decide(view, start + 3s) ==
          std::vector<engine_order>{{a, 7, false}});
}

// Guards against engines that are ordered for a spike and serve after it.
TEST_CASE("a spike shorter than the boot time orders little")
{
    engine_orders orders({});
    capacity_view view = two_domains();
    CHECK(decide_until(orders, view, start, start + 30s).empty());
    view.prefill_ms_per_s_ = 14 * ms_per_engine;
    // 7.67 after 1 s, 10.4 with the reserve; the spike itself needs 14.
    decide_until(orders, view, start + 30s, start + 31s);
    CHECK(orders.last().mean_engines_ == doctest::Approx(averaged(7, 14, 1)));
    CHECK(orders.last().expected_ == 10);
    CHECK(orders.last().needed_ == 11);
    view.prefill_ms_per_s_ = 7 * ms_per_engine;
    CHECK(decide_until(orders, view, start + 31s, start + 43s).empty());
    CHECK(orders.last().expected_ == 11);
}

// Guards against a peak that is averaged over another time than the boot time,
// or a mean that depends on the boot time.
TEST_CASE("the peak is averaged over the boot time and the mean over 10 s")
{
    engine_orders orders({});
    capacity_view view = two_domains();
    double smoothed_over_s = 0;
    SUBCASE("30 s")
    {
        view.boot_time_ = 30s;
        smoothed_over_s = 30;
    }
    SUBCASE("3 s")
    {
        view.boot_time_ = 3s;
        smoothed_over_s = 3;
    }
    SUBCASE("no boot time, smoothed over 1 s")
    {
        view.boot_time_ = 0s;
        smoothed_over_s = 1;
    }
    orders.decide(view, start);
    view.prefill_ms_per_s_ = 14 * ms_per_engine;
    decide_until(orders, view, start + 500ms, start + 5500ms);
    CHECK(orders.last().prefill_engines_ == doctest::Approx(14));
    CHECK(orders.last().peak_engines_ ==
          doctest::Approx(averaged(7, 14, 5, smoothed_over_s)));
    CHECK(orders.last().mean_engines_ == doctest::Approx(averaged(7, 14, 5)));
}

// Guards against a peak that gets the reserve as well, and against either of
// the two that is left out.
TEST_CASE("the larger of the peak and the mean with the reserve counts")
{
    engine_orders orders({});
    capacity_view view = two_domains();
    view.boot_time_ = 1s;
    orders.decide(view, start);
    CHECK(orders.last().peak_engines_ == doctest::Approx(7));
    CHECK(orders.last().needed_ == 10); // 1.35 x 7
    view.prefill_ms_per_s_ = 20 * ms_per_engine;
    decide_until(orders, view, start + 500ms, start + 4500ms);
    const double peak = averaged(7, 20, 4, 1);
    const double mean = averaged(7, 20, 4);
    CHECK(peak > 1.35 * mean);
    CHECK(orders.last().peak_engines_ == doctest::Approx(peak));
    CHECK(orders.last().needed_ == 20); // 19.8
    // The peak counts for 30 s, and the mean falls back to 7.
    view.prefill_ms_per_s_ = 7 * ms_per_engine;
    decide_until(orders, view, start + 4500ms, start + 34s);
    CHECK(orders.last().needed_ == 20);
    decide_until(orders, view, start + 34s, start + 40s);
    CHECK(orders.last().needed_ == 10);
}

// Guards against ordering engines away at the start of a service, before its
// first demand has risen.
TEST_CASE("nothing is ordered away in the first 20 s of demand")
{
    engine_orders orders({});
    capacity_view view = two_domains();
    view.prefill_ms_per_s_ = 0;
    CHECK(decide_until(orders, view, start, start + 30s).empty());
    CHECK(orders.last().reason_ == decision_reason::hold_no_demand);
    view.prefill_ms_per_s_ = ms_per_engine;
    time_point since = start + 30s;
    SUBCASE("demand without a gap") {}
    SUBCASE("a gap begins the time again")
    {
        CHECK(decide_until(orders, view, since, since + 19500ms).empty());
        view.prefill_ms_per_s_ = 0;
        CHECK(orders.decide(view, since + 19500ms).empty());
        view.prefill_ms_per_s_ = ms_per_engine;
        since += 20s;
    }
    CHECK(decide_until(orders, view, since, since + first_demand).empty());
    CHECK(orders.last().reason_ == decision_reason::hold_no_demand);
    CHECK(orders.decide(view, since + first_demand) ==
          std::vector<engine_order>{{b, 4, false}});
    CHECK(orders.last().reason_ == decision_reason::down);
}
