#include "capacity/engine_orders.hpp"
#include "tests/capacity/fleet_simulation.hpp"
#include "tests/capacity/scenario_csv.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <iterator>
#include <numbers>
#include <random>
#include <string>

using namespace peridotspar;
using namespace peridotspar::capacity;
using namespace std::chrono_literals;

namespace
{

/// The usual demand needs 20 engines at a prefill utilization of 0.75, 27 with
/// the reserve.
constexpr simulated_demand usual{15000, 100, 5};
constexpr double usual_need = 20;
constexpr double reserve = 1.35;
/// Time constant of the mean, and the boot time, over which the peak is
/// averaged.
constexpr double smoothing_s = 10;
/// Time between two decisions.
constexpr double step_s = 0.5;

/// Engines to have at the decision that is `p_after_s` later than the first one
/// with a demand of `p_factor` instead of the usual one.
unsigned needed_after_rise(double p_factor, double p_after_s)
{
    const double left = std::exp(-(p_after_s + step_s) / smoothing_s);
    const double mean = usual_need * (p_factor + (1 - p_factor) * left);
    return static_cast<unsigned>(std::ceil(mean * reserve));
}

simulated_demand times(double p_factor)
{
    return {usual.prefill_ms_per_s_ * p_factor, usual.streams_ * p_factor,
            usual.cached_engines_};
}

simulated_demand steady(double)
{
    return usual;
}

/// 27 engines in three domains.
capacity_view three_domains()
{
    capacity_view view;
    view.min_per_domain_ = 2;
    view.max_per_domain_ = 40;
    view.boot_time_ = 10s;
    view.slots_per_engine_ = 16;
    view.domains_ = {{failure_domain_id("z1"), 1.0, 9, 0},
                     {failure_domain_id("z2"), 1.1, 9, 0},
                     {failure_domain_id("z3"), 1.3, 9, 0}};
    view.age_ = 500ms;
    view.reporting_nodes_ = 85;
    view.live_nodes_ = 85;
    return view;
}

/// 27 engines, 6 of them spot engines in two domains.
capacity_view with_spot()
{
    capacity_view view = three_domains();
    view.spot_price_ = 0.4;
    view.domains_[0].standard_ = 7;
    view.domains_[0].spot_ = 3;
    view.domains_[1].standard_ = 7;
    view.domains_[1].spot_ = 3;
    view.domains_[2].standard_ = 7;
    return view;
}

/// The limits on shares hold for the last state.
void check_shares(const fleet_simulation& p_simulation)
{
    const unsigned all = p_simulation.running();
    for (const char* const domain : {"z1", "z2", "z3"})
    {
        CHECK((p_simulation.running(domain, false) +
               p_simulation.running(domain, true)) <= (all + 1) / 2);
    }
}

bool has_spot_increase(const fleet_simulation& p_simulation, double p_from_s,
                       double p_to_s, const std::string& p_domain)
{
    const auto& orders = p_simulation.orders();
    return std::any_of(orders.begin(), orders.end(),
                       [&](const sent_order& p_order)
                       {
                           return p_order.order_.spot_ && !p_order.down_ &&
                                  p_order.time_s_ >= p_from_s &&
                                  p_order.time_s_ < p_to_s &&
                                  p_order.order_.domain_.value() == p_domain;
                       });
}

} // namespace

// Guards against flapping: noise of 2 % in the reports that orders and removes
// the same engines in turns.
TEST_CASE("a steady load changes the fleet at most once a minute")
{
    fleet_simulation simulation(three_domains());
    std::mt19937 random(1);
    simulation.demand_ = [&random](double)
    { return times(std::uniform_real_distribution<>(0.98, 1.02)(random)); };
    simulation.run(300);
    CHECK(simulation.count_orders(0, 300) <= 5);
    CHECK(simulation.count_orders(60, 300) <= 2);
    CHECK(simulation.shortage() == 0);
    CHECK(simulation.paid_ratio() < 1.06);
    write_scenario_csv("steady", simulation);
}

// Guards against removing an engine that the next peak of 1 % orders again,
// when peaks are further apart than the window of the peak.
TEST_CASE("rare peaks of 1 % don't order and remove engines in turns")
{
    fleet_simulation simulation(three_domains());
    simulation.demand_ = [](double p_time_s)
    { return times(std::fmod(p_time_s, 40) < 1 ? 1.01 : 1); };
    simulation.run(300);
    CHECK(simulation.count_orders(0, 300) == 1);
    CHECK(simulation.shortage() == 0);
    CHECK(simulation.paid_ratio() < 28.1 / 27);
    write_scenario_csv("rare_peaks", simulation);
}

// Guards against following each wave of the load, which would pay for boots
// that end after the peak has passed.
TEST_CASE("a swing of 27 % in 11 s leaves the number at the peak's need")
{
    fleet_simulation simulation(three_domains());
    simulation.demand_ = [](double p_time_s) {
        return times(1 + 0.27 * std::sin(2 * std::numbers::pi * p_time_s / 11));
    };
    simulation.run(240);
    CHECK(simulation.count_orders(11, 240) <= 2);
    CHECK(simulation.count_orders(0, 240, true) == 0);
    CHECK(simulation.shortage() == 0);
    // Averaging over 10 s leaves 0.172 of a swing with this period,
    // 1 / sqrt(1 + (2 pi 10 / 11)^2), so that the mean rises to 20.9 engines,
    // 28.3 with the reserve.
    CHECK(simulation.running() == 29);
    CHECK(simulation.paid_ratio() < 29 / 27.0);
    write_scenario_csv("swing", simulation);
}

// Guards against a reserve that doesn't last until ordered engines have
// booted, and against keeping the engines of a burst for long.
TEST_CASE("a burst of 2.7 in one class for 9 s causes no shortage")
{
    fleet_simulation simulation(three_domains());
    simulation.demand_ = [](double p_time_s)
    {
        const bool burst = p_time_s >= 30 && p_time_s < 39;
        return times(burst ? 0.8 + 0.2 * 2.7 : 1);
    };
    simulation.run(39);
    CHECK(simulation.count_orders(30, 31) > 0);
    CHECK(simulation.last().needed_ == needed_after_rise(0.8 + 0.2 * 2.7, 8.5));
    CHECK(simulation.last().needed_ == 33); // 32.4
    simulation.run(111);
    CHECK(simulation.shortage() == 0);
    CHECK(simulation.paid_ratio() < 1.15);
    CHECK(simulation.running() <= 28);
    check_shares(simulation);
    write_scenario_csv("burst", simulation);
}

// Guards against waiting for a peak to be confirmed while engines are missing,
// and against ordering lost engines twice while they boot.
TEST_CASE("a third of the engines lost is replaced in one boot time")
{
    fleet_simulation simulation(three_domains());
    simulation.demand_ = steady;
    simulation.run(30);
    std::string name;
    SUBCASE("a whole domain")
    {
        name = "domain_lost";
        simulation.lose("z1", false, 9);
    }
    SUBCASE("a part of each domain")
    {
        name = "third_of_each_domain_lost";
        for (const char* const domain : {"z1", "z2", "z3"})
        {
            simulation.lose(domain, false, 3);
        }
    }
    simulation.run(11);
    CHECK(simulation.running() == 27);
    simulation.run(79);
    CHECK(simulation.running() == 27);
    // Two engines are missing until the new ones have booted.
    CHECK(simulation.shortage() <= 2 * 10.5);
    CHECK(simulation.paid_ratio() <= 1);
    check_shares(simulation);
    write_scenario_csv(name, simulation);
}

// Guards against a loss during an earlier order's boot time that waits until
// that order has settled, because the number there would be a repeat.
TEST_CASE("engines lost while others boot are replaced at once")
{
    fleet_simulation simulation(three_domains());
    simulation.demand_ = [](double p_time_s)
    { return times(p_time_s < 30 ? 1 : 1.2); };
    simulation.run(32);
    const std::size_t before = simulation.orders().size();
    CHECK(before > 0);
    simulation.lose("z1", false, 9);
    simulation.run(1);
    CHECK(simulation.orders().size() > before);
    simulation.run(10);
    CHECK(simulation.running() >= needed_after_rise(1.2, 2.5));
    simulation.run(77);
    CHECK(simulation.running() >= 33); // 1.35 x 24 = 32.4
    CHECK(simulation.running() <= 35);
    // 24 needed and 18 run. 1 engine was ordered at 30 s, as the average takes
    // up the rise, and the others at the loss.
    CHECK(needed_after_rise(1.2, 0) == 28);
    CHECK(simulation.shortage() <= 6 * 8 + 5 * 2.5);
    CHECK(simulation.paid_ratio() < 1.2);
    write_scenario_csv("loss_while_booting", simulation);
}

// Guards against orders that are accepted again and again by a domain where no
// engine starts.
TEST_CASE("engines that never start are ordered elsewhere")
{
    fleet_simulation simulation(three_domains());
    simulation.demand_ = [](double p_time_s)
    { return times(p_time_s < 30 ? 1 : 1.3); };
    simulation.never_starts_ = "z1";
    simulation.run(30);
    // What is needed serves a boot time, 3 s and another boot time later.
    for (double after_s = 0; after_s < 50; after_s += step_s)
    {
        simulation.run(step_s);
        const double ordered_s = after_s - (10 + 3 + 10.5);
        CAPTURE(after_s);
        CHECK((ordered_s < 0 ||
               simulation.running() >= needed_after_rise(1.3, ordered_s)));
        CHECK(simulation.running() <= 36);
    }
    simulation.run(20);
    CHECK(simulation.running() == 36); // 1.35 x 26 = 35.1
    // 26 needed, 27 run all the time.
    CHECK(simulation.shortage() == 0);
    CHECK(simulation.paid_ratio() < 36 / 27.0);
    check_shares(simulation);
    write_scenario_csv("never_starts", simulation);
}

// Guards against replacing reclaimed spot engines by spot engines, which may
// be reclaimed as well, or not at all.
TEST_CASE("reclaimed spot engines are replaced by standard ones elsewhere")
{
    fleet_simulation simulation(with_spot());
    simulation.demand_ = steady;
    simulation.run(30);
    simulation.lose("z1", true, 3);
    simulation.run(0.5);
    CHECK(simulation.last().reason_ == decision_reason::replace_reclaimed);
    CHECK(simulation.count_orders(30, 30.5) > 0);
    for (const sent_order& sent : simulation.orders())
    {
        CHECK_FALSE(sent.order_.spot_);
        CHECK(sent.order_.domain_.value() != "z1");
    }
    simulation.run(10.5);
    CHECK(simulation.running() == 27);
    simulation.run(49);
    CHECK_FALSE(has_spot_increase(simulation, 30, 45, "z1"));
    CHECK(simulation.running() == 27);
    CHECK(simulation.shortage() == 0);
    CHECK(simulation.paid_ratio() <= 1);
    check_shares(simulation);
    write_scenario_csv("reclaimed", simulation);
}

// Guards against asking each domain in turn for spot engines that aren't
// available anywhere while callers wait.
TEST_CASE("with no spot engines anywhere standard ones are ordered at once")
{
    fleet_simulation simulation(with_spot());
    simulation.demand_ = [](double p_time_s)
    { return times(p_time_s < 40 ? 1 : 1.3); };
    simulation.is_dry_ = [](const engine_order& p_order)
    { return p_order.spot_; };
    simulation.run(30);
    // Two domains are reclaimed one after the other.
    simulation.lose("z1", true, 3);
    simulation.run(0.5);
    simulation.lose("z2", true, 3);
    simulation.run(0.5);
    CHECK(simulation.last().expected_ == 24);
    CHECK(simulation.last().orders_.size() > 0);
    simulation.run(10);
    CHECK(simulation.running() == 27);
    // 26 engines are needed from 40 s on, 35.1 with the reserve. What was
    // needed 0.5 s and a boot time ago serves.
    simulation.run(10);
    CHECK(simulation.running() >= needed_after_rise(1.3, 0));
    // The last replacements serve 0.5 s after the demand has risen.
    CHECK(simulation.shortage() <= 1);
    for (double time_s = 51; time_s < 120; time_s += step_s)
    {
        simulation.run(step_s);
        CAPTURE(time_s);
        CHECK(simulation.running() >=
              needed_after_rise(1.3, time_s - 40 - 10.5));
    }
    CHECK(simulation.running() == 36);
    CHECK(simulation.running("z1", true) == 0);
    // Each spot order is refused and its engine ordered otherwise 0.5 s later.
    const auto& orders = simulation.orders();
    std::size_t refused = 0;
    for (auto order = orders.begin(); order != orders.end(); ++order)
    {
        if (order->result_ == order_result::done)
        {
            continue;
        }
        ++refused;
        REQUIRE(std::next(order) != orders.end());
        CAPTURE(order->time_s_);
        CHECK(std::next(order)->time_s_ == order->time_s_ + 0.5);
        CHECK_FALSE(std::next(order)->order_.spot_);
    }
    // The need rises by 9 engines, the last of them at 83.5 s.
    CHECK(needed_after_rise(1.3, 43) == 35);
    CHECK(needed_after_rise(1.3, 43.5) == 36);
    CHECK(refused > 0);
    CHECK(refused <= 9);
    CHECK(simulation.count_orders(40, 120) <= 2 * 9);
    CHECK(simulation.count_orders(84.5, 120) == 0);
    CHECK(simulation.paid_ratio() < 36 / 27.0);
    check_shares(simulation);
    write_scenario_csv("reclaimed_dry", simulation);
}

// Guards against a refused order being repeated in a tight loop.
TEST_CASE("after a 409 the same order is not repeated for 3 s")
{
    fleet_simulation simulation(with_spot());
    simulation.demand_ = [](double p_time_s)
    { return times(p_time_s < 10 ? 1 : 2); };
    simulation.is_dry_ = [](const engine_order&) { return true; };
    simulation.run(60);
    CHECK(simulation.last().reason_ == decision_reason::hold_limited);
    const auto& orders = simulation.orders();
    CHECK(orders.size() > 2);
    for (std::size_t i = 0; i < orders.size(); ++i)
    {
        for (std::size_t j = i + 1; j < orders.size(); ++j)
        {
            if (orders[i].order_ == orders[j].order_)
            {
                CHECK(orders[j].time_s_ - orders[i].time_s_ >= 3);
            }
        }
    }
    CHECK(simulation.paid_ratio() == doctest::Approx(1));
    // Nothing can be ordered: 40 needed against 27 for 50 s.
    CHECK(simulation.shortage() == doctest::Approx(13 * 50));
    write_scenario_csv("all_dry", simulation);
}

// Guards against a new holder that orders the engines again which boot
// already, or that removes engines before it knows the demand.
TEST_CASE("a takeover orders nothing twice and removes nothing")
{
    fleet_simulation simulation(three_domains());
    simulation.demand_ = [](double p_time_s)
    { return times(p_time_s < 30 ? 1 : 1.3); };
    simulation.run(33);
    simulation.replace_holder();
    // The first reports show a part of the demand, which needs more engines
    // than run and fewer than were ordered.
    simulation.change_view_ = [](capacity_view& r_view, double p_time_s)
    {
        const double part = p_time_s < 34.5 ? 1.1 / 1.3 : 1;
        r_view.reporting_nodes_ = part < 1 ? 70 : 85;
        r_view.prefill_ms_per_s_ *= part;
        r_view.streams_ *= part;
    };
    simulation.run(10);
    CHECK(simulation.count_orders(33, 43, true) == 0);
    // What the earlier holder ordered until 32.5 s.
    CHECK(simulation.running() == needed_after_rise(1.3, 2.5));
    simulation.run(57);
    CHECK(simulation.running() == 36); // 1.35 x 26 = 35.1
    const auto& rows = simulation.rows();
    CHECK(std::all_of(rows.begin(), rows.end(),
                      [](const auto& p_row) { return p_row.running_ <= 36; }));
    CHECK(simulation.shortage() == 0);
    CHECK(simulation.paid_ratio() < 36 / 27.0);
    write_scenario_csv("takeover", simulation);
}

// Guards against reading the demand of missing nodes as zero.
TEST_CASE("nothing is removed while nodes are missing from the view")
{
    fleet_simulation simulation(three_domains());
    simulation.demand_ = steady;
    simulation.change_view_ = [](capacity_view& r_view, double p_time_s)
    {
        if (p_time_s >= 30 && p_time_s < 90)
        {
            r_view.reporting_nodes_ = 40;
            r_view.prefill_ms_per_s_ *= 0.5;
            r_view.streams_ *= 0.5;
        }
    };
    simulation.run(89.5);
    // The need of the missing nodes is kept, so that there is no surplus.
    CHECK(simulation.last().reason_ == decision_reason::hold_enough);
    CHECK(simulation.last().needed_ == 27);
    CHECK(simulation.running() == 27);
    simulation.run(60.5);
    CHECK(simulation.orders().empty());
    CHECK(simulation.shortage() == 0);
    CHECK(simulation.paid_ratio() == doctest::Approx(1));
    write_scenario_csv("nodes_missing", simulation);
}

// Guards against removing engines because no node was there to serve requests.
TEST_CASE("after all nodes were gone the fleet waits for their demand")
{
    fleet_simulation simulation(three_domains());
    simulation.demand_ = steady;
    simulation.run(30);
    simulation.remove_holder();
    simulation.run(40);
    simulation.replace_holder();
    simulation.change_view_ = [](capacity_view& r_view, double p_time_s)
    {
        const double part = p_time_s < 81 ? 0 : p_time_s < 83 ? 0.3 : 1;
        r_view.live_nodes_ = part < 1 ? 3 : 85;
        r_view.reporting_nodes_ = r_view.live_nodes_;
        r_view.prefill_ms_per_s_ *= part;
        r_view.streams_ *= part;
        r_view.cached_engines_ *= part;
    };
    simulation.run(10);
    CHECK(simulation.last().reason_ == decision_reason::hold_recent_takeover);
    simulation.run(1);
    CHECK(simulation.last().reason_ == decision_reason::hold_no_demand);
    CHECK(simulation.orders().empty());
    simulation.run(69);
    // Demand is visible from 81 s on.
    CHECK(simulation.count_orders(81, 101, true) == 0);
    // At most one step down: at 101 s the mean, which began with a part of the
    // demand, is 17.7 engines, 23.9 with the reserve.
    CHECK(simulation.count_orders(101, 150, true) <= 2);
    CHECK(simulation.running() == 27);
    CHECK(simulation.shortage() == 0);
    CHECK(simulation.paid_ratio() <= 1);
    write_scenario_csv("all_nodes_gone", simulation);
}

// Guards against a fleet that stays large after the demand has fallen, and
// against falling faster than the limits.
TEST_CASE("a fall of the demand removes a tenth every 4 s")
{
    fleet_simulation simulation(three_domains());
    simulation.demand_ = [](double p_time_s)
    { return times(p_time_s < 30 ? 1 : 0.5); };
    simulation.run(30);
    CHECK(simulation.orders().empty());
    // The mean with its reserve counts for 20 s. It allows a first reduction,
    // by one, at about 50.5 s; two follow in each 4 s, to 22 at 58.5 s.
    simulation.run(30);
    CHECK(simulation.running() == 22);
    // The peak of 20 counts for 30 s, 20.6 with the surplus that is kept.
    simulation.run(90);
    CHECK(simulation.running() <= 15);
    CHECK(simulation.running() >= 14);
    const auto& rows = simulation.rows();
    for (std::size_t i = 8; i < rows.size(); ++i)
    {
        CHECK(rows[i - 8].running_ - rows[i].running_ <= 2);
    }
    for (const char* const domain : {"z1", "z2", "z3"})
    {
        const auto& orders = simulation.orders();
        CHECK(std::count_if(orders.begin(), orders.end(),
                            [&](const sent_order& p_order)
                            {
                                return p_order.down_ && p_order.time_s_ < 120 &&
                                       p_order.order_.domain_.value() == domain;
                            }) <= 6);
    }
    CHECK(simulation.shortage() == 0);
    CHECK(simulation.paid_ratio() < 0.8);
    check_shares(simulation);
    write_scenario_csv("fall", simulation);
}

// Guards against paying for the boots of engines that serve after a spike.
TEST_CASE("a spike of 1 s orders few engines and removes none of the others")
{
    fleet_simulation simulation(three_domains());
    simulation.demand_ = [](double p_time_s)
    { return times(p_time_s >= 30 && p_time_s < 31 ? 2.7 : 1); };
    simulation.run(31);
    // The averages rise to 23.2 of 54 engines, 31.4 with the reserve.
    CHECK(simulation.last().needed_ == needed_after_rise(2.7, 0.5));
    CHECK(simulation.last().needed_ == 32);
    simulation.run(89);
    const auto& rows = simulation.rows();
    CHECK(std::all_of(rows.begin(), rows.end(),
                      [](const auto& p_row) {
                          return p_row.running_ >= 27 && p_row.running_ <= 32;
                      }));
    CHECK(simulation.running() <= 28);
    // 54 needed and 27 run, whatever is ordered.
    CHECK(simulation.shortage() == doctest::Approx(27));
    CHECK(simulation.paid_ratio() < 1.1);
    write_scenario_csv("spike", simulation);
}

// Guards against ordering away engines that were started for a demand that is
// about to come.
TEST_CASE("a service that starts keeps its engines for the first 20 s")
{
    fleet_simulation simulation(three_domains());
    simulation.demand_ = [](double p_time_s)
    { return times(p_time_s < 10 ? 0 : std::min(1.0, (p_time_s - 9.5) / 15)); };
    simulation.run(150);
    CHECK(simulation.count_orders(0, 30) == 0);
    CHECK(simulation.running() >= 27);
    CHECK(simulation.running() <= 28);
    CHECK(simulation.shortage() == 0);
    write_scenario_csv("first_demand", simulation);
}
