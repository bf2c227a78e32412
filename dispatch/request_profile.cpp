#include "dispatch/request_profile.hpp"

#include <xxhash.h>

namespace peridotspar::dispatch
{

std::uint64_t cache_key(std::uint64_t p_id, std::string_view p_model)
{
    return XXH64(&p_id, sizeof(p_id), XXH64(p_model.data(), p_model.size(), 0));
}

std::vector<routing::prompt_part>
with_cache_keys(const std::vector<routing::prompt_part>& p_parts,
                std::string_view p_model)
{
    std::vector<routing::prompt_part> keyed;
    keyed.reserve(p_parts.size());
    for (const auto& part : p_parts)
    {
        keyed.push_back({cache_key(part.id_, p_model), part.tokens_});
    }
    return keyed;
}

} // namespace peridotspar::dispatch
