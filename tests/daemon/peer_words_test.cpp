#include "daemon/peer_words.hpp"

#include <doctest/doctest.h>

using namespace peridotspar;
using namespace std::chrono_literals;

TEST_CASE("all that a peer says of itself is taken")
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
    const auto state = state_of(digest, time_point{7s});
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

TEST_CASE("counts and notes survive the way to a peer")
{
    dispatch::server_load count;
    count.add(true, 200ms, 70);
    count.add(false, 0ms, 5);
    count.pending_prefill_ = 90ms;
    const auto read = count_of(words_of(count));
    CHECK(read.requests_ == 2);
    CHECK(read.tokens_ == 75);
    CHECK(read.pending_prefill_ == 90ms);
    CHECK(read.stream_counts_ == count.stream_counts_);
    const dispatch::sent_report note{
        "i-1", {{~0ULL, 8}, {3, 9}}, 40ms, 300ms, 1234};
    const auto heard = note_of(words_of(note));
    CHECK(heard.server_ == "i-1");
    CHECK(heard.prefill_time_ == 40ms);
    CHECK(heard.pause_target_ == 300ms);
    CHECK(heard.tokens_ == 1234);
    REQUIRE(heard.parts_.size() == 2);
    CHECK(heard.parts_[0].id_ == ~0ULL);
    CHECK(heard.parts_[1].tokens_ == 9);
}

TEST_CASE("what waits survives the way to a peer")
{
    const dispatch::queue_summary sum{routing::service_name("s"), 2, 500ms,
                                      90ms};
    const auto heard = sum_of(words_of(sum));
    CHECK(heard.service_ == sum.service_);
    CHECK(heard.priority_ == 2);
    CHECK(heard.answer_target_ == 500ms);
    CHECK(heard.prefill_time_ == 90ms);
}

TEST_CASE("counts below zero count as none")
{
    entry_wire::running told;
    told.all_requests = -4;
    told.tokens = -1;
    told.streams[200] = -2;
    const auto count = count_of(told);
    CHECK(count.requests_ == 0);
    CHECK(count.tokens_ == 0);
    CHECK(count.expected_late_streams(1s) == 0);
}
