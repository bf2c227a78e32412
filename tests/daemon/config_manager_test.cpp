#include "daemon/config_manager.hpp"

#include <doctest/doctest.h>

using namespace peridotspar;

namespace
{

std::string make_stored_text(const std::string& p_class)
{
    return R"({"author":"ops","nonce":"1","document":{"classes":[{"name":")" +
           p_class +
           R"(","tier":0}],"accounts":[],"models":[],"services":[],)"
           R"("backend_servers":[],"operators":[{"name":"ops","key_sha256":")" +
           std::string(64, 'a') + R"("}]}})";
}

} // namespace

TEST_CASE("only valid revisions above the current one are applied")
{
    // The manager isn't started, so nothing connects to this address.
    platform_client store({"127.0.0.1", 1}, node_id("n1"),
                          std::chrono::milliseconds(100));
    std::vector<std::uint64_t> applied_revisions;
    config_manager manager(
        store,
        {[&](std::shared_ptr<const snapshot> p_snapshot)
         { applied_revisions.push_back(p_snapshot->revision_.value()); },
         [] { return false; }, [](config_revision) { return std::nullopt; }});
    CHECK(manager.apply_if_newer({5, make_stored_text("a")}));
    CHECK_FALSE(manager.apply_if_newer({5, make_stored_text("b")}));
    CHECK_FALSE(manager.apply_if_newer({4, make_stored_text("b")}));
    CHECK_FALSE(manager.apply_if_newer({6, "{\"document\":{}}"}));
    CHECK_FALSE(manager.apply_if_newer({6, "no JSON"}));
    CHECK(manager.current()->document_.classes_.front().name_ == "a");
    CHECK(manager.apply_if_newer({7, make_stored_text("b")}));
    CHECK(applied_revisions == std::vector<std::uint64_t>{5, 7});
}
