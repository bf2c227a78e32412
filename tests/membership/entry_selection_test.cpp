#include "membership/entry_selection.hpp"

#include <algorithm>
#include <map>
#include <set>

#include <doctest/doctest.h>

using namespace peridotspar;

namespace
{

constexpr std::size_t max_caller_addresses = 64;

std::string domain_name(std::size_t p_index)
{
    return "d" + std::to_string(p_index);
}

/// Nodes in turn in each of several failure domains.
std::vector<entry_candidate> fleet(std::size_t p_nodes, std::size_t p_domains)
{
    std::vector<entry_candidate> nodes;
    for (std::size_t i = 0; i < p_nodes; ++i)
    {
        const std::size_t domain = i % p_domains;
        nodes.push_back(
            {"10." + std::to_string(domain) + ".0." + std::to_string(i) + ":1",
             failure_domain_id(domain_name(domain))});
    }
    return nodes;
}

std::size_t count_in_domain(const std::vector<std::string>& p_addresses,
                            std::size_t p_domain)
{
    const std::string prefix = "10." + std::to_string(p_domain) + ".";
    return static_cast<std::size_t>(std::count_if(
        p_addresses.begin(), p_addresses.end(),
        [&](const auto& p_address) { return p_address.starts_with(prefix); }));
}

} // namespace

TEST_CASE("a small fleet is listed whole to each caller")
{
    for (const std::string domain : {"d0", "d2", "", "elsewhere"})
    {
        CHECK(select_entries(fleet(9, 3), failure_domain_id(domain)).size() ==
              9);
    }
}

TEST_CASE("callers of a large fleet get nodes of all domains, most of them of "
          "their own")
{
    // Listing the fleet in one order gives all callers the same first 64 nodes,
    // which are those of two domains out of five.
    for (const std::size_t nodes : {72U, 195U, 350U, 1000U})
    {
        CAPTURE(nodes);
        std::map<std::string, double> shares;
        for (std::size_t domain = 0; domain < 5; ++domain)
        {
            const auto listed = select_entries(
                fleet(nodes, 5), failure_domain_id(domain_name(domain)));
            CHECK(listed.size() <= max_caller_addresses);
            CHECK(std::set<std::string>(listed.begin(), listed.end()).size() ==
                  listed.size());
            const std::size_t own = count_in_domain(listed, domain);
            CHECK(own * 10 >= listed.size() * 7);
            CHECK(listed.size() - own >= 4);
            for (const auto& address : listed)
            {
                shares[address] += 1.0 / static_cast<double>(listed.size());
            }
        }
        // The answers together are even.
        double highest = 0;
        for (const auto& [address, share] : shares)
        {
            highest = std::max(highest, share);
        }
        const double mean = 5.0 / static_cast<double>(shares.size());
        CHECK(highest <= 2 * mean);
        CHECK(shares.size() >= 60);
    }
}

TEST_CASE("callers of a lost or unknown domain get nodes of the others")
{
    auto nodes = fleet(195, 5);
    std::erase_if(nodes, [](const entry_candidate& p_node)
                  { return p_node.failure_domain_.value() == "d1"; });
    const auto listed = select_entries(nodes, failure_domain_id("d1"));
    CHECK(listed.size() >= 8);
    CHECK(count_in_domain(listed, 1) == 0);
    for (const std::size_t domain : {0U, 2U, 3U, 4U})
    {
        CHECK(count_in_domain(listed, domain) >= 1);
    }
}

TEST_CASE("a node that goes changes only its own place in the answers")
{
    const failure_domain_id domain("d0");
    const auto before = select_entries(fleet(195, 5), domain);
    auto nodes = fleet(195, 5);
    std::erase_if(nodes, [&](const entry_candidate& p_node)
                  { return p_node.address_ == before.front(); });
    const auto after = select_entries(nodes, domain);
    std::size_t kept = 0;
    for (const auto& address : after)
    {
        kept += std::count(before.begin(), before.end(), address) > 0 ? 1 : 0;
    }
    CHECK(kept == before.size() - 1);
}
