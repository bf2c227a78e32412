#include "dispatch/work.hpp"

#include <array>

#include <xxhash.h>

namespace peridotspar::dispatch
{

std::vector<routing::prompt_part>
chain_parts(const std::vector<routing::prompt_part>& p_parts,
            std::string_view p_model)
{
    std::vector<routing::prompt_part> prefixes;
    prefixes.reserve(p_parts.size());
    std::uint64_t hash = XXH64(p_model.data(), p_model.size(), 0);
    for (const auto& part : p_parts)
    {
        const std::array<std::uint64_t, 2> link{hash, part.id_};
        hash = XXH64(link.data(), sizeof(link), part.tokens_);
        prefixes.push_back({hash, part.tokens_});
    }
    return prefixes;
}

} // namespace peridotspar::dispatch
