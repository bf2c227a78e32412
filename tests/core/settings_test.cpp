#include "core/settings.hpp"
#include "tests/fakes/temporary_folder.hpp"

#include <fstream>
#include <string>

#include <doctest/doctest.h>

using namespace peridotspar;

namespace
{

const std::string valid = "[node]\n"
                          "name = n1\n"
                          "failure_domain = fd1\n"
                          "address = 127.0.0.1\n"
                          "http_port = 8080\n"
                          "peer_port = 8090\n"
                          "[platform]\n"
                          "address = 127.0.0.1\n"
                          "port = 7000\n"
                          "[security]\n"
                          "node_secret = 0123456789abcdef\n";

tl::expected<settings, std::string> load(const std::string& p_text)
{
    const temporary_folder folder;
    const std::string path = folder.file("settings.ini");
    std::ofstream(path) << p_text;
    return load_settings(path);
}

std::string error_of(const std::string& p_more)
{
    const auto loaded = load(valid + p_more);
    return loaded ? "" : loaded.error();
}

} // namespace

TEST_CASE("valid settings are read, and missing ones get their defaults")
{
    const auto loaded = load(valid + "[limits]\nentry_max_age = 3s\n");
    REQUIRE(loaded);
    CHECK(loaded->name_ == node_id("n1"));
    CHECK(loaded->http_port_ == 8080);
    CHECK(loaded->entry_max_age_ == std::chrono::seconds(3));
    CHECK(loaded->platform_timeout_ == std::chrono::seconds(2));
}

TEST_CASE("an invalid setting is rejected with file, line and key")
{
    CHECK(error_of("[limits]\nbody = 5\n").find(":13: limits.body: unknown") !=
          std::string::npos);
    CHECK(error_of("[limits]\nentry_max_age = 3\n")
              .find(":13: limits.entry_max_age: must be a duration") !=
          std::string::npos);
    CHECK(error_of("[limits]\nworker_threads = many\n")
              .find("limits.worker_threads: must be an integer") !=
          std::string::npos);
    CHECK(error_of("[node]\nname = n2\n")
              .find("node.name: is set more than once") != std::string::npos);
    CHECK(
        error_of("[membership]\nseeds = 127.0.0.1,host\n")
            .find("membership.seeds: must be a comma-separated list of IPv4") !=
        std::string::npos);
}

TEST_CASE("a missing required setting and a missing file are reported")
{
    const auto loaded = load("[node]\nname = n1\n");
    REQUIRE_FALSE(loaded);
    CHECK(loaded.error().find("required setting is missing") !=
          std::string::npos);
    CHECK_FALSE(load_settings("no/such/file"));
}
