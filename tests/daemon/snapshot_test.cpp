#include "daemon/snapshot.hpp"
#include "daemon/wire_codec.hpp"

#include <doctest/doctest.h>

using namespace peridotspar;
using namespace std::chrono_literals;

namespace
{

document make_document(const std::vector<std::string>& p_names)
{
    document result;
    result.classes_.push_back({"fast", tier(0)});
    result.accounts_.push_back({"shop", "hash", "fast", 100, 4, 1});
    result.models_ = {"m"};
    for (const auto& name : p_names)
    {
        backend_spec spec;
        spec.name_ = name;
        spec.address_ = "10.0.0.1";
        spec.port_ = 9000;
        spec.pools_ = {"m"};
        result.backends_.push_back(spec);
    }
    return result;
}

} // namespace

TEST_CASE("items keep their indexes across revisions")
{
    snapshot_builder builder;
    const auto first =
        builder.build(config_revision(1), "1", make_document({"a", "b"}));
    const auto second =
        builder.build(config_revision(2), "2", make_document({"c", "b"}));
    const auto& backends = second->catalogue_->backends_;
    REQUIRE(backends.size() == 3);
    CHECK(backends[0].name_ == "a");
    CHECK_FALSE(backends[0].accepts_new_);
    CHECK(backends[0].pools_.empty());
    CHECK(second->backends_by_hash_.at(wire_hash("b")) == backend_index(1));
    CHECK(second->endpoints_[2].port_ == 9000);
    CHECK(first->catalogue_->backends_.size() == 2);
}

TEST_CASE(
    "a digest is encoded and decoded, without names that the receiver lacks")
{
    snapshot_builder sender_builder;
    snapshot_builder receiver_builder;
    const auto sender = sender_builder.build(config_revision(1), "1",
                                             make_document({"x", "a", "b"}));
    const auto receiver = receiver_builder.build(config_revision(1), "1",
                                                 make_document({"a", "b"}));
    policy::digest sent;
    sent.view_hash_ = 7;
    sent.uses_ = {{backend_index(0), {1}, 0}, {backend_index(2), {0, 3}, 2}};
    sent.demands_ = {{pool_index(0), {0, 0, 5}}};
    sent.crashes_ = {{backend_index(1), fingerprint(9), true}};
    sent.slow_ = {backend_index(2), backend_index(0)};
    const time_point sent_at{1h};
    const time_point received_at{5h};
    sent.suspects_ = {{{quarantine::suspect_key(5), 2},
                       {{quarantine::server_key(6), quarantine::suspect_key(7),
                         sent_at - 300ms}},
                       std::nullopt,
                       sent_at - 200ms,
                       5,
                       3,
                       sent_at - 100ms}};
    wire::digest decoded;
    REQUIRE(decode(encode(to_wire(sent, *sender, sent_at)), decoded));
    const auto received =
        from_wire(decoded, node_id("n2"), *receiver, received_at);
    REQUIRE(received.suspects_.size() == 1);
    const auto& suspect = received.suspects_[0];
    CHECK(suspect.suspect_.key_ == quarantine::suspect_key(5));
    CHECK(suspect.suspect_.rank_ == 2);
    REQUIRE(suspect.crashes_.size() == 1);
    CHECK(suspect.crashes_[0].server_ == quarantine::server_key(6));
    CHECK(suspect.crashes_[0].request_ == quarantine::suspect_key(7));
    CHECK(suspect.crashes_[0].at_ == received_at - 300ms);
    CHECK(suspect.episode_ == 5);
    CHECK_FALSE(suspect.cleared_at_);
    CHECK(suspect.quarantined_at_ == received_at - 200ms);
    CHECK(suspect.trials_ == 3);
    CHECK(suspect.last_used_ == received_at - 100ms);
    CHECK(received.from_ == node_id("n2"));
    CHECK(received.view_hash_ == 7);
    REQUIRE(received.uses_.size() == 1);
    CHECK(received.uses_[0].backend_ == backend_index(1));
    CHECK(received.uses_[0].running_[1] == 3);
    CHECK(received.uses_[0].long_running_ == 2);
    CHECK(received.demands_[0].waiting_[2] == 5);
    CHECK(received.crashes_[0].backend_ == backend_index(0));
    CHECK(received.crashes_[0].quarantined_);
    CHECK(received.slow_ == std::vector<backend_index>{backend_index(1)});
}

TEST_CASE("decoding rejects bytes that aren't a message")
{
    wire::gossip message;
    CHECK_FALSE(decode(std::string("\xff\x01nonsense"), message));
}
