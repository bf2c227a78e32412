#include "tests/lease/fleet_model.hpp"

#include <cstdint>
#include <optional>
#include <string>

#include <doctest/doctest.h>

using namespace peridotspar;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t node_count = 5;
constexpr duration disturbed_time = 100s;
/// The longest suspension, a late write, then expiry and takeover.
constexpr duration recovery_time = 25s;

lease_options options()
{
    lease_options result;
    result.lifetime_ = 3s;
    result.margin_ = 200ms;
    result.poll_interval_ = 1s;
    result.renew_interval_ = 1s;
    return result;
}

/// Everything happens, several times per lifetime.
event_rates frequent_events()
{
    event_rates result;
    result.kill_ = 0.1;
    result.stop_ = 0.1;
    result.suspend_ = 0.2;
    result.cut_ = 0.1;
    result.change_candidates_ = 0.1;
    result.reset_store_ = 0.05;
    result.remove_record_ = 0.03;
    result.set_payload_ = 1;
    result.lost_answer_ = 0.1;
    result.late_write_ = 0.05;
    result.slow_ = 0.1;
    result.failed_ = 0.05;
    result.suspend_before_answer_ = 0.03;
    return result;
}

/// Mostly planned changes of the holder, which are the quickest.
event_rates frequent_releases()
{
    event_rates result;
    result.kill_ = 0.05;
    result.stop_ = 0.7;
    result.suspend_ = 0.05;
    result.change_candidates_ = 0.7;
    result.reset_store_ = 0.05;
    result.set_payload_ = 2;
    result.lost_answer_ = 0.05;
    result.late_write_ = 0.02;
    return result;
}

/// Mostly calls whose result is unknown.
event_rates unreliable_store()
{
    event_rates result;
    result.kill_ = 0.03;
    result.stop_ = 0.03;
    result.cut_ = 0.3;
    result.reset_store_ = 0.03;
    result.set_payload_ = 2;
    result.lost_answer_ = 0.3;
    result.late_write_ = 0.3;
    result.slow_ = 0.2;
    result.failed_ = 0.1;
    result.suspend_before_answer_ = 0.1;
    return result;
}

event_rates rates_of(std::uint64_t p_seed)
{
    switch (p_seed % 3)
    {
    case 0:
        return frequent_events();
    case 1:
        return frequent_releases();
    default:
        return unreliable_store();
    }
}

fleet_model run_disturbed(std::uint64_t p_seed, planted_fault p_fault)
{
    fleet_model fleet(p_seed, node_count, options(), p_fault);
    fleet.set_rates(rates_of(p_seed));
    fleet.run(disturbed_time);
    return fleet;
}

/// The first violation in a few runs.
std::optional<std::string> find_violation(planted_fault p_fault)
{
    for (std::uint64_t seed = 1; seed <= 30; ++seed)
    {
        const fleet_model fleet = run_disturbed(seed, p_fault);
        if (fleet.history().violation())
        {
            return fleet.history().violation();
        }
    }
    return std::nullopt;
}

} // namespace

// Guards against two holders, lower tokens and quick returns of a holder in
// any order of faults, and against a lease that no node acquires afterwards.
TEST_CASE("permitted actions keep the fencing rules under random faults")
{
    std::size_t tokens = 0;
    for (std::uint64_t seed = 1; seed <= 300; ++seed)
    {
        fleet_model fleet = run_disturbed(seed, planted_fault::none);
        fleet.restore();
        fleet.run(recovery_time);
        CAPTURE(seed);
        CHECK(fleet.history().violation().value_or("") == "");
        REQUIRE(fleet.history().last());
        CHECK(fleet.now() - fleet.history().last()->at_ < 100ms);
        tokens += fleet.history().changes_of_token();
    }
    // Otherwise the runs have exercised too few changes of the holder.
    CHECK(tokens > 300 * 5);
}

// Guards against a check over the history that finds nothing.
TEST_CASE("the model finds a lease that is counted from the answer")
{
    const auto violation = find_violation(planted_fault::validity_from_answer);
    REQUIRE(violation);
    CHECK(violation->starts_with("lower token"));
}

TEST_CASE("the model finds a clock that stops while the node is suspended")
{
    const auto violation =
        find_violation(planted_fault::clock_stops_while_suspended);
    REQUIRE(violation);
    CHECK(violation->starts_with("lower token"));
}
