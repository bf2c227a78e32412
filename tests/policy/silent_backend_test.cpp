#include "tests/policy/decider_fixture.hpp"

#include <algorithm>
#include <optional>

#include <doctest/doctest.h>

using namespace peridotspar;
using namespace peridotspar::policy;
using namespace std::chrono_literals;

namespace
{

constexpr duration step = 20ms;

/// A decider that knows the usual speed of its backend servers: 100 ms to the
/// first token and 20 ms per token.
class silence_fixture : public decider_fixture
{
public:
    explicit silence_fixture(std::uint32_t p_engines, std::uint32_t p_slots = 1)
        : decider_fixture(p_engines, p_slots)
    {
        constexpr int rounds = 3;
        for (int i = 0; i < rounds; ++i)
        {
            std::vector<dispatch> streams;
            for (std::uint32_t j = 0; j < p_engines * p_slots; ++j)
            {
                streams.push_back(start_stream());
            }
            advance(100ms);
            play(100ms, streams);
            for (const dispatch& stream : streams)
            {
                end_attempt(stream, attempt_result::completed);
            }
        }
        tick_actions_.clear();
    }

    dispatch start_stream(std::uint32_t p_class = 0)
    {
        submit(p_class);
        REQUIRE(find_action<dispatch>());
        return *find_action<dispatch>();
    }

    /// For a time, each of the streams gets a token in each step.
    void play(duration p_time, const std::vector<dispatch>& p_speaking)
    {
        for (duration spent{0}; spent < p_time; spent += step)
        {
            advance(step);
            for (const dispatch& stream : p_speaking)
            {
                handle(output_received{stream.attempt_, 1});
            }
        }
    }

    template <class Kind>
    [[nodiscard]] std::size_t count_ticks() const
    {
        return static_cast<std::size_t>(
            std::count_if(tick_actions_.begin(), tick_actions_.end(),
                          [](const action& p_action)
                          { return std::holds_alternative<Kind>(p_action); }));
    }
};

} // namespace

TEST_CASE("of two stalled streams only one is moved to the one free slot")
{
    silence_fixture node(2, 2);
    std::vector<dispatch> streams{node.start_stream(), node.start_stream(),
                                  node.start_stream()};
    node.play(100ms, streams);
    const auto alone =
        std::find_if(streams.begin(), streams.end(),
                     [&](const dispatch& p_stream)
                     {
                         return std::count_if(streams.begin(), streams.end(),
                                              [&](const dispatch& p_other) {
                                                  return p_other.backend_ ==
                                                         p_stream.backend_;
                                              }) == 1;
                     });
    REQUIRE(alone != streams.end());
    node.play(1400ms, {*alone});
    CHECK(node.count_ticks<cancel_attempt>() == 1);
    REQUIRE(node.count_ticks<dispatch>() == 1);
    CHECK(node.find_tick_action<dispatch>()->backend_ == alone->backend_);
}

TEST_CASE("a stream that outlasts a silence can return to its server later")
{
    silence_fixture node(1);
    const dispatch low = node.start_stream(1);
    node.play(100ms, {low});
    node.play(1400ms, {});
    node.play(100ms, {low});
    const dispatch high = node.start_stream(0);
    REQUIRE(high.request_ != low.request_);
    node.end_attempt(high, attempt_result::completed);
    REQUIRE(node.find_action<dispatch>());
    CHECK(node.find_action<dispatch>()->request_ == low.request_);
}

TEST_CASE("streams stay where they are while all backend servers are silent")
{
    silence_fixture node(5, 2);
    std::vector<dispatch> streams;
    for (int i = 0; i < 8; ++i)
    {
        streams.push_back(node.start_stream());
    }
    node.play(100ms, streams);
    node.play(1400ms, {});
    node.play(500ms, streams);
    CHECK(node.count_ticks<cancel_attempt>() == 0);
}

TEST_CASE("a server without output isn't trusted while the others are silent")
{
    silence_fixture node(3);
    const std::vector<dispatch> streams{node.start_stream(),
                                        node.start_stream()};
    node.play(100ms, streams);
    node.play(1400ms, {});
    CHECK(node.count_ticks<cancel_attempt>() == 0);
    // Hangs, as no pause is that long.
    node.play(2600ms, {});
    CHECK(node.count_ticks<cancel_attempt>() == 1);
    CHECK(node.count_ticks<dispatch>() == 1);
}

TEST_CASE("a server that hangs alone is left for an idle or a working one")
{
    for (const bool other_works : {false, true})
    {
        silence_fixture node(2, 2);
        const dispatch hanging = node.start_stream();
        const dispatch other = node.start_stream();
        REQUIRE(hanging.backend_ != other.backend_);
        node.play(100ms, {hanging, other});
        if (!other_works)
        {
            node.end_attempt(other, attempt_result::completed);
        }
        node.play(1400ms, {other});
        CHECK(node.count_ticks<cancel_attempt>() == 1);
        REQUIRE(node.count_ticks<dispatch>() == 1);
        CHECK(node.find_tick_action<dispatch>()->backend_ == other.backend_);
    }
}

TEST_CASE("a stalled stream gets a slot that becomes free before new requests")
{
    silence_fixture node(2);
    const dispatch hanging = node.start_stream();
    const dispatch other = node.start_stream();
    node.play(100ms, {hanging, other});
    node.play(1200ms, {other});
    REQUIRE(node.count_ticks<cancel_attempt>() == 0);
    node.submit(0);
    REQUIRE_FALSE(node.find_action<dispatch>());
    node.end_attempt(other, attempt_result::completed);
    REQUIRE(node.find_action<dispatch>());
    CHECK(node.find_action<dispatch>()->request_ == hanging.request_);
    CHECK(node.find_action<dispatch>()->backend_ == other.backend_);
}
