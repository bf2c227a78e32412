#include "dispatch/admission_controller.hpp"
#include "dispatch/peer_queues.hpp"
#include "tests/dispatch/engine_fixture.hpp"

using namespace peridotspar;
using namespace peridotspar::dispatch;
using namespace std::chrono_literals;

TEST_CASE("a line sums up what waits, by kind")
{
    waiting_line line;
    line.add(engine_rig::long_work(1), 1, 280ms);
    line.add(engine_rig::long_work(2), 2, 20ms);
    line.add(engine_rig::short_work(3), 3, 25ms);
    const auto sums = line.sums();
    REQUIRE(sums.size() == 2);
    CHECK(sums[0].target_ == 500ms);
    CHECK(sums[0].reading_ == 25ms);
    CHECK(sums[1].priority_ == 2);
    CHECK(sums[1].reading_ == 300ms);
}

TEST_CASE("of other nodes' lines counts what goes before, while it is new")
{
    peer_lines lines;
    const auto question = engine_rig::short_work(1);
    const auto document = engine_rig::long_work(2);
    lines.note(node_id("p"),
               {{engines, 0, 500ms, 40ms}, {engines, 2, 2500ms, 3s}}, start);
    lines.note(node_id("q"), {{engines, 2, 2500ms, 1s}}, start);
    CHECK(lines.ahead_of(question, start) == 40ms);
    CHECK(lines.ahead_of(document, start) == 4040ms);
    CHECK(lines.ahead_of(document, start + 5s) == 0ms);
    lines.note(node_id("p"), {}, start);
    CHECK(lines.ahead_of(document, start) == 1s);
}

TEST_CASE("what waits at all nodes decides who may wait at one")
{
    engine_rig r;
    admission admission(1);
    const waiting_line line;
    auto document = engine_rig::long_work(2);
    document.give_up_at_ = start + 4s;
    CHECK_FALSE(
        admission.find_refusal(document, r.placement_, line, 10s, start));
    // Ten engines have five seconds' work before they come to it.
    CHECK(admission.find_refusal(document, r.placement_, line, 50s, start));
}
