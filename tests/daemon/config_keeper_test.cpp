#include "daemon/config_keeper.hpp"

#include <doctest/doctest.h>

using namespace peridotspar;

namespace
{

std::string wrapped(const std::string& p_class)
{
    return R"({"author":"ops","nonce":"1","document":{"classes":[{"name":")" +
           p_class +
           R"(","tier":0}],"accounts":[],"models":[],"services":[],)"
           R"("backend_servers":[],"operators":[{"name":"ops","key_sha256":")" +
           std::string(64, 'a') + R"("}]}})";
}

} // namespace

TEST_CASE("only higher and valid revisions take force")
{
    // Nothing listens there, and nothing is asked.
    platform_client store({"127.0.0.1", 1}, node_id("n1"),
                          std::chrono::milliseconds(100));
    std::vector<std::uint64_t> in_force;
    config_keeper keeper(
        store,
        {[&](std::shared_ptr<const snapshot> p_snapshot)
         { in_force.push_back(p_snapshot->revision_.value()); },
         [] { return false; }, [](config_revision) { return std::nullopt; }});
    CHECK(keeper.offer({5, wrapped("a")}));
    CHECK_FALSE(keeper.offer({5, wrapped("b")}));
    CHECK_FALSE(keeper.offer({4, wrapped("b")}));
    CHECK_FALSE(keeper.offer({6, "{\"document\":{}}"}));
    CHECK_FALSE(keeper.offer({6, "no JSON"}));
    CHECK(keeper.current()->document_.classes_.front().name_ == "a");
    CHECK(keeper.offer({7, wrapped("b")}));
    CHECK(in_force == std::vector<std::uint64_t>{5, 7});
}
