#include "membership/entry_selection.hpp"

#include <algorithm>
#include <map>
#include <utility>

#include <xxhash.h>

namespace peridotspar
{

namespace
{

/// A fleet of up to this many nodes is listed whole.
constexpr std::size_t max_whole_fleet = 24;
/// Nodes of each failure domain that are listed to callers.
constexpr std::size_t entries_per_domain = 12;
/// Of these, nodes of other failure domains that a caller gets.
constexpr std::size_t entries_of_other_domains = 4;

std::uint64_t hash_of(const std::string& p_text)
{
    return XXH64(p_text.data(), p_text.size(), 0);
}

using domain_entries = std::map<failure_domain_id, std::vector<std::string>>;

/// The nodes of each domain that take callers, the same for all callers.
domain_entries select_by_domain(std::vector<entry_candidate> p_candidates)
{
    std::sort(p_candidates.begin(), p_candidates.end(),
              [](const entry_candidate& p_left, const entry_candidate& p_right)
              { return hash_of(p_left.address_) < hash_of(p_right.address_); });
    domain_entries entries;
    for (auto& candidate : p_candidates)
    {
        auto& selected = entries[candidate.failure_domain_];
        if (selected.size() < entries_per_domain)
        {
            selected.push_back(std::move(candidate.address_));
        }
    }
    return entries;
}

} // namespace

std::vector<std::string>
select_entries(std::vector<entry_candidate> p_candidates,
               const failure_domain_id& p_caller_domain)
{
    std::vector<std::string> selected;
    if (p_candidates.size() <= max_whole_fleet)
    {
        for (auto& candidate : p_candidates)
        {
            selected.push_back(std::move(candidate.address_));
        }
        return selected;
    }
    domain_entries entries = select_by_domain(std::move(p_candidates));
    selected = std::exchange(entries[p_caller_domain], {});
    const std::size_t wanted = selected.empty()
                                   ? entries_per_domain
                                   : selected.size() + entries_of_other_domains;
    // Callers of different domains get different nodes of the others.
    const auto first = static_cast<std::size_t>(
        std::distance(entries.begin(), entries.find(p_caller_domain)));
    for (std::size_t round = 0; round < entries_per_domain; ++round)
    {
        for (const auto& [domain, addresses] : entries)
        {
            if (selected.size() < wanted && round < addresses.size())
            {
                selected.push_back(
                    addresses[(first + round) % addresses.size()]);
            }
        }
    }
    return selected;
}

} // namespace peridotspar
