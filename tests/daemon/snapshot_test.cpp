#include "daemon/snapshot.hpp"
#include "daemon/wire_codec.hpp"

#include <doctest/doctest.h>

using namespace peridotspar;

namespace
{

document with_backends(const std::vector<std::string>& p_names)
{
    document made;
    made.classes_.push_back({"fast", tier(0)});
    made.accounts_.push_back({"shop", "hash", "fast", 100, 4, 1});
    made.models_ = {"m"};
    for (const auto& name : p_names)
    {
        backend_spec spec;
        spec.name_ = name;
        spec.address_ = "10.0.0.1";
        spec.port_ = 9000;
        spec.pools_ = {"m"};
        made.backends_.push_back(spec);
    }
    return made;
}

} // namespace

TEST_CASE("names keep their positions from one revision to the next")
{
    snapshot_builder builder;
    const auto first =
        builder.build(config_revision(1), "1", with_backends({"a", "b"}));
    const auto second =
        builder.build(config_revision(2), "2", with_backends({"c", "b"}));
    const auto& backends = second->catalogue_->backends_;
    REQUIRE(backends.size() == 3);
    CHECK(backends[0].name_ == "a");
    CHECK_FALSE(backends[0].accepts_new_);
    CHECK(backends[0].pools_.empty());
    CHECK(second->backends_by_hash_.at(wire_hash("b")) == backend_index(1));
    CHECK(second->endpoints_[2].port_ == 9000);
    CHECK(first->catalogue_->backends_.size() == 2);
}

TEST_CASE("a digest survives the wire, and unknown names are left out")
{
    snapshot_builder here;
    snapshot_builder there;
    const auto sender =
        here.build(config_revision(1), "1", with_backends({"x", "a", "b"}));
    const auto receiver =
        there.build(config_revision(1), "1", with_backends({"a", "b"}));
    policy::digest out;
    out.view_hash_ = 7;
    out.uses_ = {{backend_index(0), {1}, 0}, {backend_index(2), {0, 3}, 2}};
    out.demands_ = {{pool_index(0), {0, 0, 5}}};
    out.crashes_ = {{backend_index(1), fingerprint(9), true}};
    out.slow_ = {backend_index(2), backend_index(0)};
    wire::digest arrived;
    REQUIRE(decode(encode(to_wire(out, *sender)), arrived));
    const auto in = from_wire(arrived, node_id("n2"), *receiver);
    CHECK(in.from_ == node_id("n2"));
    CHECK(in.view_hash_ == 7);
    REQUIRE(in.uses_.size() == 1);
    CHECK(in.uses_[0].backend_ == backend_index(1));
    CHECK(in.uses_[0].running_[1] == 3);
    CHECK(in.uses_[0].long_running_ == 2);
    CHECK(in.demands_[0].waiting_[2] == 5);
    CHECK(in.crashes_[0].backend_ == backend_index(0));
    CHECK(in.crashes_[0].quarantined_);
    CHECK(in.slow_ == std::vector<backend_index>{backend_index(1)});
}

TEST_CASE("bytes that aren't a message are refused")
{
    wire::gossip heard;
    CHECK_FALSE(decode(std::string("\xff\x01nonsense"), heard));
}
