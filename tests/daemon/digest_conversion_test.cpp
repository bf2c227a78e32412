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
    digest.live = 195;
    digest.interval_ms = 800;
    const auto state = to_peer_state(digest, time_point{7s});
    CHECK(state.name_ == node_id("n1"));
    CHECK(state.started_ms_ == 2);
    CHECK(state.sequence_ == 3);
    CHECK(state.caller_address_ == "c");
    CHECK(state.peer_address_ == "p");
    CHECK(state.failure_domain_ == failure_domain_id("d"));
    CHECK(state.ready_);
    CHECK(state.leaving_);
    CHECK(state.in_contact_);
    CHECK(state.config_version_ == 4);
    CHECK(state.servers_revision_ == 5);
    CHECK(state.received_at_ == time_point{7s});
    CHECK(state.live_nodes_ == 195);
    CHECK(state.digest_interval_ == 800ms);
    // Waits grow with this number, so a peer can't raise it without bound.
    digest.live = 1000000000;
    CHECK(to_peer_state(digest, time_point{7s}).live_nodes_ == 2000);
    digest.live = -1;
    CHECK(to_peer_state(digest, time_point{7s}).live_nodes_ == 0);
}

TEST_CASE("a digest says since when the store fails, or that it doesn't say it")
{
    entry_wire::digest digest;
    const auto old = to_peer_state(digest, time_point{7s});
    CHECK_FALSE(old.reports_store_failures_);
    CHECK_FALSE(old.store_failed_at_);
    digest.__set_store_failed_ms(-1);
    const auto none = to_peer_state(digest, time_point{7s});
    CHECK(none.reports_store_failures_);
    CHECK_FALSE(none.store_failed_at_);
    digest.__set_store_failed_ms(1500);
    CHECK(to_peer_state(digest, time_point{7s}).store_failed_at_ ==
          time_point{5500ms});
}

TEST_CASE("reports of cached parts survive conversion to messages and back")
{
    const dispatch::cache_report report{"i-1", {{~0ULL, 8}, {3, 13300}}};
    const auto decoded = from_wire(to_wire(report));
    CHECK(decoded.server_ == "i-1");
    REQUIRE(decoded.parts_.size() == 2);
    CHECK(decoded.parts_[0].id_ == ~0ULL);
    CHECK(decoded.parts_[1].tokens_ == 13300);
}

TEST_CASE(
    "running counts and sent requests survive conversion to messages and back")
{
    dispatch::server_load load;
    load.add(true, 200ms, 70);
    load.add(false, 0ms, 5);
    load.pending_prefill_ = 90ms;
    const auto decoded_load = from_wire(to_wire(load));
    CHECK(decoded_load.requests_ == 2);
    CHECK(decoded_load.tokens_ == 75);
    CHECK(decoded_load.pending_prefill_ == 90ms);
    CHECK(decoded_load.stream_counts_ == load.stream_counts_);
    const dispatch::sent_report report{
        "i-1", {{~0ULL, 8}, {3, 9}}, 40ms, 300ms, 1234};
    const auto decoded_report = from_wire(to_wire(report));
    CHECK(decoded_report.server_ == "i-1");
    CHECK(decoded_report.prefill_time_ == 40ms);
    CHECK(decoded_report.pause_target_ == 300ms);
    CHECK(decoded_report.tokens_ == 1234);
    REQUIRE(decoded_report.parts_.size() == 2);
    CHECK(decoded_report.parts_[0].id_ == ~0ULL);
    CHECK(decoded_report.parts_[1].tokens_ == 9);
}

TEST_CASE("waiting work survives conversion to messages and back")
{
    const dispatch::queue_summary summary{routing::service_name("s"), 2, 500ms,
                                          90ms};
    const auto decoded = from_wire(to_wire(summary));
    CHECK(decoded.service_ == summary.service_);
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
    const auto load = from_wire(message);
    CHECK(load.requests_ == 0);
    CHECK(load.tokens_ == 0);
    CHECK(load.expected_late_streams(1s) == 0);
}

TEST_CASE("counts of a paced server's answers survive the conversion")
{
    const auto message = to_wire(dispatch::pace_report{"s@1", 7, 2});
    const auto report = from_wire(message);
    CHECK(report.server_key_ == "s@1");
    CHECK(report.good_ == 7);
    CHECK(report.bad_ == 2);
    entry_wire::server_pace wrong;
    wrong.good = -1;
    wrong.bad = -5;
    CHECK(from_wire(wrong).good_ == 0);
    CHECK(from_wire(wrong).bad_ == 0);
}

// Guards against messages that grow in deployments without slow starts.
TEST_CASE("a digest without paced servers has no field for them")
{
    CHECK_FALSE(entry_wire::digest{}.__isset.paces);
}
