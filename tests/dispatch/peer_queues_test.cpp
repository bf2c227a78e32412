#include "dispatch/admission_controller.hpp"
#include "dispatch/peer_queues.hpp"
#include "tests/dispatch/engine_fixture.hpp"

using namespace peridotspar;
using namespace peridotspar::dispatch;
using namespace std::chrono_literals;

TEST_CASE("a line sums up what waits, by kind")
{
    wait_queue queue;
    queue.add(engine_fixture::long_request(1), 1, 280ms);
    queue.add(engine_fixture::long_request(2), 2, 20ms);
    queue.add(engine_fixture::short_request(3), 3, 25ms);
    const auto summaries = queue.summaries();
    REQUIRE(summaries.size() == 2);
    CHECK(summaries[0].answer_target_ == 500ms);
    CHECK(summaries[0].prefill_time_ == 25ms);
    CHECK(summaries[1].priority_ == 2);
    CHECK(summaries[1].prefill_time_ == 300ms);
}

TEST_CASE("of other nodes' lines counts what goes before, while it is new")
{
    peer_queues queues;
    const auto question = engine_fixture::short_request(1);
    const auto document = engine_fixture::long_request(2);
    queues.update(node_id("p"),
                  {{engines, 0, 500ms, 40ms}, {engines, 2, 2500ms, 3s}}, start);
    queues.update(node_id("q"), {{engines, 2, 2500ms, 1s}}, start);
    CHECK(queues.prefill_ahead_of(question, start) == 40ms);
    CHECK(queues.prefill_ahead_of(document, start) == 4040ms);
    CHECK(queues.prefill_ahead_of(document, start + 5s) == 0ms);
    queues.update(node_id("p"), {}, start);
    CHECK(queues.prefill_ahead_of(document, start) == 1s);
}

TEST_CASE("what waits at all nodes decides who may wait at one")
{
    engine_fixture r;
    admission_controller admission(1);
    const wait_queue queue;
    auto document = engine_fixture::long_request(2);
    document.give_up_at_ = start + 4s;
    CHECK_FALSE(
        admission.find_refusal(document, r.placement_, queue, 10s, start));
    // Ten engines have five seconds' work before they come to it.
    CHECK(admission.find_refusal(document, r.placement_, queue, 50s, start));
}
