#include "daemon/digest_conversion.hpp"

#include <doctest/doctest.h>

using namespace peridotspar;
using namespace std::chrono_literals;

TEST_CASE("a digest is converted to a peer state with all its fields")
{
    entry_wire::digest digest;
    digest.node = "n1";
    digest.started_ms = 2;
    digest.sequence = 3;
    digest.callers = "c";
    digest.peers = "p";
    digest.domain = "d";
    digest.ready = true;
    digest.leaving = true;
    digest.in_contact = true;
    digest.config_version = 4;
    digest.servers_revision = 5;
    const auto state = to_peer_state(digest, time_point{7s});
    CHECK(state.name_ == node_id("n1"));
    CHECK(state.started_ms_ == 2);
    CHECK(state.sequence_ == 3);
    CHECK(state.callers_ == "c");
    CHECK(state.peers_ == "p");
    CHECK(state.domain_ == failure_domain_id("d"));
    CHECK(state.ready_);
    CHECK(state.leaving_);
    CHECK(state.in_contact_);
    CHECK(state.config_version_ == 4);
    CHECK(state.servers_revision_ == 5);
    CHECK(state.heard_ == time_point{7s});
}

TEST_CASE(
    "running counts and sent requests survive conversion to messages and back")
{
    dispatch::server_load count;
    count.add(true, 200ms, 70);
    count.add(false, 0ms, 5);
    count.pending_prefill_ = 90ms;
    const auto decoded_count = from_wire(to_wire(count));
    CHECK(decoded_count.requests_ == 2);
    CHECK(decoded_count.tokens_ == 75);
    CHECK(decoded_count.pending_prefill_ == 90ms);
    CHECK(decoded_count.stream_counts_ == count.stream_counts_);
    const dispatch::sent_report note{
        "i-1", {{~0ULL, 8}, {3, 9}}, 40ms, 300ms, 1234};
    const auto decoded_note = from_wire(to_wire(note));
    CHECK(decoded_note.server_ == "i-1");
    CHECK(decoded_note.prefill_time_ == 40ms);
    CHECK(decoded_note.pause_target_ == 300ms);
    CHECK(decoded_note.tokens_ == 1234);
    REQUIRE(decoded_note.parts_.size() == 2);
    CHECK(decoded_note.parts_[0].id_ == ~0ULL);
    CHECK(decoded_note.parts_[1].tokens_ == 9);
}

TEST_CASE("waiting work survives conversion to messages and back")
{
    const dispatch::queue_summary sum{routing::service_name("s"), 2, 500ms,
                                      90ms};
    const auto decoded = from_wire(to_wire(sum));
    CHECK(decoded.service_ == sum.service_);
    CHECK(decoded.priority_ == 2);
    CHECK(decoded.answer_target_ == 500ms);
    CHECK(decoded.prefill_time_ == 90ms);
}

TEST_CASE("negative counts are converted to zero")
{
    entry_wire::running message;
    message.all_requests = -4;
    message.tokens = -1;
    message.streams[200] = -2;
    const auto count = from_wire(message);
    CHECK(count.requests_ == 0);
    CHECK(count.tokens_ == 0);
    CHECK(count.expected_late_streams(1s) == 0);
}
