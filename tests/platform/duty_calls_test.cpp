#include "platform/documents.hpp"
#include "platform/duty_calls.hpp"
#include "platform/duty_documents.hpp"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace peridotspar;
using namespace std::chrono_literals;
using json = nlohmann::json;

namespace
{

std::string body_of(const std::string& p_request)
{
    return p_request.substr(p_request.find("\r\n\r\n") + 4);
}

json scaled_service(const json& p_scale)
{
    return {{"version", 7},
            {"routes", json::array()},
            {"services", {{{"name", "s"}, {"scale", p_scale}}}}};
}

const json valid_scale{{"min", 1},
                       {"max", 70},
                       {"boot_s", 4.0},
                       {"spot_price", 0.22},
                       {"zone_prices", {{"a", 1.0}, {"b", 0.8}}}};

std::optional<routing::engine_scaling> scaling_of(const json& p_config)
{
    const auto table = platform::parse_config(p_config.dump());
    REQUIRE(table);
    return (*table)->find_service(routing::service_name("s"))->scaling_;
}

} // namespace

// Guards against calls that the platform's service can't read, or whose sender
// it can't tell.
TEST_CASE("calls of a duty name its holder, the token and the content")
{
    const auto usage =
        platform::usage_request("10.0.0.1:80", {"n1", 12}, 353445120,
                                {{"hule930", 412}, {"fida11", 411}});
    CHECK(usage.starts_with("POST /usage HTTP/1.1\r\n"));
    CHECK(usage.find("\r\nDuty-Holder: n1\r\n") != std::string::npos);
    CHECK(usage.find("\r\nFence-Token: 12\r\n") != std::string::npos);
    CHECK(json::parse(body_of(usage)) ==
          json{{"window_id", 353445120},
               {"counts", {{"hule930", 412}, {"fida11", 411}}}});
    const auto empty = platform::usage_request("10.0.0.1:80", {"n1", 1}, 1, {});
    CHECK(json::parse(body_of(empty))["counts"] == json::object());
    const auto standard =
        platform::scale_request("10.0.0.1:80", {"n1", 12}, {"s", "a", 6});
    CHECK(standard.starts_with("POST /scale HTTP/1.1\r\n"));
    CHECK(json::parse(body_of(standard)) ==
          json{{"service", "s"}, {"zone", "a"}, {"desired", 6}});
    const auto spot =
        platform::scale_request("10.0.0.1:80", {"n1", 12}, {"s", "a", 6, true});
    CHECK(json::parse(body_of(spot))["spot"] == true);
}

TEST_CASE("a lease record survives its way through the store")
{
    lease_record record;
    record.holder_ = "n1";
    record.run_ = "n1@5";
    record.token_ = 1778861172;
    record.renewals_ = 9;
    record.recent_ = {"n2", "n1"};
    record.payload_ = R"({"done":3})";
    const auto read = platform::parse_lease(platform::format_lease(record));
    REQUIRE(read);
    CHECK(*read == record);
    CHECK_FALSE(platform::parse_lease("{}"));
    CHECK_FALSE(platform::parse_lease("no JSON"));
    CHECK_FALSE(platform::parse_lease(
        R"({"holder":1,"run":"","token":0,"renewals":0,"recent":[],
            "payload":""})"));
}

TEST_CASE("the limits of ordered engines are read from the configuration")
{
    const auto scaling = scaling_of(scaled_service(valid_scale));
    REQUIRE(scaling);
    CHECK(scaling->min_per_domain_ == 1);
    CHECK(scaling->max_per_domain_ == 70);
    CHECK(scaling->boot_time_ == 4s);
    CHECK(scaling->spot_price_ == doctest::Approx(0.22));
    CHECK(scaling->prices_.at(failure_domain_id("b")) == doctest::Approx(0.8));
    CHECK_FALSE(scaling_of({{"version", 7},
                            {"routes", json::array()},
                            {"services", {{{"name", "s"}}}}}));
}

// Guards against orders made from limits that contradict each other; requests
// must be routed by such a configuration all the same.
TEST_CASE("unusable limits of ordered engines leave the service without orders")
{
    for (const auto& [field, value] :
         std::multimap<std::string, json>{{"max", 0},
                                          {"min", 71},
                                          {"boot_s", -1},
                                          {"spot_price", -0.5},
                                          {"max", "many"},
                                          {"zone_prices", 3}})
    {
        CAPTURE(field);
        json scale = valid_scale;
        scale[field] = value;
        CHECK_FALSE(scaling_of(scaled_service(scale)));
    }
    json no_prices = valid_scale;
    no_prices.erase("zone_prices");
    CHECK_FALSE(scaling_of(scaled_service(no_prices)));
}

TEST_CASE("a server's entry says whether it may be reclaimed")
{
    const std::string begin =
        R"({"service":"s","addr":"10.0.0.1:80","zone":"a","version":"v",
            "slots":4,"state":"ready")";
    const auto spot = platform::parse_server("i", begin + R"(,"spot":true})");
    REQUIRE(spot);
    CHECK(spot->spot_);
    const auto other = platform::parse_server("i", begin + R"(,"spot":"x"})");
    REQUIRE(other);
    CHECK_FALSE(other->spot_);
    CHECK_FALSE(platform::parse_server("i", begin + "}")->spot_);
}
