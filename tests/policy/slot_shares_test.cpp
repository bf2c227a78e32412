#include "policy/slot_shares.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace peridotspar;
using namespace peridotspar::policy;

TEST_CASE("all nodes agree that each slot belongs to exactly one node")
{
    CHECK(rc::check(
        [](const std::vector<std::uint8_t>& p_weights,
           const std::uint8_t p_slots)
        {
            RC_PRE(!p_weights.empty() && p_slots > 0);
            std::vector<slot_shares::demand> demands;
            for (std::size_t i = 0; i < p_weights.size(); ++i)
            {
                demands.emplace_back(node_id("n" + std::to_string(i)),
                                     1.0 + p_weights[i]);
            }
            const unsigned long_slots = p_slots / 2U;
            unsigned all = 0;
            unsigned for_long = 0;
            for (const auto& [node, weight] : demands)
            {
                slot_shares shares;
                const auto own =
                    shares.divide("e", p_slots, long_slots, node, demands);
                all += own.slots_;
                for_long += own.long_slots_;
            }
            RC_ASSERT(all == p_slots);
            RC_ASSERT(for_long == long_slots);
        }));
}

TEST_CASE("slots are divided in proportion to demand")
{
    slot_shares shares;
    const node_id busy("busy");
    const node_id idle("idle");
    unsigned taken = 0;
    for (int i = 0; i < 100; ++i)
    {
        taken += shares
                     .divide("e" + std::to_string(i), 8, 8, busy,
                             {{busy, 30}, {idle, 10}})
                     .slots_;
    }
    CHECK(taken > 540);
    CHECK(taken < 660);
}
