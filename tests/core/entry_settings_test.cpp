#include "core/entry_settings.hpp"
#include "tests/fakes/temporary_folder.hpp"

#include <fstream>

#include <doctest/doctest.h>

using namespace peridotspar;

namespace
{

tl::expected<entry_settings, std::string> load(const std::string& p_servers)
{
    const temporary_folder folder;
    const std::string path = folder.file("entry_settings.ini");
    std::ofstream(path) << "[node]\nname = n1\nfailure_domain = d\n"
                           "[listen]\ncallers = 127.0.0.1:1\n"
                           "readiness = 127.0.0.1:2\n"
                           "directory = 127.0.0.1:3\npeers = 127.0.0.1:4\n"
                           "[platform]\nstore = 127.0.0.1:5\n"
                           "[servers]\n"
                        << p_servers;
    return load_entry_settings(path);
}

} // namespace

TEST_CASE("the slow start of all services is off unless a setting asks for it")
{
    const auto missing = load("");
    REQUIRE(missing);
    CHECK(missing->paced_start_ == "none");
    const auto set = load("paced_start = all\n");
    REQUIRE(set);
    CHECK(set->paced_start_ == "all");
    REQUIRE(load("paced_start = ordered\n"));
    CHECK_FALSE(load("paced_start = perhaps\n"));
}
