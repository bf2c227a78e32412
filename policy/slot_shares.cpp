#include "policy/slot_shares.hpp"

#include "policy/hashing.hpp"

#include <cmath>

namespace peridotspar::policy
{

const std::vector<double>& slot_shares::factors(const std::string& p_backend,
                                                unsigned p_slots,
                                                const node_id& p_node)
{
    std::string key = p_backend;
    key += '\n';
    key += p_node.value();
    auto& node_factors = factors_[key];
    for (std::size_t slot = node_factors.size(); slot < p_slots; ++slot)
    {
        const std::uint64_t hash = hash_text(key, slot + 1);
        constexpr double hash_range = 18446744073709551616.0;
        const double uniform =
            (static_cast<double>(hash) + 1) / (hash_range + 2);
        node_factors.push_back(-1 / std::log(uniform));
    }
    return node_factors;
}

slot_shares::share slot_shares::divide(const std::string& p_backend,
                                       unsigned p_slots, unsigned p_long_slots,
                                       const node_id& p_self,
                                       const std::vector<demand>& p_demands)
{
    std::vector<double> best(p_slots, 0);
    std::vector<bool> own(p_slots, false);
    for (const auto& [node, weight] : p_demands)
    {
        const auto& factor = factors(p_backend, p_slots, node);
        for (unsigned slot = 0; slot < p_slots; ++slot)
        {
            const double value = weight * factor[slot];
            if (value > best[slot])
            {
                best[slot] = value;
                own[slot] = node == p_self;
            }
        }
    }
    share result;
    for (unsigned slot = 0; slot < p_slots; ++slot)
    {
        result.slots_ += own[slot] ? 1 : 0;
        result.long_slots_ += own[slot] && slot < p_long_slots ? 1 : 0;
    }
    return result;
}

} // namespace peridotspar::policy
