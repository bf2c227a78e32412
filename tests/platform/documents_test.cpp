#include "platform/directory.hpp"
#include "platform/documents.hpp"
#include "platform/engine_calls.hpp"
#include "platform/object_calls.hpp"

#include <doctest/doctest.h>

using namespace peridotspar;
using namespace std::chrono_literals;

namespace
{

const std::string config = R"({"version":7,
 "routes":[{"name":"r1","host":"h","path_prefix":"/a/","kind":"streaming",
   "timeout_ms":15000,"slo_ms":2500,"priority":2,
   "split":[{"service":"s1","weight":90},{"service":"s2","weight":10}],
   "max_attempts":1,"public":false,"sticky":true,"resumable":true,
   "itl_target_ms":800},
  {"name":"r2","host":"h","path_prefix":"/b/","kind":"unsafe",
   "timeout_ms":1200,"service":"s2","max_attempts":1,"public":true},
  {"name":"r3","host":"h","path_prefix":"/c/","kind":"safe",
   "timeout_ms":1200,"service":"s2","max_attempts":2}],
 "services":[{"name":"s1","health_path":"/healthz","max_conns":360,
   "engine":{"slots":64,"kv_capacity":628481,"stride":2}},
  {"name":"s2","max_conns":100}],
 "limits":{"header_bytes":16384,"body_bytes":100,"header_timeout_ms":3000,
   "idle_timeout_ms":15000},
 "tenants":[{"name":"t1","api_keys":["k1","k2"],"priority":1},
  {"name":"t2","api_keys":["k3"]}]})";

} // namespace

TEST_CASE("a configuration is parsed into routes, services and accounts")
{
    const auto table = platform::parse_config(config);
    REQUIRE(table);
    CHECK((*table)->version() == 7);
    const auto* stream = (*table)->find_route("h", "/a/x");
    REQUIRE(stream != nullptr);
    CHECK(stream->resend_mode_ == routing::resend_mode::resume);
    CHECK(stream->timeout_ == 15s);
    CHECK(stream->pause_target_ == 800ms);
    CHECK(stream->services_.size() == 2);
    CHECK((*table)->find_route("h", "/b/")->resend_mode_ ==
          routing::resend_mode::never);
    CHECK((*table)->find_route("h", "/b/")->public_);
    CHECK((*table)->find_route("h", "/c/")->resend_mode_ ==
          routing::resend_mode::restart);
    const auto* service = (*table)->find_service(routing::service_name("s1"));
    REQUIRE((service != nullptr && service->engine_));
    CHECK(service->engine_->memory_tokens_ == 628481);
    CHECK((*table)->requires_keys());
    CHECK((*table)->find_account("k2")->priority_ == 1U);
    CHECK_FALSE((*table)->find_account("k3")->priority_);
    CHECK((*table)->limits().body_bytes_ == 100);
    CHECK((*table)->limits().idle_timeout_ == 15s);
}

TEST_CASE("the error for an invalid configuration names the field")
{
    CHECK_FALSE(platform::parse_config("{"));
    const auto table = platform::parse_config(R"({"version":1,"routes":[{}]})");
    REQUIRE_FALSE(table);
    CHECK(table.error().find("host") != std::string::npos);
}

// Guards against an end of the process: such a route leads nowhere.
TEST_CASE("a configuration with a route that names no service is refused")
{
    const auto table = platform::parse_config(
        R"({"version":1,"routes":[{"host":"h","path_prefix":"/","kind":"safe",
            "split":[]}],"services":[]})");
    REQUIRE_FALSE(table);
    CHECK(table.error().find("service") != std::string::npos);
}

TEST_CASE("a stream that may not be resumed is never repeated")
{
    const auto table = platform::parse_config(
        R"({"version":1,"routes":[{"host":"h","path_prefix":"/","service":"s",
            "kind":"streaming","resumable":false}],"services":[]})");
    REQUIRE(table);
    CHECK((*table)->find_route("h", "/")->resend_mode_ ==
          routing::resend_mode::never);
    CHECK_FALSE((*table)->requires_keys());
}

TEST_CASE("a server's registration is parsed")
{
    const auto entry = platform::parse_server(
        "i-1",
        R"({"service":"s","addr":"1.2.3.4:5","zone":"z","version":"v1","slots":64,
                   "state":"draining","seq":4,"born":1700000000001})");
    REQUIRE(entry);
    CHECK(entry->instance_.id_ == "i-1");
    CHECK(entry->instance_.started_ms_ == 1700000000001);
    CHECK(entry->leaving_);
    CHECK(entry->slots_ == 64);
    CHECK(entry->version_ == "v1");
}

TEST_CASE("a document that isn't a server's registration is rejected")
{
    for (
        const std::string document :
        {"", "7", "\"text\"", "null", "[]", R"({"service":"s"})",
         R"({"service":"s","addr":"a","zone":"z","slots":1,"state":"ready"})",
         R"({"service":"s","addr":"a","zone":"z","version":1,"slots":1,
             "state":"ready"})",
         R"({"service":7,"addr":"a","zone":"z","version":"v1","slots":1,"state":"ready"})",
         R"({"service":"s","addr":"a","zone":"z","version":"v1","slots":1,"state":"odd"})",
         R"({"service":"s","addr":"a","zone":"z","version":"v1","slots":"1","state":"ready"})"})
    {
        CHECK_FALSE(platform::parse_server("i", document));
    }
}

TEST_CASE("requests to the store have the expected method and target")
{
    using namespace platform;
    CHECK(list_request("s:1", "servers", "", false)
              .starts_with("GET /v1/objects/servers HTTP/1.1\r\n"));
    CHECK(list_request("s:1", "servers", "i-1", true)
              .starts_with(
                  "GET /v1/objects/servers?after=i-1&stale_ok=1 HTTP/1.1"));
    CHECK(watch_request("s:1", "config", 530, 20s)
              .starts_with(
                  "GET /v1/objects/config?watch=530&wait_ms=20000 HTTP/1.1"));
    CHECK(create_request("s:1", "k", "n", "{}")
              .starts_with("POST /v1/objects/k "));
    CHECK(delete_request("s:1", "k", "n")
              .starts_with("DELETE /v1/objects/k/n HTTP/1.1"));
}

TEST_CASE("responses to list and watch requests are parsed")
{
    const auto page = platform::parse_page(
        R"({"items":[{"metadata":{"name":"a","rev":3},"spec":{"x":1}}],
            "more":true,"at":530})");
    REQUIRE(page);
    CHECK(page->objects_.at(0).name_ == "a");
    CHECK(page->objects_.at(0).document_ == R"({"x":1})");
    CHECK(page->has_more_);
    CHECK(page->revision_ == 530);
    const auto changes = platform::parse_changes(
        R"({"events":[{"removed":true,"object":{"metadata":{"name":"b"}}}],
            "at":533})");
    REQUIRE(changes);
    CHECK(changes->changes_.at(0).removed_);
    CHECK(changes->revision_ == 533);
    CHECK_FALSE(platform::parse_page("not json"));
    CHECK_FALSE(platform::parse_changes(R"({"events":[]})"));
}

TEST_CASE("a node's registration gives back its peer address")
{
    CHECK(platform::parse_node(platform::format_node("10.0.0.1:7")) ==
          "10.0.0.1:7");
    CHECK(platform::parse_node("7").empty());
    CHECK(platform::parse_node("{\"peer\":7}").empty());
}

TEST_CASE("directory requests are recognized and answered")
{
    const auto query =
        platform::parse_directory_query("/v1/resolve?name=a&zone=z1&region=r");
    REQUIRE(query);
    CHECK(query->caller_domain_ == failure_domain_id("z1"));
    for (const std::string target :
         {"/v1/resolve", "/v1/resolve?", "/v1/resolve?zone",
          "/v1/resolve?zone=", "/v1/resolve?&&=&name=a", "/v1/resolve?zones=a"})
    {
        CAPTURE(target);
        const auto without_domain = platform::parse_directory_query(target);
        REQUIRE(without_domain);
        CHECK(without_domain->caller_domain_.value().empty());
    }
    CHECK_FALSE(platform::parse_directory_query("/v1/resolver"));

    const auto response = platform::directory_response({"1.2.3.4:5"}, 2s);
    CHECK(response.body_ == R"({"addrs":["1.2.3.4:5"],"ttl_s":2})");
}

TEST_CASE(
    "an engine's list of cached prompt parts is parsed without invalid entries")
{
    const auto parts = platform::parse_kv_list(
        R"({"epoch":1,"next":9,"held":[["","5c1e07a2",800,"m"],
            ["","zz",1,"m"],7,["",5,5,"m"]]})");
    REQUIRE(parts.size() == 1);
    CHECK(parts[0].part_.id_ == 0x5c1e07a2);
    CHECK(parts[0].part_.tokens_ == 800);
    CHECK(parts[0].model_ == "m");
    CHECK(platform::parse_kv_list("garbage").empty());
}
