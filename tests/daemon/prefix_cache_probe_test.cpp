#include "daemon/prefix_cache_probe.hpp"

#include <map>

#include <doctest/doctest.h>

using namespace peridotspar;

namespace
{

std::vector<std::string> engine_ids(std::size_t p_count)
{
    std::vector<std::string> ids;
    for (std::size_t i = 0; i < p_count; ++i)
    {
        ids.push_back("i-" + std::to_string(i));
    }
    return ids;
}

/// How often each engine is asked if all nodes start.
std::map<std::string, std::size_t> probes_by_engine(std::size_t p_engines,
                                                    std::size_t p_nodes)
{
    std::mt19937_64 random(1);
    std::map<std::string, std::size_t> probes;
    for (std::size_t node = 0; node < p_nodes; ++node)
    {
        for (const auto& id :
             select_probed_engines(engine_ids(p_engines), p_nodes, random))
        {
            ++probes[id];
        }
    }
    return probes;
}

} // namespace

TEST_CASE("each node of a small fleet asks all engines for their caches")
{
    const auto probes = probes_by_engine(9, 7);
    CHECK(probes.size() == 9);
    for (const auto& [id, count] : probes)
    {
        CHECK(count == 7);
    }
}

TEST_CASE("when a large fleet starts at once, a few nodes ask each engine")
{
    for (const std::size_t nodes : {72U, 195U, 350U, 1000U})
    {
        CAPTURE(nodes);
        const auto probes = probes_by_engine(117, nodes);
        CHECK(probes.size() >= 110);
        std::size_t total = 0;
        for (const auto& [id, count] : probes)
        {
            total += count;
            CHECK(count <= 25);
        }
        // Eight for each engine, and each node's share is rounded up.
        CHECK(total <= 117 * 8 + nodes);
    }
}

TEST_CASE("a node that knows no other asks all engines")
{
    CHECK(probes_by_engine(117, 1).size() == 117);
}
